//! Prints the selected events in causal order.

use std::convert::Infallible;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;
use snafu::ResultExt;

use zinniadrift_runtime::timeline::{Event, Filter, fetch_events};

use super::{block_on, reject_unused_arguments};
use crate::html;
use crate::timeline_error::{IoSnafu, TimelineError, UsageSnafu};

pub(crate) fn execute(mut args: Arguments) -> Result<(), TimelineError> {
    let from: SocketAddr = args.value_from_str("--from")?;
    let filter = Filter {
        zone: optional_text(&mut args, "--zone")?,
        host: optional_text(&mut args, "--host")?,
        service: optional_text(&mut args, "--service")?,
        flow: optional_text(&mut args, "--flow")?,
        request: optional_text(&mut args, "--request")?,
        kind: optional_text(&mut args, "--kind")?,
    };
    let json = args.contains("--json");
    let html: Option<PathBuf> = args.opt_value_from_str("--html")?;
    reject_unused_arguments(args)?;
    if json && html.is_some() {
        let text = "--json and --html exclude each other";
        return UsageSnafu { text }.fail();
    }
    let fetched = block_on(async {
        let fetched = fetch_events(from, filter).await;
        fetched.map_err(|status| TimelineError::Fetch {
            status: Box::new(status),
        })
    });
    let (events, missing) = fetched?;
    match html {
        Some(path) => {
            let page = html::render(&events, missing);
            let resource = path.display().to_string();
            std::fs::write(path, page).context(IoSnafu { resource })
        }
        None => print_events(&events, missing, json),
    }
}

fn optional_text(
    args: &mut Arguments,
    name: &'static str,
) -> Result<Option<Box<str>>, TimelineError> {
    Ok(args.opt_value_from_fn(name, |s| Ok::<_, Infallible>(s.into()))?)
}

fn print_events(events: &[Event], missing: u64, json: bool) -> Result<(), TimelineError> {
    let mut out = std::io::stdout().lock();
    let result = events.iter().try_for_each(|e| {
        if json {
            writeln!(out, "{}", serde_json::to_string(e).unwrap_or_default())
        } else {
            writeln!(out, "{}", format_line(e))
        }
    });
    match result {
        // The reader of the pipe, such as `head`, may close it early.
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => return Ok(()),
        result => result.context(IoSnafu { resource: "stdout" })?,
    }
    if missing > 0 {
        eprintln!("{missing} events are missing: queues or the collector were full");
    }
    Ok(())
}

fn format_line(e: &Event) -> String {
    let subjects = [&e.service, &e.flow, &e.request];
    let suffix: Vec<&str> = subjects
        .into_iter()
        .filter(|s| !s.is_empty())
        .map(AsRef::as_ref)
        .collect();
    let suffix = if suffix.is_empty() {
        String::new()
    } else {
        format!(" [{}]", suffix.join(" "))
    };
    format!(
        "{} {:<10} {:<20} {:<16} {}{suffix}",
        e.rfc3339_time(),
        e.zone,
        e.host,
        e.kind,
        e.text
    )
}
