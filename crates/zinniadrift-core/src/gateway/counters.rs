/// The event counts of a gateway's state machine since its start.
///
/// The metrics of a gateway daemon come from the runtime's `GatewayCounters` instead.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Requests received.
    pub received: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that a target refused because all its slots were busy.
    pub shed: u64,
    /// Retries after failures.
    pub retries: u64,
    /// Second attempts sent to slow requests.
    pub hedges: u64,
    /// Requests answered by their second attempt.
    pub hedge_wins: u64,
    /// Attempts cancelled because the other attempt of their request completed first.
    pub hedges_cancelled: u64,
    /// Requests that became slow while the budget had no credit.
    pub hedges_over_budget: u64,
    /// Requests that became slow while congestion, a refusal, too few targets or the retry budget
    /// stopped second attempts.
    pub hedges_stopped: u64,
    /// Results of abandoned or unknown attempts, which are dropped.
    pub late_results: u64,
    /// Responses with the id of another attempt.
    pub mismatched_responses: u64,
    /// Requests answered `done`.
    pub done: u64,
    /// Requests answered `not run`.
    pub not_run: u64,
    /// Requests answered `unknown`.
    pub unknown: u64,
}
