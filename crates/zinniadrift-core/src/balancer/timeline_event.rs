use derive_more::Display;

use super::RebasePhase;
use crate::ids::{MemberId, ServiceId, TargetId};
use crate::membership::MemberState;
use crate::units::Version;

/// A state change that is recorded on the time line.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TimelineEvent {
    /// The member's life-cycle state changed.
    #[display("state {_0}")]
    State(MemberState),
    /// The member holds every publication that it knows of.
    #[display("synchronised")]
    Synchronised,
    /// The member may lack publications.
    #[display("unsynchronised: {_0}")]
    Unsynchronised(SyncLossReason),
    /// A message of a peer arrived that did not count as alive.
    #[display("peer {_0} alive")]
    PeerAlive(MemberId),
    /// A peer was silent for the dead timeout or sent a `Goodbye`.
    #[display("peer {_0} dead")]
    PeerDead(MemberId),
    /// A settings version came into force.
    #[display("settings {_0} in force")]
    Settings(Version),
    /// A service reached a phase of its rebase.
    #[display("service {service} {phase}")]
    Rebase {
        /// The service.
        service: ServiceId,
        /// The phase.
        phase: RebasePhase,
    },
    /// A target gets no new flows because of its health.
    #[display("service {service} target {target} ejected")]
    Ejected {
        /// The service.
        service: ServiceId,
        /// The target.
        target: TargetId,
    },
    /// A target is no longer ejected.
    #[display("service {service} target {target} restored")]
    Restored {
        /// The service.
        service: ServiceId,
        /// The target.
        target: TargetId,
    },
}

/// The reason for which a member may lack publications.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "snake_case")]
pub enum SyncLossReason {
    /// The member joined.
    Joined,
    /// The process was paused for the dead timeout or longer.
    Paused,
    /// A publication of a peer is missing.
    Gap,
    /// A message arrived from a peer that counted as dead.
    Healed,
    /// A peer uses a base set that this member does not know.
    BaseDiffers,
    /// Peers published flows of a service that this member's settings did not contain yet.
    UnknownService,
}
