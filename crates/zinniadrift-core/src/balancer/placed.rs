/// Is where a new flow goes and whether the others must know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Placed {
    /// The index of the target.
    pub(super) target: u16,
    /// Whether the base table does not reproduce the choice on every member.
    pub(super) publish: bool,
    /// Why the flow goes there.
    pub(super) cause: Cause,
    /// Whether an optional exception was wanted but not allowed.
    pub(super) skipped: bool,
}

/// Tells why a flow was placed where it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Cause {
    /// The base table gives the target.
    Base,
    /// The base target cannot take the flow, or its bucket is moving.
    Forced,
    /// The base target has too many flows.
    Balance,
    /// The base target ramps up.
    ColdStart,
}
