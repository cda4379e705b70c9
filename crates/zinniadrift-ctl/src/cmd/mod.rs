//! The commands, one module each.

mod apply;
mod command;
mod commands;
mod common;
mod diff;
mod drain;
mod explain;
mod get;
mod in_force;
mod set;
mod status;

pub(crate) use command::Command;
pub(crate) use commands::{COMMANDS, find, usage};
use common::{Common, block_on, finish, report};
