use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Holds the policies in force for a service.
///
/// A node of the tree overrides single values; everything else comes from its parent or from
/// [`Policies::default`].
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policies {
    /// Governs flows.
    pub flows: FlowPolicies,
    /// Governs requests.
    pub requests: RequestPolicies,
    /// Governs claims of non-idempotent requests.
    pub claims: ClaimPolicies,
}

/// Governs the placement of flows.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct FlowPolicies {
    /// The share by which a target's expected flows may exceed the mean before a new flow is placed
    /// elsewhere. Larger values publish fewer exceptions; smaller ones balance better. 0.0 to 1.0.
    pub imbalance_tolerance: f64,
    /// Optional exceptions that a balancer may publish per second.
    pub publish_rate: f64,
    /// The time in seconds after which a flow without packets is forgotten.
    pub idle_timeout_s: u64,
    /// The time in seconds over which a new target ramps up.
    pub ramp_s: u64,
    /// The largest share of a service's targets that health ejection may remove. 0.0 to 1.0.
    pub ejection_limit: f64,
    /// Flows that a balancer remembers for the service.
    pub flow_table_capacity: usize,
    /// Packets that a balancer holds at the same time.
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

/// Governs the dispatch of requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestPolicies {
    /// Requests that a gateway queues for the service.
    pub queue_capacity: usize,
    /// The deadline in milliseconds of a request that names none.
    pub default_deadline_ms: u64,
    /// The share of requests that may be retried. 0.0 to 1.0.
    pub retry_budget: f64,
    /// The time in milliseconds without progress after which a connection is retired.
    pub progress_timeout_ms: u64,
    /// The largest request body in bytes.
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

/// Governs claims of non-idempotent requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClaimPolicies {
    /// Platform objects over which a user's claims are spread.
    pub shards: u32,
    /// Claim writes per second of one gateway.
    pub write_rate: f64,
    /// The time in seconds for which a claim is kept.
    pub retention_s: u64,
    /// Claims that one shard holds.
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

/// Overlays `over` on `base`; objects are merged, other values replaced.
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
