use snafu::Snafu;

/// An error while rendering a report.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ReportError {
    /// A chart cannot be drawn.
    #[snafu(display("cannot draw {figure}: {reason}"))]
    Draw {
        /// The figure's name.
        figure: Box<str>,
        /// The plotting library's error message.
        reason: Box<str>,
    },
}
