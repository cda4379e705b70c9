use super::ClaimVerdict;

/// The verdicts collected so far for a batch that another gateway forwarded.
#[derive(Debug)]
pub(crate) struct RemoteBatch {
    verdicts: Vec<Option<ClaimVerdict>>,
}

impl RemoteBatch {
    pub(crate) fn new(len: usize) -> Self {
        Self {
            verdicts: vec![None; len],
        }
    }

    /// Records one verdict, and returns all verdicts once the batch is complete.
    pub(crate) fn record(
        &mut self,
        index: usize,
        verdict: ClaimVerdict,
    ) -> Option<Vec<ClaimVerdict>> {
        *self.verdicts.get_mut(index)? = Some(verdict);
        self.verdicts.iter().cloned().collect()
    }
}
