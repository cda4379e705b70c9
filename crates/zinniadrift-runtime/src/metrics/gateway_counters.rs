use zinniadrift_core::gateway::{AttemptResult, Outcome};

/// Counts what a gateway did since it started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GatewayCounters {
    /// Requests handed to the core.
    pub received: u64,
    /// Requests answered with the target's complete response.
    pub done: u64,
    /// Requests reported as not run, with proof.
    pub not_run: u64,
    /// Requests whose outcome is not known.
    pub unknown: u64,
    /// Requests whose caller went away.
    pub cancelled: u64,
    /// Attempts sent to targets.
    pub attempts: u64,
    /// Attempts that the target declined before the start.
    pub shed: u64,
    /// Attempts whose connection could not be opened.
    pub connect_failed: u64,
    /// Responses that ended before their framing allowed.
    pub truncated: u64,
    /// Connections lost after the request was sent.
    pub connection_lost: u64,
    /// Connections retired because they made no progress.
    pub no_progress: u64,
    /// Reads of claim shards.
    pub store_reads: u64,
    /// Writes of claim shards.
    pub store_writes: u64,
    /// Batches of claims sent to other gateways.
    pub claims_forwarded: u64,
}

impl GatewayCounters {
    /// Counts the end of an attempt.
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
