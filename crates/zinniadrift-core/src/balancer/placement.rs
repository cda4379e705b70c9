/// The target of a new flow, and whether the peers must learn of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Placement {
    /// The index of the target.
    pub(super) target: u16,
    /// Whether the base table does not reproduce the choice on every member.
    pub(super) publish: bool,
    /// Why this target was chosen.
    pub(super) reason: PlacementReason,
    /// Whether an optional exception was wanted but not allowed.
    pub(super) optional_skipped: bool,
}

/// The reason for the target of a new flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PlacementReason {
    /// The base table gives the target.
    Base,
    /// The base target cannot take the flow, or its bucket is moving.
    Forced,
    /// The base target has more flows than the imbalance tolerance allows.
    Balance,
    /// The base target ramps up.
    ColdStart,
}
