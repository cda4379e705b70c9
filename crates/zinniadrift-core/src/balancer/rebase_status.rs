use derive_more::Display;

use crate::ids::ServiceId;
use crate::units::Version;

/// A member's phase in the move of a service to another base set.
///
/// A member enters a phase only when all members that it counts as alive reached the previous one.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
pub enum RebasePhase {
    /// The member publishes new flows of moved buckets, and known ones of its share of the buckets.
    Publishing,
    /// The member publishes its known flows of moved buckets that the peers did not publish.
    Merging,
    /// All live peers have acknowledged the member's flows of moved buckets.
    Collected,
    /// The member uses the new base table for unknown flows and still publishes new flows of moved
    /// buckets.
    Defaulted,
    /// The base set equals the configured one; the phase is not reported on the wire.
    #[default]
    Settled,
}

impl RebasePhase {
    /// Returns the phase after this one.
    pub(crate) const fn next(self) -> Self {
        match self {
            Self::Publishing => Self::Merging,
            Self::Merging => Self::Collected,
            Self::Collected => Self::Defaulted,
            Self::Defaulted | Self::Settled => Self::Settled,
        }
    }
}

/// The rebase status of one service, as heartbeats contain it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct RebaseStatus {
    /// The service.
    pub service: ServiceId,
    /// The phase that the member reached.
    pub phase: RebasePhase,
    /// The digest of the base set that the member uses for unknown flows.
    pub base: u64,
    /// The digest of the base set that the member moves to.
    pub goal: u64,
    /// The settings version that the new base set comes from.
    pub goal_version: Version,
}
