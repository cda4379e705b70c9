/// The phase of a simulation, which decides what a figure averaged over time covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Period {
    /// Callers open the initial flows; nothing is measured.
    Fill,
    /// All initial flows are open and no change has been made yet.
    Rest,
    /// The script of changes has begun.
    Script,
}
