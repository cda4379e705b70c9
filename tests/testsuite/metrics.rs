//! Checks that docs/metrics.md describes exactly the metrics that the daemons send.

use zinniadrift_runtime::metrics::all_metrics;

const PAGE: &str = include_str!("../../docs/metrics.md");

/// Guards the page against metrics that were added, renamed or removed.
#[test]
fn page_lists_every_metric() {
    let expected: Vec<String> = all_metrics()
        .iter()
        .map(|m| format!("| `{}` | {} | {} | {} |", m.name, m.kind, m.unit, m.meaning))
        .collect();
    let rows = PAGE.lines().filter(|l| l.starts_with("| `"));
    let listed: Vec<&str> = rows.collect();
    let wanted = expected.join("\n");
    assert_eq!(listed, expected, "docs/metrics.md must list:\n{wanted}");
}

/// Guards statsd, which cannot tell two metrics of one name apart.
#[test]
fn names_are_unique() {
    let mut names: Vec<&str> = all_metrics().iter().map(|m| m.name).collect();
    let count = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), count);
}
