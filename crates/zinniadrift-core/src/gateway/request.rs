use super::AttemptId;
use crate::claim::{ClaimKey, ClaimToken};
use crate::ids::{ServiceId, TargetId};
use crate::units::MonoTime;

/// Is a request that was not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The service.
    pub(crate) service: ServiceId,
    /// Whether the work may be repeated.
    pub(crate) idempotent: bool,
    /// The claim that was asked for, if the request needs one.
    pub(crate) claim: Option<RequestClaim>,
    /// When the request arrived.
    pub(crate) arrived: MonoTime,
    /// When the caller stops waiting.
    pub(crate) deadline: MonoTime,
    /// What the request waits for.
    pub(crate) stage: Stage,
    /// Whether an attempt ended without proof that it did not run.
    pub(crate) may_have_run: bool,
    /// The targets at which an attempt failed.
    pub(crate) failed: Vec<TargetId>,
}

/// Names the claim of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestClaim {
    /// The claimed work.
    pub(crate) key: ClaimKey,
    /// The token.
    pub(crate) token: ClaimToken,
}

/// Tells what a request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// The claim is being written.
    Claiming,
    /// A target is being chosen, or the request is in the queue.
    Waiting,
    /// An attempt is in progress.
    Running(AttemptId),
}
