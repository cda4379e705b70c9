use std::time::Duration;

use super::{ClaimKey, ClaimToken, StoredAnswer};
use crate::ids::MemberId;

/// A change that a gateway requests to a claim in a shard.
///
/// Changes are idempotent: applying a change twice has the same effect as applying it once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimOp {
    /// The key of the claimed work.
    pub key: ClaimKey,
    /// The token of the claim, unique per request.
    pub token: ClaimToken,
    /// The gateway that holds or requests the claim.
    pub gateway: MemberId,
    /// The change.
    pub change: ClaimChange,
}

/// The kinds of change to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimChange {
    /// Take the claim if the key is free.
    Take {
        /// The time until the request's deadline; after it the claim is not needed.
        remaining: Duration,
    },
    /// Mark the claimed work as about to be sent; used only with `Mechanisms::start_write`.
    Start {
        /// The time until the request's deadline.
        remaining: Duration,
    },
    /// Record that the work ran.
    Complete {
        /// The answer to give to duplicates, if it is small enough to store.
        answer: Option<StoredAnswer>,
    },
    /// Remove the claim, because the work is proven not to have run.
    Release,
}
