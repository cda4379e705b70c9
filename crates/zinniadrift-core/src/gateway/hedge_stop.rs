use derive_more::Display;

/// A reason other than the budget for which a slow request gets no second attempt.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum HedgeStop {
    /// Requests wait in the queue, or a request waited longer for a slot than the hedge delay.
    #[display("congestion")]
    Congestion,
    /// A target refused an attempt.
    #[display("a target refused an attempt")]
    Refusal,
    /// Fewer than two targets besides the first one have room.
    #[display("too few targets have room")]
    FewTargets,
    /// A second attempt would spend the last token of the retry budget.
    #[display("the retry budget is nearly used up")]
    RetryBudget,
}
