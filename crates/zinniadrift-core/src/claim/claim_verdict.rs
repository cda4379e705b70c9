use super::StoredAnswer;

/// Is the answer to a [`ClaimOp`](super::ClaimOp).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The change is durable; a taken claim belongs to the asking request.
    Granted,
    /// Another request holds the claim, or ran and left no answer.
    Taken,
    /// Another request ran; this is its answer.
    Answered(StoredAnswer),
    /// The shard holds as many claims as it may.
    Full,
    /// The platform did not answer in time; the change may or may not be made.
    Unavailable,
}
