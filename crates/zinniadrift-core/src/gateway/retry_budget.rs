/// A token bucket that limits retries to a share of the requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

/// The capacity of the bucket: the most retries that a burst of failures gets after a time without
/// retries.
const BURST: f64 = 10.0;

impl RetryBudget {
    pub(crate) const fn new() -> Self {
        Self { tokens: BURST }
    }

    /// Adds the tokens of a new request: the share of requests that may be retried.
    pub(crate) fn deposit(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(BURST);
    }

    /// Returns whether a token would be left after one more is taken.
    pub(crate) fn has_spare(&self) -> bool {
        self.tokens >= 2.0
    }

    /// Takes the token for one retry; returns `false` if none is left.
    pub(crate) fn try_withdraw(&mut self) -> bool {
        let ok = self.tokens >= 1.0;
        if ok {
            self.tokens -= 1.0;
        }
        ok
    }
}
