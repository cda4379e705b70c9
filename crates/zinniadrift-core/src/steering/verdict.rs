use std::net::SocketAddrV4;

use derive_more::Display;

use crate::steering::{Cookie, InstanceId};

/// The decision of [`Steering`](super::Steering) about a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Forward it to a target with a new cookie.
    Forward {
        /// The target's address.
        to: SocketAddrV4,
        /// The instance that the packet is meant for.
        instance_id: InstanceId,
        /// The cookie that the forwarded packet carries.
        cookie: Cookie,
    },
    /// Send the caller a reset of the flow.
    Reset {
        /// A sequence number that the caller accepts.
        seq: u32,
        /// The reason for the reset.
        reason: ResetReason,
    },
    /// Keep it until the flow's request goes on, see
    /// [`Steering::take_admitted`](super::Steering::take_admitted).
    Hold,
    /// Drop it.
    Drop(DropReason),
}

/// The reason for a reset.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum ResetReason {
    /// The current configuration has no route for the service address.
    NoRoute,
    /// The service has no target that can take a new flow.
    NoTarget,
    /// Every target that could take the flow is in a zone that is out of service.
    ZonesDrained,
    /// Every target of the service is at its limit, or the capacity that the flow's route and
    /// caller get is in use.
    Overloaded,
    /// The flow's target has ended.
    TargetGone,
    /// The flow's target responds neither to its callers nor to a probe.
    TargetSilent,
    /// No known target has the packet's cookie.
    UnknownCookie,
}

/// The reason for which a packet was dropped.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum DropReason {
    /// There is no route, and the configuration is missing or may be outdated.
    RouteUnknown,
    /// The target is unknown, and the directory is missing or may be outdated.
    DirectoryStale,
    /// The opening packet waits for its caller's retransmission, by which room is expected.
    AwaitingRoom,
    /// The packet belongs to an open flow and has no cookie.
    NoCookie,
    /// A caller's reset belongs to no known live target.
    NothingToReset,
}
