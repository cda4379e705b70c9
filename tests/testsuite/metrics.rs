//! Names and descriptions of the metrics, compared with docs/metrics.md.

use zinniadrift_runtime::metrics::{Metric, all_metrics, edge_metrics};

const PAGE: &str = include_str!("../../docs/metrics.md");

/// Guards against metrics that were added, renamed or removed without a change of the page.
#[test]
fn page_lists_every_metric() {
    let row = |m: &Metric| {
        format!(
            "| `{}` | {} | {} | {} |",
            m.name, m.kind, m.unit, m.description
        )
    };
    let all = all_metrics().into_iter().chain(edge_metrics());
    let expected: Vec<String> = all.map(|m| row(&m)).collect();
    let rows = PAGE.lines().filter(|l| l.starts_with("| `"));
    let listed: Vec<&str> = rows.collect();
    let wanted = expected.join("\n");
    assert_eq!(listed, expected, "docs/metrics.md must list:\n{wanted}");
}

/// Guards against two metrics of the same name, which statsd cannot distinguish.
#[test]
fn metric_names_are_unique() {
    let all = all_metrics().into_iter().chain(edge_metrics());
    let mut names: Vec<&str> = all.map(|m| m.name).collect();
    let count = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), count);
}
