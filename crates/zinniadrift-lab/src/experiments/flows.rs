//! Experiment on whether flows survive planned changes and failures.

use super::fleet::{Action, Cause, Change, Scale, Tally};
use super::report::Report;
use super::run_groups::run_groups;
use super::{Experiment, MeasureLine, policies};

/// Measures broken flows and the cost of keeping flows on their targets.
pub(crate) const EXPERIMENT: Experiment = Experiment {
    name: "flows",
    policies: policies::POLICIES,
    check_policy: super::experiment::only_named,
    run: |policy, seed| measure(policy, seed, Scale::default()),
};

/// The time between the end of the ramp-up and the first change, in seconds.
const SETTLE_S: f64 = 80.0;

/// Runs one policy on a population of the given size and returns its figures.
///
/// `control_bytes_per_s` covers both directions, including IP and UDP headers, per running balancer
/// from the end of the ramp-up. The figure with the suffix `_rest` ends at the first change.
pub fn measure(policy: &str, seed: u64, scale: Scale) -> Vec<MeasureLine> {
    let (script, end_s) = script(scale.ramp_up_s() + SETTLE_S, scale.step_interval_s);
    let mut total = Tally::default();
    for tally in run_groups(policy, seed, scale, None, &script, end_s) {
        total.merge(&tally);
    }
    let mut report = Report::new("flows", policy, seed);
    let mut count = |figure, value: u64, unit| report.add(figure, value as f64, unit);
    count("flows_opened", total.flows, "flows");
    count("broken_planned", total.broken(Cause::Planned), "flows");
    let by_balancer = total.broken(Cause::BalancerDeath);
    count("broken_balancer_death", by_balancer, "flows");
    let by_target = total.broken(Cause::TargetDeath);
    count("broken_target_death", by_target, "flows");
    let avoidable = by_target - total.lost_with_target;
    count("broken_target_death_avoidable", avoidable, "flows");
    count("wrong_service", total.wrong_service, "packets");
    count("new_after_leave", total.new_after_leave, "flows");
    count("dropped_packets", total.dropped, "packets");
    count("retransmitted_packets", total.retransmitted, "packets");
    count("held_packets", total.held_packets(), "packets");
    report.add("held_ms_p99", total.held_ms_p99(), "ms");
    let relayed = total.relayed as f64 / total.packets.max(1) as f64;
    report.add("relayed_packets_share", relayed, "ratio");
    report.add("state_bytes", total.state_bytes as f64, "bytes");
    let mean = total.control_bytes_per_s();
    report.add("control_bytes_per_s", mean, "bytes/s");
    let steady = total.steady_control_bytes_per_s();
    report.add("control_bytes_per_s_rest", steady, "bytes/s");
    let worst = total.max_control_bytes_per_s() as f64;
    report.add("control_bytes_per_s_worst", worst, "bytes/s");
    report.finish()
}

/// Returns the changes, with the first at `start_s`, and the time at which the run ends.
fn script(start_s: f64, step_s: f64) -> (Vec<Change>, f64) {
    use Action::{
        AddTarget, Drain, EditPolicy, JoinBalancer, KillBalancer, KillTarget, StopBalancer,
        Undrain, Weight,
    };
    use Cause::{BalancerDeath, Planned, TargetDeath};
    // Each change has a delay in seconds after the start of its step; some are made while the
    // previous one is still being distributed.
    let steps: [&[(f64, Cause, Action)]; 12] = [
        &[(
            0.0,
            Planned,
            Drain {
                service: 0,
                target: 3,
            },
        )],
        &[(0.0, Planned, AddTarget { service: 0 })],
        &[(
            0.0,
            Planned,
            Weight {
                service: 0,
                target: 5,
                weight: 150,
            },
        )],
        &[(
            0.0,
            Planned,
            EditPolicy {
                idle_timeout_s: 10_800,
            },
        )],
        &[(0.0, Planned, StopBalancer { member: 2 })],
        &[(0.0, Planned, JoinBalancer { member: 2 })],
        &[(0.0, BalancerDeath, KillBalancer { member: 5 })],
        &[(0.0, BalancerDeath, JoinBalancer { member: 5 })],
        &[(
            0.0,
            TargetDeath,
            KillTarget {
                service: 0,
                target: 7,
            },
        )],
        &[
            (
                0.0,
                BalancerDeath,
                Drain {
                    service: 1,
                    target: 1,
                },
            ),
            (2.0, BalancerDeath, KillBalancer { member: 0 }),
        ],
        &[
            (
                0.0,
                Planned,
                Undrain {
                    service: 0,
                    target: 3,
                },
            ),
            (1.0, Planned, JoinBalancer { member: 0 }),
        ],
        &[
            (
                0.0,
                Planned,
                Weight {
                    service: 0,
                    target: 5,
                    weight: 100,
                },
            ),
            (
                1.0,
                Planned,
                Drain {
                    service: 0,
                    target: 8,
                },
            ),
        ],
    ];
    let mut script = Vec::new();
    for (i, step) in steps.iter().enumerate() {
        let at_s = start_s + i as f64 * step_s;
        script.extend(step.iter().map(|&(delay_s, cause, action)| Change {
            at_s: at_s + delay_s,
            cause,
            action,
        }));
    }
    (script, start_s + steps.len() as f64 * step_s)
}
