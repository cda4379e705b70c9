use super::{AttemptId, HedgeCandidate};
use crate::claim::{ClaimKey, ClaimToken};
use crate::ids::{ServiceId, TargetId};
use crate::units::MonoTime;

/// A request that has not been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The service.
    pub(crate) service: ServiceId,
    /// Whether the request is idempotent, so that it may be retried.
    pub(crate) idempotent: bool,
    /// The request's claim, if it needs one.
    pub(crate) claim: Option<RequestClaim>,
    /// The time at which the request arrived.
    pub(crate) arrived: MonoTime,
    /// The caller's deadline.
    pub(crate) deadline: MonoTime,
    /// The stage of the request.
    pub(crate) stage: Stage,
    /// Whether an attempt ended without proof that it did not run.
    pub(crate) may_have_run: bool,
    /// The first attempt, while it may become slow and get a second attempt.
    pub(crate) candidate: Option<HedgeCandidate>,
    /// The second attempt, while both attempts are in progress.
    pub(crate) hedge: Option<AttemptId>,
    /// The targets on which an attempt failed.
    pub(crate) failed: Vec<TargetId>,
}

impl Request {
    /// Returns the attempts in progress, the first one before the second.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = AttemptId> + use<> {
        let first = match self.stage {
            Stage::Running(attempt) => Some(attempt),
            Stage::Claiming | Stage::Waiting => None,
        };
        first.into_iter().chain(self.hedge)
    }
}

/// The claim of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestClaim {
    /// The key of the claimed work.
    pub(crate) key: ClaimKey,
    /// The token of the claim.
    pub(crate) token: ClaimToken,
}

/// The stages of a request, by what the request waits for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stage {
    /// The claim is being written.
    Claiming,
    /// The request waits for a target to be chosen, or is in the queue.
    Waiting,
    /// An attempt is in progress.
    Running(AttemptId),
}
