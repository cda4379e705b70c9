//! Renders the figures of experiments as an HTML page with plots.

mod bar_chart;
mod figure;
mod figure_table;
mod page;
mod report_error;

pub use figure::{Figure, PolicyValue};
pub use figure_table::FigureTable;
pub use page::render_page;
pub use report_error::ReportError;
