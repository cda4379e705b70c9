use plotters::prelude::*;

use super::report_error::DrawSnafu;
use super::{Figure, ReportError};

const WIDTH_PX: u32 = 560;
const ROW_PX: u32 = 34;
const MARGIN_PX: u32 = 70;
const LABEL_AREA_PX: u32 = 150;

/// Draws the median of each policy as a horizontal bar and returns the chart as SVG.
///
/// # Errors
///
/// Fails if the plotting library returns an error.
pub(super) fn draw_bars(figure: &Figure) -> Result<String, ReportError> {
    let mut svg = String::new();
    try_draw(figure, &mut svg).map_err(|e| {
        DrawSnafu {
            figure: figure.name.clone(),
            reason: e.to_string(),
        }
        .build()
    })?;
    Ok(svg)
}

fn try_draw(figure: &Figure, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let rows = figure.policies.len() as i32;
    let height = MARGIN_PX + ROW_PX * rows as u32;
    let area = SVGBackend::with_string(svg, (WIDTH_PX, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let largest = figure
        .policies
        .iter()
        .map(|p| p.median().abs())
        .fold(0.0, f64::max);
    let limit = if largest > 0.0 { largest * 1.1 } else { 1.0 };
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..limit, (0..rows).into_segmented())?;
    let label = |row: &SegmentValue<i32>| match row {
        SegmentValue::CenterOf(i) => figure
            .policies
            .get(*i as usize)
            .map_or_else(String::new, |p| p.policy.to_string()),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .x_desc(&*figure.unit)
        .x_labels(5)
        .y_labels(figure.policies.len())
        .y_label_formatter(&label)
        .draw()?;
    chart.draw_series(figure.policies.iter().enumerate().map(|(i, policy)| {
        let row = i as i32;
        let color = if &*policy.policy == "default" {
            BLUE.mix(0.8)
        } else {
            BLACK.mix(0.35)
        };
        let corners = [
            (0.0, SegmentValue::Exact(row)),
            (policy.median().max(0.0), SegmentValue::Exact(row + 1)),
        ];
        let mut bar = Rectangle::new(corners, color.filled());
        bar.set_margin(4, 4, 0, 0);
        bar
    }))?;
    area.present()?;
    Ok(())
}
