use zinniadrift_core::gateway::{AttemptResult, Counters, Outcome};

/// The counters of a gateway since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GatewayCounters {
    /// Requests handed to the core.
    pub received: u64,
    /// Requests answered with the target's complete response.
    pub done: u64,
    /// Requests reported as not run because it is proven that no target ran them.
    pub not_run: u64,
    /// Requests whose outcome is not known.
    pub unknown: u64,
    /// Requests whose caller closed the connection.
    pub cancelled: u64,
    /// Attempts sent to targets.
    pub attempts: u64,
    /// Attempts that the target refused before running the request.
    pub shed: u64,
    /// Attempts whose connection could not be opened.
    pub connect_failed: u64,
    /// Responses that ended before the end that their framing announced.
    pub truncated: u64,
    /// Connections lost after the request was sent.
    pub connection_lost: u64,
    /// Connections taken out of use because they made no progress.
    pub no_progress: u64,
    /// Reads of claim shards.
    pub store_reads: u64,
    /// Writes of claim shards.
    pub store_writes: u64,
    /// Batches of claims sent to other gateways.
    pub claims_forwarded: u64,
    /// Second attempts sent to slow requests.
    pub hedges: u64,
    /// Requests answered by their second attempt.
    pub hedge_wins: u64,
    /// Attempts cancelled because the other attempt of their request completed first.
    pub hedges_cancelled: u64,
    /// Requests that became slow while the budget had no credit.
    pub hedges_over_budget: u64,
    /// Requests that became slow while second attempts were stopped.
    pub hedges_stopped: u64,
}

impl GatewayCounters {
    /// Takes over the core's counts of second attempts.
    pub(crate) fn copy_hedges(&mut self, core: &Counters) {
        self.hedges = core.hedges;
        self.hedge_wins = core.hedge_wins;
        self.hedges_cancelled = core.hedges_cancelled;
        self.hedges_over_budget = core.hedges_over_budget;
        self.hedges_stopped = core.hedges_stopped;
    }

    /// Counts the result of an attempt.
    pub(crate) fn count_result(&mut self, result: &AttemptResult) {
        match result {
            AttemptResult::Complete { .. } => {}
            AttemptResult::Shed { .. } | AttemptResult::RefusedBeforeStart => self.shed += 1,
            AttemptResult::ConnectFailed => self.connect_failed += 1,
            AttemptResult::Truncated => self.truncated += 1,
            AttemptResult::ConnectionLost => self.connection_lost += 1,
            AttemptResult::NoProgress => self.no_progress += 1,
        }
    }

    /// Counts the outcome of a request.
    pub(crate) fn count_outcome(&mut self, outcome: &Outcome) {
        match outcome {
            Outcome::Done { .. } => self.done += 1,
            Outcome::NotRun { .. } => self.not_run += 1,
            Outcome::Unknown { .. } => self.unknown += 1,
        }
    }
}
