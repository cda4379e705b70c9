//! Prints the selected events in causal order.

use std::convert::Infallible;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;
use snafu::ResultExt;

use zinniadrift_runtime::timeline::{Event, Filter, fetch_events};

use super::{block_on, finish};
use crate::html;
use crate::timeline_error::{IoSnafu, TimelineError, UsageSnafu};

pub(crate) fn execute(mut args: Arguments) -> Result<(), TimelineError> {
    let from: SocketAddr = args.value_from_str("--from")?;
    let filter = Filter {
        zone: text(&mut args, "--zone")?,
        host: text(&mut args, "--host")?,
        service: text(&mut args, "--service")?,
        flow: text(&mut args, "--flow")?,
        request: text(&mut args, "--request")?,
        kind: text(&mut args, "--kind")?,
    };
    let json = args.contains("--json");
    let html: Option<PathBuf> = args.opt_value_from_str("--html")?;
    finish(args)?;
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
            let what = path.display().to_string();
            std::fs::write(path, page).context(IoSnafu { what })
        }
        None => print(&events, missing, json),
    }
}

fn text(args: &mut Arguments, name: &'static str) -> Result<Option<Box<str>>, TimelineError> {
    Ok(args.opt_value_from_fn(name, |s| Ok::<_, Infallible>(s.into()))?)
}

fn print(events: &[Event], missing: u64, json: bool) -> Result<(), TimelineError> {
    let mut out = std::io::stdout().lock();
    let result = events.iter().try_for_each(|e| {
        if json {
            writeln!(out, "{}", serde_json::to_string(e).unwrap_or_default())
        } else {
            writeln!(out, "{}", line(e))
        }
    });
    match result {
        // A reader such as `head` may close the pipe early.
        Err(e) if e.kind() == std::io::ErrorKind::BrokenPipe => return Ok(()),
        result => result.context(IoSnafu { what: "stdout" })?,
    }
    if missing > 0 {
        eprintln!("{missing} events are missing: queues or the collector were full");
    }
    Ok(())
}

fn line(e: &Event) -> String {
    let subjects = [&e.service, &e.flow, &e.request];
    let about: Vec<&str> = subjects
        .into_iter()
        .filter(|s| !s.is_empty())
        .map(AsRef::as_ref)
        .collect();
    let about = if about.is_empty() {
        String::new()
    } else {
        format!(" [{}]", about.join(" "))
    };
    format!(
        "{} {:<10} {:<20} {:<16} {}{about}",
        e.rfc3339_time(),
        e.zone,
        e.host,
        e.kind,
        e.text
    )
}
