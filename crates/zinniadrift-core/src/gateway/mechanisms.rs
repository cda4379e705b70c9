/// Switches that turn off single mechanisms of the gateway, for experiments and tests.
///
/// The defaults are the product's behaviour; daemons never change them. All mechanisms except
/// `start_write` are on by default.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// Non-idempotent requests with an idempotency key are claimed before they are sent. Off: they
    /// are sent without a claim.
    pub claims: bool,
    /// Claims never expire. Off: a claim older than the lease may be taken over.
    pub permanent_claims: bool,
    /// A claim write whose answer was lost is resolved by reading the shard back. Off: it counts as
    /// successful.
    pub token_read_back: bool,
    /// A second write marks a claim as started before the request is sent, so that another gateway
    /// may take over a claim that was not started. This alternative design is off by default.
    pub start_write: bool,
    /// Responses are matched to attempts. Off: a response to an abandoned attempt, or with the id
    /// of another attempt, is delivered.
    pub attempt_matching: bool,
    /// A truncated response is not delivered. Off: it is delivered as if it were complete.
    pub framing_check: bool,
    /// A request is answered `not run` only with proof. Off: a lost connection counts as proof.
    pub proof_of_not_run: bool,
    /// A request whose deadline has passed is not sent. Off: it is sent.
    pub deadline_check: bool,
    /// A connection without progress is closed. Off: it stays in use.
    pub connection_retirement: bool,
    /// Claims fail at once while the platform is unavailable. Off: they wait until the deadline.
    pub fail_fast: bool,
    /// The better of two random targets is chosen. Off: one random target is chosen.
    pub two_choices: bool,
    /// This gateway's attempts in progress at a target are limited to the target's slots, and a
    /// full target is avoided for a moment. Off: a request that a target sheds is not sent again.
    pub slot_limits: bool,
    /// Second attempts stay within their budget. Off: every slow request gets one.
    pub hedge_budget: bool,
    /// Congestion, refusals and too few targets with room stop second attempts. Off: only the
    /// budget limits them.
    pub hedge_stops: bool,
    /// Only idempotent requests get a second attempt. Off: every request may get one.
    pub hedge_idempotent_only: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            claims: true,
            permanent_claims: true,
            token_read_back: true,
            start_write: false,
            attempt_matching: true,
            framing_check: true,
            proof_of_not_run: true,
            deadline_check: true,
            connection_retirement: true,
            fail_fast: true,
            two_choices: true,
            slot_limits: true,
            hedge_budget: true,
            hedge_stops: true,
            hedge_idempotent_only: true,
        }
    }
}
