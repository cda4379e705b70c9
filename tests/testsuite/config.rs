//! Checks the figures of `measure config` against the goals.

use std::time::Duration;

use zinniadrift_lab::experiments::config::{ConfigPlan, ConfigPolicy, run_config};

const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
const SEEDS: std::ops::Range<u64> = 0..4;

/// Guards against an edit that reaches some balancer too late, and against one that never does.
#[test]
fn edits_are_in_force_everywhere_in_time() {
    for seed in SEEDS {
        let r = run_config(ConfigPolicy::Default, seed, &ConfigPlan::default());
        assert!(
            r.worst_in_force() <= IN_FORCE_LIMIT,
            "seed {seed}: {:?}",
            r.worst_in_force()
        );
        assert_eq!(
            (r.never_in_force, r.reverts, r.not_converged),
            (0, 0, 0),
            "seed {seed}"
        );
        assert!(r.edits > 50, "seed {seed}");
    }
}

/// Guards against a revert during outages, cuts, stale reads, lost answers, restarts and restores.
#[test]
fn nothing_reverts_under_faults() {
    for seed in SEEDS {
        let r = run_config(ConfigPolicy::Default, seed, &ConfigPlan::with_faults());
        assert_eq!((r.reverts, r.not_converged), (0, 0), "seed {seed}");
        assert!(r.faults > 20, "seed {seed}");
    }
}

/// Shows that the faults cause reverts when the check of versions is switched off.
#[test]
fn without_the_version_check_settings_revert() {
    for policy in [ConfigPolicy::Unchecked, ConfigPolicy::Poll] {
        let r = run_config(policy, 1, &ConfigPlan::with_faults());
        assert!(r.reverts > 0, "{policy:?}");
    }
}

/// Shows that polling alone misses the goal.
#[test]
fn polling_is_too_slow() {
    let r = run_config(ConfigPolicy::Poll, 1, &ConfigPlan::default());
    assert!(r.worst_in_force() > IN_FORCE_LIMIT);
}
