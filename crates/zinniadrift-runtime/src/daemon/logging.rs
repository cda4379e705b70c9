use std::io;

use tracing_subscriber::EnvFilter;

/// Sends logs to standard error, as JSON lines if `json` is set.
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
        eprintln!("logs are already set up");
    }
}
