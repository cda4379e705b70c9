use std::time::Duration;

use super::{ClaimKey, ClaimToken, StoredAnswer};
use crate::ids::MemberId;

/// Is one change that a gateway wants made to a shard.
///
/// Applying the same change twice has the effect of applying it once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimOp {
    /// The claimed work.
    pub key: ClaimKey,
    /// The claim, unique per request.
    pub token: ClaimToken,
    /// The gateway that holds or wants the claim.
    pub gateway: MemberId,
    /// The change.
    pub change: ClaimChange,
}

/// Lists the changes to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimChange {
    /// Take the claim if the key is free.
    Take {
        /// The time that is left to the request; later the claim is of no use.
        remaining: Duration,
    },
    /// Mark the claim as about to be sent; used only with `Mechanisms::start_write`.
    Start {
        /// The time that is left to the request.
        remaining: Duration,
    },
    /// Record that the work ran, with its answer if it is small.
    Complete {
        /// The answer for duplicates.
        answer: Option<StoredAnswer>,
    },
    /// Free the key, because the work was proven not to have run.
    Release,
}
