use serde_json::{Map, Value};

use super::SettingsError;

/// The range of a numeric policy, bounds included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PolicyRange {
    /// The policy's group, such as `flows`.
    pub group: &'static str,
    /// The policy's name within the group.
    pub name: &'static str,
    /// The smallest valid value.
    pub min: f64,
    /// The largest valid value.
    pub max: f64,
}

const fn range(group: &'static str, name: &'static str, min: f64, max: f64) -> PolicyRange {
    PolicyRange {
        group,
        name,
        min,
        max,
    }
}

/// The ranges of all numeric policies.
///
/// Shares range from 0 to 1, and capacities are at least 1. The upper bounds prevent a mistyped
/// value from exhausting a daemon's memory or the platform's write budget.
pub const POLICY_RANGES: &[PolicyRange] = &[
    range("flows", "imbalance_tolerance", 0.0, 1.0),
    range("flows", "publish_rate", 0.0, 10_000.0),
    range("flows", "idle_timeout_s", 1.0, 604_800.0),
    range("flows", "ramp_s", 0.0, 3_600.0),
    range("flows", "ejection_limit", 0.0, 1.0),
    range("flows", "flow_table_capacity", 1.0, 10_000_000.0),
    range("flows", "hold_capacity", 1.0, 1_000_000.0),
    range("requests", "queue_capacity", 1.0, 100_000.0),
    range("requests", "default_deadline_ms", 1.0, 3_600_000.0),
    range("requests", "retry_budget", 0.0, 1.0),
    range("requests", "progress_timeout_ms", 1.0, 3_600_000.0),
    range("requests", "max_body_bytes", 1.0, 1_073_741_824.0),
    range("claims", "shards", 1.0, 1_024.0),
    range("claims", "write_rate", 0.1, 1_000.0),
    range("claims", "retention_s", 60.0, 31_536_000.0),
    range("claims", "shard_capacity", 1.0, 10_000.0),
    range("hedging", "share", 0.0, 0.5),
    range("hedging", "percentile", 50.0, 99.9),
    range("hedging", "delay_ms", 0.0, 3_600_000.0),
];

impl PolicyRange {
    /// Returns the range of a policy, or `None` if the policy is not numeric.
    pub fn of(group: &str, name: &str) -> Option<&'static Self> {
        let mut ranges = POLICY_RANGES.iter();
        ranges.find(|r| r.group == group && r.name == name)
    }

    /// Returns an error for each policy of a node that is out of range.
    pub(super) fn check(policies: &Map<String, Value>, json_path: &str) -> Vec<SettingsError> {
        POLICY_RANGES
            .iter()
            .filter_map(|r| {
                let value = policies.get(r.group)?.get(r.name)?;
                let number = value.as_f64()?;
                if (r.min..=r.max).contains(&number) {
                    return None;
                }
                let path = format!("{json_path}.policies.{}.{}", r.group, r.name);
                let expected = format!("a number from {} to {}", r.min, r.max);
                Some(SettingsError::new(&path, &value.to_string(), &expected))
            })
            .collect()
    }
}
