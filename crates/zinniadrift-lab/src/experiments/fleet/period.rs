/// Names the parts of a simulation for figures that are means over time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Period {
    /// The population is built up; nothing is measured.
    Fill,
    /// The population is complete and nothing has changed yet.
    Rest,
    /// The script has begun.
    Script,
}
