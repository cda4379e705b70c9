/// The phase of a simulation, which decides what a figure averaged over time covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Callers open the initial flows; nothing is measured.
    RampUp,
    /// All initial flows are open and no change has been made yet.
    SteadyState,
    /// The script of changes has begun.
    Script,
}
