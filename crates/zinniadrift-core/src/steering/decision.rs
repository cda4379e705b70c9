use std::net::SocketAddrV4;
use std::time::Duration;

use crate::flow::FlowKey;
use crate::ids::ServiceId;
use crate::units::Version;

use super::{DropReason, ProbeResult, ResetReason, Revision};

/// Is a decision that an operator may want to see, with what decided it.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A new flow was sent to a target.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// The target's name.
        target: Box<str>,
        /// The opening packets that came before.
        retransmissions: u32,
        /// The target that left the copy before unanswered.
        instead_of: Option<Box<str>>,
        /// The requests that this balancer knows at the target.
        outstanding: u32,
        /// The directory's revision.
        directory: Revision,
        /// The configuration's version.
        version: Version,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// Why.
        reason: ResetReason,
        /// The directory's revision.
        directory: Revision,
        /// The time since the directory was confirmed.
        directory_age: Option<Duration>,
        /// The configuration's version.
        version: Version,
    },
    /// A packet was ignored.
    Dropped {
        /// The flow.
        flow: FlowKey,
        /// Why.
        reason: DropReason,
        /// The time since the directory was confirmed.
        directory_age: Option<Duration>,
        /// The time since the configuration was confirmed.
        configuration_age: Option<Duration>,
    },
    /// A target registered, changed or went.
    Target {
        /// The target's name.
        target: Box<str>,
        /// Its service.
        service: ServiceId,
        /// Its address.
        address: SocketAddrV4,
        /// What it is now.
        state: &'static str,
        /// The directory's revision.
        directory: Revision,
    },
    /// A target was probed because callers repeated their packets.
    Probed {
        /// The target's name.
        target: Box<str>,
        /// How it answered.
        result: ProbeResult,
        /// Whether it counts as dead now.
        dead: bool,
    },
    /// A configuration came into force.
    Configured {
        /// Its version.
        version: Version,
        /// Its number of routes.
        routes: usize,
    },
}
