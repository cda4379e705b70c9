use std::net::SocketAddrV4;
use std::time::Duration;

use crate::flow::FlowKey;
use crate::ids::{ServiceId, ZoneName};
use crate::units::Version;

use crate::steering::{
    CapacityShare, DropReason, Era, Position, ProbeResult, RefusalCause, ResetReason,
};

/// A decision to be logged, with the state that it was based on.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A new flow was sent to a target.
    Placed {
        /// The flow.
        flow: FlowKey,
        /// The target's name.
        target: Box<str>,
        /// The number of earlier opening packets of the flow.
        retransmissions: u32,
        /// The target that did not respond to the previous opening packet.
        instead_of: Option<Box<str>>,
        /// This balancer's requests and opening packets that await the target's response.
        outstanding: u32,
        /// The directory's revision.
        directory: Position,
        /// The configuration's version.
        version: Version,
    },
    /// A flow was reset.
    Reset {
        /// The flow.
        flow: FlowKey,
        /// The cause.
        reason: ResetReason,
        /// The name of the flow's target, if it is known.
        target: Option<Box<str>>,
        /// The directory's revision.
        directory: Position,
        /// The time since the directory was last confirmed.
        directory_age: Option<Duration>,
        /// The configuration's version.
        version: Version,
        /// The time since the configuration was last confirmed.
        configuration_age: Option<Duration>,
        /// The time since the first packet without a known route or target on which the reset is
        /// based; `None` if it has another cause.
        unmatched_for: Option<Duration>,
    },
    /// A new flow was refused because its route or caller has no room; its reset follows.
    Refused {
        /// The flow.
        flow: FlowKey,
        /// The name of its route.
        route: Box<str>,
        /// The priority of its route.
        priority: u8,
        /// The cause.
        cause: RefusalCause,
        /// The time that the flow's first request was expected to queue.
        wait: Duration,
    },
    /// A packet was dropped.
    Dropped {
        /// The flow.
        flow: FlowKey,
        /// The cause.
        reason: DropReason,
        /// The name of the flow's target, if it is known.
        target: Option<Box<str>>,
        /// The time since the directory was last confirmed.
        directory_age: Option<Duration>,
        /// The time since the configuration was last confirmed.
        configuration_age: Option<Duration>,
    },
    /// The store came back from an older copy.
    StoreReturned {
        /// The store's era.
        era: Era,
        /// The targets that the copy lacks and that may be alive.
        kept: usize,
        /// The targets that had been removed and that the copy lists again.
        doubtful: usize,
        /// The version in force, which the copy may lack.
        version: Version,
    },
    /// A target was registered, changed or removed.
    Target {
        /// The target's name.
        target: Box<str>,
        /// The target's service.
        service: ServiceId,
        /// The target's address.
        address: SocketAddrV4,
        /// The target's new state.
        state: &'static str,
        /// The directory's revision.
        directory: Position,
    },
    /// An availability zone was taken out of service or returned to it.
    Zone {
        /// The zone.
        zone: ZoneName,
        /// Whether it is out of service now.
        is_drained: bool,
        /// Whether no target is in a zone of this name.
        is_unknown: bool,
        /// The number of listed targets in the zone.
        targets: usize,
        /// The position of the store up to which the drained zones are known.
        as_of: Position,
    },
    /// A target was probed because callers retransmitted packets or its entry was removed.
    Probed {
        /// The target's name.
        target: Box<str>,
        /// The result of the probe.
        result: ProbeResult,
        /// The name of the target that has taken over its address, if one has.
        owner: Option<Box<str>>,
        /// Whether the target now counts as dead.
        dead: bool,
    },
    /// A target is avoided because of reports of other balancers, or no longer is.
    Reported {
        /// The target's name.
        target: Box<str>,
        /// Whether it is avoided now.
        avoided: bool,
        /// The balancers that have an unanswered opening packet at the target, as far as is known.
        witnesses: u32,
    },
    /// A zone is avoided because several of its targets do not respond, or one of them does again.
    ZoneSilent {
        /// The zone.
        zone: ZoneName,
        /// Whether it is avoided now.
        avoided: bool,
    },
    /// Responses of a target began to be delayed by a queue, or no longer are.
    Congestion {
        /// The target's name.
        target: Box<str>,
        /// The number of this balancer's requests that the target may have at once; `None` when
        /// the congestion has ended.
        limit: Option<f32>,
        /// The requests of this balancer at the target.
        active: u32,
        /// The requests that wait in this balancer for room at the target.
        waiting: u32,
    },
    /// This balancer gained or lost its part of the limits that all balancers share.
    CapacityShare {
        /// The part that it uses; `None` if it lost it.
        share: Option<CapacityShare>,
    },
    /// A configuration came into force.
    Configured {
        /// The configuration's version.
        version: Version,
        /// The number of routes.
        routes: usize,
    },
}
