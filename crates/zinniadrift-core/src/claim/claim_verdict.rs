use super::StoredAnswer;

/// The result of a [`ClaimOp`](super::ClaimOp).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The change is durable; for `Take`, the request now holds the claim.
    Granted,
    /// Another request holds the claim, or has run and its answer is not stored.
    Taken,
    /// Another request with the same key has run and returned this answer.
    Answered(StoredAnswer),
    /// The shard has reached its capacity.
    Full,
    /// The platform did not answer in time; whether the change was made is unknown.
    Unavailable,
}
