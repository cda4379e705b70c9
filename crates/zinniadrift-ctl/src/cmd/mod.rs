//! Holds one module per command.

mod apply;
mod command;
mod common;
mod diff;
mod drain;
mod explain;
mod get;
mod in_force;
mod set;
mod status;

pub(crate) use command::{COMMANDS, Command, usage};
use common::{Common, block_on, finish, report};
