//! Holds what all daemons share: settings file, command line, logs, clock and signals.

mod command_line;
mod daemon_error;
mod daemon_settings;
mod logging;
mod role;
mod run_clock;
mod seed;
mod settings_file;
mod shared_tasks;
mod shutdown;

pub use command_line::{CommandLine, Mode, exit_code, run};
pub use daemon_error::{
    BindSnafu, DaemonError, InvalidSettingsSnafu, ReadSettingsSnafu, UsageSnafu,
};
pub use daemon_settings::DaemonSettings;
pub use logging::{init_logs, init_stdout_logs};
pub use role::Role;
pub use run_clock::RunClock;
pub use seed::Seed;
pub use settings_file::{parse_settings, read_settings};
pub(crate) use shared_tasks::{SharedInputs, SharedOutputs, SharedTasks};
pub use shutdown::shutdown_signal;
