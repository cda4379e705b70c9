use rand_xoshiro::Xoshiro256PlusPlus;

use super::{Counters, GatewayAction, Mechanisms, Outcome, RequestId};
use crate::claim::{ClaimChange, ClaimOp};
use crate::error::{ErrorKind, RetryAdvice};
use crate::ids::MemberId;
use crate::units::MonoTime;

use super::request::RequestClaim;

/// The context for the handling of one event, which also collects the results.
pub(crate) struct Cx<'a> {
    /// The time at which the event is handled.
    pub(crate) now: MonoTime,
    /// This gateway's id.
    pub(crate) member: MemberId,
    /// The mechanisms that are on.
    pub(crate) mechanisms: Mechanisms,
    /// The random number generator.
    pub(crate) rng: &'a mut Xoshiro256PlusPlus,
    /// The counters.
    pub(crate) counters: &'a mut Counters,
    /// The actions for the driver.
    pub(crate) out: &'a mut Vec<GatewayAction>,
    /// The changes of claims to submit.
    pub(crate) claim_ops: &'a mut Vec<ClaimOp>,
}

impl Cx<'_> {
    pub(crate) fn answer(&mut self, req: RequestId, outcome: Outcome) {
        match outcome {
            Outcome::Done { .. } => self.counters.done += 1,
            Outcome::NotRun { .. } => self.counters.not_run += 1,
            Outcome::Unknown { .. } => self.counters.unknown += 1,
        }
        self.out.push(GatewayAction::Answer { req, outcome });
    }

    pub(crate) fn submit_claim_change(&mut self, claim: RequestClaim, change: ClaimChange) {
        self.claim_ops.push(ClaimOp {
            key: claim.key,
            token: claim.token,
            gateway: self.member,
            change,
        });
    }
}

/// Returns the outcome of a request that is proven not to have run.
pub(crate) fn not_run(kind: ErrorKind) -> Outcome {
    const DEFAULT_RETRY_MS: u64 = 1_000;
    let retry_after_ms = match kind.response().retry {
        RetryAdvice::AfterMillis(ms) => ms,
        RetryAdvice::Never | RetryAdvice::OnlyIfIdempotent => DEFAULT_RETRY_MS,
    };
    Outcome::NotRun {
        kind,
        retry_after_ms,
    }
}
