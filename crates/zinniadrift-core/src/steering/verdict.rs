use std::net::SocketAddrV4;

use derive_more::Display;

use super::{Cookie, InstanceId};

/// Tells what to do with a packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send it to a target with a new cookie.
    Forward {
        /// The target's address.
        to: SocketAddrV4,
        /// The instance that the packet is meant for.
        instance_id: InstanceId,
        /// What the packet carries from here on.
        cookie: Cookie,
    },
    /// Answer the caller with a reset of the flow.
    Reset {
        /// A sequence number that the caller accepts.
        seq: u32,
        /// Why the flow cannot go on.
        reason: ResetReason,
    },
    /// Ignore it.
    Drop(DropReason),
}

/// Tells why a flow was reset.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum ResetReason {
    /// The current configuration has no route for the service address.
    NoRoute,
    /// No target of the service can take a new flow.
    NoTarget,
    /// Every target of the service is at its limit.
    Overloaded,
    /// The flow's target has ended.
    TargetGone,
    /// The flow's target answers neither its callers nor a probe.
    TargetSilent,
    /// No target that exists has the packet's cookie.
    UnknownCookie,
}

/// Tells why a packet was ignored.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum DropReason {
    /// There is no configuration, or it may be outdated.
    RouteUnknown,
    /// The directory is missing or may be outdated.
    DirectoryStale,
    /// The packet belongs to an open flow and has no cookie.
    NoCookie,
    /// A caller's reset names no known target.
    NothingToReset,
}
