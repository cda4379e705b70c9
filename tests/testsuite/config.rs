//! Results of the experiment `measure config`, compared with the goals.

use std::time::Duration;

use zinniadrift_lab::experiments::config::{ConfigPlan, ConfigPolicy, run_config};

const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
const SEEDS: std::ops::Range<u64> = 0..4;

/// Guards against an edit that is in force on a balancer too late or never.
#[test]
fn edits_are_in_force_in_time() {
    for seed in SEEDS {
        let report = run_config(ConfigPolicy::Default, seed, &ConfigPlan::default());
        assert!(
            report.worst_in_force() <= IN_FORCE_LIMIT,
            "seed {seed}: {:?}",
            report.worst_in_force()
        );
        assert_eq!(
            (report.never_in_force, report.reverts, report.not_converged),
            (0, 0, 0),
            "seed {seed}"
        );
        assert!(report.edits > 50, "seed {seed}");
    }
}

/// Guards against reverts to older settings during outages, network partitions, stale reads, lost
/// answers, restarts and resets of the store.
#[test]
fn settings_do_not_revert_under_faults() {
    for seed in SEEDS {
        let report = run_config(ConfigPolicy::Default, seed, &ConfigPlan::with_faults());
        assert_eq!(
            (report.reverts, report.not_converged),
            (0, 0),
            "seed {seed}"
        );
        assert!(report.faults > 20, "seed {seed}");
    }
}

/// Shows that the faults cause reverts if daemons do not refuse lower versions.
#[test]
fn without_version_check_settings_revert() {
    for policy in [ConfigPolicy::Unchecked, ConfigPolicy::Poll] {
        let report = run_config(policy, 1, &ConfigPlan::with_faults());
        assert!(report.reverts > 0, "{policy:?}");
    }
}

/// Shows that polling without watches exceeds the time limit.
#[test]
fn polling_exceeds_time_limit() {
    let report = run_config(ConfigPolicy::Poll, 1, &ConfigPlan::default());
    assert!(report.worst_in_force() > IN_FORCE_LIMIT);
}
