//! The commands, one module each.

mod apply;
mod command;
mod commands;
mod common;
mod diff;
mod drain;
mod explain;
mod get;
mod set;
mod status;
mod wait_option;

pub(crate) use command::Command;
pub(crate) use commands::{COMMANDS, find_command, program_help};
use common::{CommonArgs, block_on, print_edit, reject_unused_arguments};
