use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// The effective policies of a service.
///
/// A node of the tree sets single values; all others come from its parent or from
/// [`Policies::default`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// The policies of flow placement.
    pub flows: FlowPolicies,
    /// The policies of request dispatch.
    pub requests: RequestPolicies,
    /// The policies of claims for non-idempotent requests.
    pub claims: ClaimPolicies,
    /// The policies of second attempts for slow idempotent requests.
    pub hedging: HedgingPolicies,
}

/// The policies of flow placement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FlowPolicies {
    /// The share, from 0.0 to 1.0, by which a target's expected number of flows may exceed the mean
    /// before a new flow is placed elsewhere.
    ///
    /// A larger value publishes fewer exceptions; a smaller one balances better.
    pub imbalance_tolerance: f64,
    /// The rate per second at which a balancer may publish optional exceptions.
    pub publish_rate: f64,
    /// The time in seconds without packets after which a flow is removed from the flow table.
    pub idle_timeout_s: u64,
    /// The time in seconds over which the share of a new target ramps up.
    pub ramp_s: u64,
    /// The largest share, from 0.0 to 1.0, of a service's targets that may be ejected as unhealthy.
    pub ejection_limit: f64,
    /// The maximum number of flows that a balancer tracks for the service.
    pub flow_table_capacity: usize,
    /// The maximum number of packets that a balancer holds at the same time.
    pub hold_capacity: usize,
}

impl Default for FlowPolicies {
    fn default() -> Self {
        Self {
            imbalance_tolerance: 0.02,
            publish_rate: 0.2,
            idle_timeout_s: 7_200,
            ramp_s: 30,
            ejection_limit: 0.34,
            flow_table_capacity: 500_000,
            hold_capacity: 4_096,
        }
    }
}

/// The policies of request dispatch.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestPolicies {
    /// The maximum number of requests that a gateway queues for the service.
    pub queue_capacity: usize,
    /// The deadline in milliseconds of a request that specifies none.
    pub default_deadline_ms: u64,
    /// The share of requests, from 0.0 to 1.0, that may be retried.
    pub retry_budget: f64,
    /// The time in milliseconds without progress after which a connection is retired.
    pub progress_timeout_ms: u64,
    /// The maximum size of a request body in bytes.
    pub max_body_bytes: usize,
}

impl Default for RequestPolicies {
    fn default() -> Self {
        Self {
            queue_capacity: 256,
            default_deadline_ms: 10_000,
            retry_budget: 0.2,
            progress_timeout_ms: 5_000,
            max_body_bytes: 1 << 20,
        }
    }
}

/// The policies of claims for non-idempotent requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimPolicies {
    /// The number of platform objects over which a user's claims are sharded.
    pub shards: u32,
    /// The rate per second at which a gateway may write claims.
    pub write_rate: f64,
    /// The retention period of a claim in seconds.
    pub retention_s: u64,
    /// The maximum number of claims in a shard.
    pub shard_capacity: usize,
}

impl Default for ClaimPolicies {
    fn default() -> Self {
        Self {
            shards: 8,
            write_rate: 20.0,
            retention_s: 86_400,
            shard_capacity: 8_000,
        }
    }
}

/// The policies of second attempts for slow idempotent requests.
///
/// They take effect only at gateways whose own settings turn hedging on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct HedgingPolicies {
    /// The largest share of requests, from 0.0 to 0.5, that may get a second attempt; 0 turns
    /// hedging off.
    ///
    /// The gateway's own limit applies if it is lower.
    pub share: f64,
    /// The percentile of response times, from 50 to 99.9, after which a second attempt is sent.
    pub percentile: f64,
    /// A fixed delay in milliseconds that replaces the percentile; 0 uses the percentile.
    pub delay_ms: u64,
}

impl Default for HedgingPolicies {
    fn default() -> Self {
        Self {
            share: 0.0,
            percentile: 95.0,
            delay_ms: 0,
        }
    }
}

/// Merges `over` into `base` recursively; values other than objects are replaced.
pub(crate) fn overlay(base: &mut Map<String, Value>, over: &Map<String, Value>) {
    for (name, value) in over {
        match (base.get_mut(name), value) {
            (Some(Value::Object(b)), Value::Object(o)) => overlay(b, o),
            _ => {
                base.insert(name.clone(), value.clone());
            }
        }
    }
}
