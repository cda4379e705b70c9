use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{ServiceId, ZoneName};

use crate::steering::InstanceId;

/// A target instance, as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetInstance {
    /// The name under which it is registered; a restarted target usually has another name.
    pub name: Box<str>,
    /// The service that it provides.
    pub service: ServiceId,
    /// The address at which it receives packets.
    pub address: SocketAddrV4,
    /// The availability zone that it runs in.
    pub zone: ZoneName,
    /// The identifier carried by packets to it, so that a later owner of its address ignores them.
    #[serde(rename = "guard")]
    pub instance_id: InstanceId,
    /// The number of requests that it processes concurrently; at least 1.
    pub slots: u16,
    /// Whether it accepts new flows.
    pub state: InstanceState,
    /// The remaining time of its warm-up, in which it processes requests more slowly.
    pub warm_up: Duration,
    /// Whether it does not report its warm-up; `warm_up` is zero then. Older builds leave it out.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_warm_up_unknown: bool,
    /// The Unix time of its start in milliseconds, if it reports one.
    #[serde(rename = "born_ms")]
    pub started_at_ms: Option<u64>,
}

/// Whether a target accepts new flows.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Accepts new flows.
    Ready,
    /// Keeps its open flows and gets no new ones.
    Draining,
}
