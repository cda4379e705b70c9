//! Checks the lab's report page.

use zinniadrift_lab::experiments::MeasureLine;
use zinniadrift_lab::report::{FigureTable, render_page};

fn line(policy: &str, seed: u64, value: f64) -> MeasureLine {
    MeasureLine {
        measure: "flows",
        policy: policy.into(),
        seed,
        figure: "broken_planned".into(),
        value,
        unit: "flows",
    }
}

/// Guards against values that are assigned to the wrong policy or lost among several seeds.
#[test]
fn figures_are_grouped_by_policy() {
    let lines = [
        line("default", 1, 3.0),
        line("hash", 1, 9.0),
        line("default", 2, 1.0),
    ];
    let table = FigureTable::collect(&lines);
    assert_eq!(table.figures.len(), 1);
    let policies = &table.figures[0].policies;
    assert_eq!(policies[0].values, [1.0, 3.0]);
    assert!((policies[0].median() - 2.0).abs() < f64::EPSILON);
    assert!((policies[1].worst() - 9.0).abs() < f64::EPSILON);
}

/// Guards against a page without the plot, and against names of policies that are not escaped in
/// HTML.
#[test]
fn page_has_a_plot_and_escapes_names() {
    let lines = [line("a<b", 1, 3.0), line("default", 1, 0.0)];
    let page = render_page(&FigureTable::collect(&lines), "report").unwrap();
    assert!(page.contains("<svg"));
    assert!(page.contains("a&lt;b"));
    assert!(!page.contains("<td>a<b"));
}
