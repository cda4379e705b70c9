/// Says when a write may take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// Always.
    None,
    /// Only if the object does not exist.
    Absent,
    /// Only if the object's revision is the given one.
    Revision(u64),
}
