use std::fmt::Write;

use super::bar_chart::draw_bars;
use super::{Figure, FigureTable, ReportError};

const HEAD: &str = "<!DOCTYPE html>
<html lang=\"en\">
<head>
<meta charset=\"utf-8\">
<title>zinniadrift measurements</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 75em; }
table { border-collapse: collapse; margin-bottom: 1em; }
td, th { border: 1px solid #ccc; padding: 0.2em 0.6em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
</style>
</head>
<body>
<h1>zinniadrift measurements</h1>
";

/// Renders all figures as an HTML page: a table for each figure, and a bar chart if it has values
/// of more than one policy. The page shows `command`, which regenerates it.
///
/// # Errors
///
/// Fails if a chart cannot be drawn.
pub fn render_page(table: &FigureTable, command: &str) -> Result<String, ReportError> {
    let mut page = String::from(HEAD);
    push(
        &mut page,
        format_args!("<p>Regenerate with <code>{}</code>.</p>\n", escape(command)),
    );
    let mut measure = "";
    for figure in &table.figures {
        if *figure.measure != *measure {
            measure = &figure.measure;
            push(&mut page, format_args!("<h2>{}</h2>\n", escape(measure)));
        }
        push_figure(&mut page, figure)?;
    }
    page.push_str("</body>\n</html>\n");
    Ok(page)
}

fn push_figure(page: &mut String, figure: &Figure) -> Result<(), ReportError> {
    push(
        page,
        format_args!("<h3>{}</h3>\n<table>\n", escape(&figure.name)),
    );
    push(
        page,
        format_args!(
            "<tr><th>policy</th><th>median ({})</th><th>worst</th></tr>\n",
            figure.unit
        ),
    );
    for policy in &figure.policies {
        let (median, worst) = (policy.median(), policy.worst());
        push(
            page,
            format_args!(
                "<tr><td>{}</td><td>{median:.4}</td><td>{worst:.4}</td></tr>\n",
                escape(&policy.policy)
            ),
        );
    }
    page.push_str("</table>\n");
    if figure.policies.len() > 1 {
        page.push_str(&draw_bars(figure)?);
    }
    Ok(())
}

fn push(page: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    page.write_fmt(text).unwrap_or_default();
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
