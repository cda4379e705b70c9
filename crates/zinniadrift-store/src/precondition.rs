/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// No condition.
    None,
    /// The object does not exist.
    Absent,
    /// The object has this revision.
    Revision(u64),
}
