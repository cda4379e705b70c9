//! Checks the bounds of the lab's experiments; those on flows run with a small number of flows.

use zinniadrift_lab::experiments::{EXPERIMENTS, MeasureLine, Scale, balance, flows};

const SMALL: Scale = Scale {
    flows: 6_000,
    mean_lifetime_s: 7_200.0,
    packet_interval_s: 20.0,
    ramp_up_rate: 200.0,
    step_interval_s: 90.0,
};

/// More flows with fewer packets each: with few flows, the measured imbalance is mostly random.
const SPARSE: Scale = Scale {
    flows: 40_000,
    packet_interval_s: 120.0,
    ramp_up_rate: 640.0,
    ..SMALL
};

fn figure(lines: &[MeasureLine], name: &str) -> f64 {
    let found = lines.iter().find(|l| &*l.figure == name);
    found.unwrap_or_else(|| panic!("no figure {name}")).value
}

/// Declares one test per experiment; the listed figures of the policy `default` must not exceed
/// their bounds.
macro_rules! bounds {
    ($(
        $name:ident: $measure:path, $scale:ident, seed $seed:literal,
        $($figure:literal <= $bound:literal),+;
    )*) => {
        $(
            #[test]
            fn $name() {
                let lines = $measure("default", $seed, $scale);
                $(
                    let value = figure(&lines, $figure);
                    assert!(value <= $bound, "seed {}: {} is {value}", $seed, $figure);
                )+
            }
        )*
    };
}

bounds! {
    // Guards against changes and dead balancers that break established flows, and against packets
    // that reach a target of another service.
    flows_survive_changes: flows::measure, SMALL, seed 11,
        "broken_planned" <= 0.0,
        "broken_balancer_death" <= 1.0,
        "broken_target_death_avoidable" <= 0.0,
        "wrong_service" <= 0.0,
        "new_after_leave" <= 0.0,
        "control_bytes_per_s" <= 3_000.0;
    // Guards against placing new flows without regard to the load of targets.
    load_is_spread_evenly: balance::measure, SPARSE, seed 12,
        "imbalance_rest" <= 1.05,
        "imbalance_after_change" <= 1.15,
        // Targets that report half of their load must not get more flows.
        "imbalance_rest_misleading" <= 1.05,
        "imbalance_after_change_misleading" <= 1.15;
}

/// Guards against work that runs twice or is falsely answered "not run", against mixed or partial
/// answers, against a collapse of the goodput in overload, and against too many writes to the
/// platform.
#[test]
fn requests_stay_within_bounds() {
    const SEED: u64 = 2;
    let experiment = EXPERIMENTS.iter().find(|e| e.name == "requests").unwrap();
    let lines = (experiment.run)("default", SEED);
    for (name, bound) in [
        ("doubled_runs", 0.0),
        ("false_not_run", 0.0),
        ("mixed_or_partial_answers", 0.0),
        ("p99_ratio", 1.5),
        ("give_up_to_answer_ms", 10.0),
        ("store_writes_per_request_100", 2.0),
        ("store_writes_per_request_2000", 0.1),
        ("imbalance_rest_slots", 1.05),
        ("imbalance_after_change_slots", 1.15),
    ] {
        let value = figure(&lines, name);
        assert!(value <= bound, "seed {SEED}: {name} is {value}");
    }
    let goodput = figure(&lines, "goodput_at_2x");
    assert!(goodput >= 0.95, "seed {SEED}: goodput_at_2x is {goodput}");
}

/// Declares one test per baseline policy; each must break flows, which shows that the check of
/// broken flows can fail.
macro_rules! baselines_break_flows {
    ($($name:ident: $policy:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let lines = flows::measure($policy, 11, SMALL);
                assert!(figure(&lines, "broken_planned") > 0.0);
            }
        )*
    };
}

baselines_break_flows! {
    hash_breaks_flows: "hash";
    maglev_breaks_flows: "maglev";
    jet_breaks_flows: "jet";
}

/// Guards against flows that break, and against state and control traffic, under the policy
/// `cookie`: each packet carries the identity of its target. The comparison in docs/design.md
/// relies on this.
#[test]
fn cookies_keep_flows_without_state() {
    let lines = flows::measure("cookie", 11, SMALL);
    for name in [
        "broken_planned",
        "broken_balancer_death",
        "state_bytes",
        "control_bytes_per_s",
    ] {
        assert_eq!(figure(&lines, name), 0.0, "{name}");
    }
}

/// Guards against runs that cannot be reproduced: iteration over hash maps or use of the wall clock
/// makes runs with equal seeds differ.
#[test]
fn runs_with_equal_seeds_are_equal() {
    let run = || flows::measure("default", 13, SMALL);
    assert_eq!(run(), run(), "seed 13");
}
