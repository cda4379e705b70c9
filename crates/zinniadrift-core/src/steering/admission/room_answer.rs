use derive_more::Display;

/// Whether there is room for a new flow.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RoomAnswer {
    /// The flow is placed.
    #[display("admitted")]
    Admitted,
    /// The opening packet is left unanswered: room is expected by its retransmission.
    #[display("waits")]
    Waits,
    /// The flow is refused.
    #[display("refused: {_0}")]
    Refused(RefusalCause),
}

/// Why there is no room for a new flow.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// The expected wait exceeds the timeout of the route.
    Timeout,
    /// The capacity that is left for the route is in use.
    RouteShare,
    /// The caller's address had more than its share of the route's recent admissions.
    CallerShare,
}
