/// Switches single mechanisms of the gateway off, for experiments and tests.
///
/// Every mechanism is on by default; a daemon never changes them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// Non-idempotent requests with a key are claimed before they are sent. Off: they are sent.
    pub claims: bool,
    /// Claims never expire. Off: a claim older than the lease may be taken over.
    pub permanent_claims: bool,
    /// A lost answer to a claim write is settled by reading the token back. Off: it counts as
    /// success.
    pub token_read_back: bool,
    /// A second write marks a claim as started before the request is sent, so that another gateway
    /// may take over a claim that was not started. It is an alternative and off by default.
    pub start_write: bool,
    /// Answers are matched by attempt. Off: an answer of an abandoned attempt is delivered.
    pub attempt_matching: bool,
    /// A response without complete framing is not delivered. Off: the part is delivered.
    pub framing_check: bool,
    /// "Not run" needs proof. Off: a lost connection counts as "not run".
    pub proof_of_not_run: bool,
    /// A request whose deadline has passed is not sent. Off: it is sent.
    pub deadline_check: bool,
    /// A connection without progress is retired. Off: it stays in use.
    pub connection_retirement: bool,
    /// Claims fail at once while the platform is down. Off: they wait for the deadline.
    pub fail_fast: bool,
    /// Two random targets are compared. Off: the first is taken.
    pub two_choices: bool,
    /// Own requests in progress are limited by slots, and full targets are avoided for a moment.
    /// Off: a shed request is given up on.
    pub slot_limits: bool,
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
        }
    }
}
