use pico_args::Arguments;

use crate::ctl_error::CtlError;

pub(super) const COMMON_HELP: &str = "\
--platform IP:PORT   the platform's object API
--user NAME          the user whose settings are meant
--help               print this text";

/// A command of this program.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Command {
    pub(crate) name: &'static str,
    /// The synopsis of the arguments after the name.
    pub(crate) arguments: &'static str,
    /// A sentence that describes the effect.
    pub(crate) summary: &'static str,
    /// The descriptions of the arguments and options, one line each.
    pub(crate) options: &'static str,
    pub(crate) execute: fn(Arguments) -> Result<(), CtlError>,
}

impl Command {
    /// Returns the command's help text.
    pub(crate) fn help(&self) -> String {
        let Self {
            name,
            arguments,
            summary,
            options,
            ..
        } = self;
        let gap = if options.is_empty() { "" } else { "\n" };
        format!(
            "{summary}\n\nUsage: zinniadrift-ctl {name} {arguments}\n\n{options}{gap}{COMMON_HELP}"
        )
    }
}
