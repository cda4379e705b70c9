use std::net::SocketAddrV4;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::{ServiceId, ZoneName};

use super::InstanceId;

/// Describes one running target as it registered itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetInstance {
    /// The name under which it is registered; another start usually has another name.
    pub name: Box<str>,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it receives packets.
    pub address: SocketAddrV4,
    /// The availability zone that it is in.
    pub zone: ZoneName,
    /// What packets to it carry, so that a later user of its address ignores them.
    #[serde(rename = "guard")]
    pub instance_id: InstanceId,
    /// The number of requests that it works on at once; at least 1.
    pub slots: u16,
    /// Whether it takes new flows.
    pub state: InstanceState,
    /// How much longer it works slower than later.
    pub warm_up: Duration,
    /// The Unix time of its start in milliseconds, if it says so.
    #[serde(rename = "born_ms")]
    pub started_at_ms: Option<u64>,
}

/// Tells whether a target takes new flows.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[display(rename_all = "kebab-case")]
pub enum InstanceState {
    /// Takes new flows.
    Ready,
    /// Keeps its flows and gets no new ones.
    Draining,
}
