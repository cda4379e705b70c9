use pico_args::Arguments;

use super::{apply, diff, drain, explain, get, set, status};
use crate::ctl_error::CtlError;

const COMMON_HELP: &str = "\
--platform IP:PORT   the platform's object API
--user NAME          the user whose settings are meant
--help               print this text";

/// Is a command of this program.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Command {
    pub(crate) name: &'static str,
    /// The arguments after the name.
    pub(crate) arguments: &'static str,
    /// One sentence about the effect.
    pub(crate) about: &'static str,
    /// The options, a line each.
    pub(crate) options: &'static str,
    pub(crate) execute: fn(Arguments) -> Result<(), CtlError>,
}

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

impl Command {
    pub(crate) fn find(name: &str) -> Result<&'static Self, CtlError> {
        let mut commands = COMMANDS.iter();
        commands.find(|c| c.name == name).ok_or_else(|| {
            let names = COMMANDS.map(|c| c.name).join(", ");
            CtlError::usage(format!("no command {name}; expected one of {names}"))
        })
    }

    pub(crate) fn usage(&self) -> String {
        let Self {
            name,
            arguments,
            about,
            options,
            ..
        } = self;
        let gap = if options.is_empty() { "" } else { "\n" };
        format!(
            "{about}\n\nUsage: zinniadrift-ctl {name} {arguments}\n\n{options}{gap}{COMMON_HELP}"
        )
    }
}

/// Returns the help of the whole program.
pub(crate) fn usage() -> String {
    let commands: String = COMMANDS
        .iter()
        .map(|c| {
            let synopsis = format!("{} {}", c.name, c.arguments);
            format!("{}\n    {}\n", synopsis.trim_end(), c.about)
        })
        .collect();
    format!(
        "Reads and edits the settings tree in the platform.\n\n\
         Usage: zinniadrift-ctl COMMAND --platform IP:PORT --user NAME [OPTIONS]\n\n\
         {commands}\n{COMMON_HELP}\n--version            print the version"
    )
}
