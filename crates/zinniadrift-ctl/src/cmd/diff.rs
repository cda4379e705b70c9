//! Prints the differences between a file and the stored tree.

use std::path::PathBuf;

use pico_args::Arguments;

use zinniadrift_core::settings::SettingChange;

use super::command::Command;
use super::common::read_tree;
use super::{CommonArgs, block_on, reject_unused_arguments};
use crate::ctl_error::CtlError;

pub(super) const COMMAND: Command = Command {
    name: "diff",
    arguments: "--file FILE",
    summary: "Prints the settings that an apply of FILE would change.",
    options: "--file FILE          a settings tree as JSON",
    execute,
};

fn execute(mut args: Arguments) -> Result<(), CtlError> {
    let common = CommonArgs::parse(&mut args)?;
    let path: PathBuf = args.value_from_str("--file")?;
    reject_unused_arguments(args)?;
    let tree = read_tree(&path)?;
    block_on(async {
        let stored = common.repository().read().await?.document;
        let changes = SettingChange::between(&stored.tree, &tree);
        for change in &changes {
            println!("{change}");
        }
        let count = changes.len();
        println!(
            "settings that differ from version {}: {count}",
            stored.version
        );
        Ok(())
    })
}
