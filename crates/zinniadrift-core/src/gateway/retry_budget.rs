/// Limits retries to a share of the requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

/// Retries that may be saved up; a burst of failures after a quiet time gets no more than these.
const BURST: f64 = 10.0;

impl RetryBudget {
    pub(crate) const fn new() -> Self {
        Self { tokens: BURST }
    }

    /// Counts a new request, of which the given share may be retried.
    pub(crate) fn earn(&mut self, share: f64) {
        self.tokens = (self.tokens + share).min(BURST);
    }

    /// Takes one retry, or returns false if none is left.
    pub(crate) fn take(&mut self) -> bool {
        let ok = self.tokens >= 1.0;
        if ok {
            self.tokens -= 1.0;
        }
        ok
    }
}
