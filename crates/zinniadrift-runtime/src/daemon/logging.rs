use std::io;

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Initializes logging to standard error, as JSON lines if `json` is set.
///
/// The level comes from `RUST_LOG` and is `info` by default.
pub fn init_logs(json: bool) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(io::stderr);
    let result = if json {
        builder.json().try_init()
    } else {
        builder.try_init()
    };
    if result.is_err() {
        eprintln!("logging is already initialized");
    }
}

/// The number of lines buffered while the reader of the log is slow; further lines are dropped and
/// counted.
const BUFFERED_LINES: usize = 4_096;

/// Initializes logging to standard output as JSON lines, which never blocks on a slow reader.
///
/// The level comes from `RUST_LOG` and is `info` by default. Lines are written until the
/// returned guard is dropped.
pub fn init_stdout_logs() -> WorkerGuard {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES)
        .finish(io::stdout());
    let result = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    if result.is_err() {
        eprintln!("logging is already initialized");
    }
    guard
}
