use super::command::{COMMON_HELP, Command};
use super::{apply, diff, drain, explain, get, set, status};
use crate::ctl_error::CtlError;

pub(crate) const COMMANDS: [Command; 8] = [
    get::COMMAND,
    explain::COMMAND,
    diff::COMMAND,
    apply::COMMAND,
    set::COMMAND,
    drain::DRAIN,
    drain::UNDRAIN,
    status::COMMAND,
];

/// Returns the command called `name`.
///
/// # Errors
///
/// Fails if there is no such command.
pub(crate) fn find_command(name: &str) -> Result<&'static Command, CtlError> {
    let mut commands = COMMANDS.iter();
    commands.find(|c| c.name == name).ok_or_else(|| {
        let names = COMMANDS.map(|c| c.name).join(", ");
        CtlError::usage(format!("no command {name}; expected one of {names}"))
    })
}

/// Returns the help text of the whole program.
pub(crate) fn program_help() -> String {
    let commands: String = COMMANDS
        .iter()
        .map(|c| {
            let synopsis = format!("{} {}", c.name, c.arguments);
            format!("{}\n    {}\n", synopsis.trim_end(), c.summary)
        })
        .collect();
    format!(
        "Reads and edits the settings tree in the platform.\n\n\
         Usage: zinniadrift-ctl COMMAND --platform IP:PORT --user NAME [OPTIONS]\n\n\
         {commands}\n{COMMON_HELP}\n--version            print the version"
    )
}
