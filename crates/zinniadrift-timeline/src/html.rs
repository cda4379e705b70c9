//! HTML page of events with one column (lane) per process.

use std::collections::BTreeSet;
use std::fmt::Write;

use zinniadrift_runtime::timeline::Event;

const STYLE: &str = "body{font:13px sans-serif}table{border-collapse:collapse}\
td,th{border-left:1px solid #ccc;padding:2px 8px;vertical-align:top;text-align:left}\
th{position:sticky;top:0;background:#fff}.k{font-weight:bold}.t{color:#666;white-space:nowrap}";

/// Returns the page with one row per event, in the order of `events`, which is causal.
pub(crate) fn render(events: &[Event], missing: u64) -> String {
    let lanes: BTreeSet<(&str, &str)> = events.iter().map(|e| (&*e.zone, &*e.host)).collect();
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Time line</title>\
         <style>{STYLE}</style><p>{} events, {missing} missing</p><table><tr><th>time</th>",
        events.len()
    );
    for (zone, host) in &lanes {
        // Writing to a string cannot fail.
        let _ = write!(page, "<th>{}<br>{}</th>", escape(zone), escape(host));
    }
    page.push_str("</tr>\n");
    for e in events {
        let _ = write!(
            page,
            "<tr><td class=\"t\">{}</td>",
            escape(&e.rfc3339_time())
        );
        for lane in &lanes {
            page.push_str("<td>");
            if *lane == (&*e.zone, &*e.host) {
                page.push_str(&render_cell(e));
            }
            page.push_str("</td>");
        }
        page.push_str("</tr>\n");
    }
    page.push_str("</table></html>\n");
    page
}

fn render_cell(e: &Event) -> String {
    let subject = format!("{} {} {}", e.service, e.flow, e.request);
    format!(
        "<span class=\"k\">{}</span> {} <i>{}</i>",
        escape(&e.kind),
        escape(&e.text),
        escape(subject.trim())
    )
}

/// Escapes HTML special characters; texts come from other processes and must not become markup.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
