use snafu::Snafu;

/// Tells why a report could not be drawn.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ReportError {
    /// A chart cannot be drawn.
    #[snafu(display("cannot draw {figure}: {reason}"))]
    Draw {
        /// The figure's name.
        figure: Box<str>,
        /// The plotting library's message.
        reason: Box<str>,
    },
}
