//! Holds what all daemons share: settings file, command line, logs and the settings watch.

mod command_line;
mod daemon_error;
mod daemon_settings;
mod logging;
mod settings_watch;
mod shutdown;

pub use command_line::{CommandLine, Mode, run};
pub(crate) use daemon_error::BindSnafu;
pub use daemon_error::DaemonError;
pub use daemon_settings::DaemonSettings;
pub use logging::init_logs;
pub use settings_watch::watch_settings;
pub use shutdown::shutdown_signal;
