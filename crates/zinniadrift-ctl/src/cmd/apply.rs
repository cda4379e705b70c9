//! Replaces the settings tree.

use std::path::PathBuf;

use pico_args::Arguments;

use zinniadrift_core::units::Version;
use zinniadrift_store::RepositorySettings;

use super::command::Command;
use super::common::read_tree;
use super::wait_option::WaitOption;
use super::{CommonArgs, block_on, print_edit, reject_unused_arguments};
use crate::ctl_error::CtlError;

pub(super) const COMMAND: Command = Command {
    name: "apply",
    arguments: "--file FILE [--based-on VERSION] [--wait SECONDS] [--recover]",
    summary: "Replaces the stored tree by the one in FILE.",
    options: "--file FILE          a settings tree as JSON\n\
              --based-on VERSION   refuse if another version is stored\n\
              --wait SECONDS       wait until all daemons have the edit in force\n\
              --recover            replace a store that went back to an older state",
    execute,
};

fn execute(mut args: Arguments) -> Result<(), CtlError> {
    let common = CommonArgs::parse(&mut args)?;
    let path: PathBuf = args.value_from_str("--file")?;
    let based_on: Option<Version> = args.opt_value_from_str("--based-on")?;
    let recover = args.contains("--recover");
    let wait = WaitOption::parse(&mut args)?;
    reject_unused_arguments(args)?;
    let tree = read_tree(&path)?;
    let repository = common.repository_with(RepositorySettings {
        recover,
        ..RepositorySettings::default()
    });
    block_on(async {
        let base = repository.read().await?;
        let stored = base.document.version;
        if let Some(based_on) = based_on.filter(|v| *v != stored) {
            return Err(CtlError::VersionMismatch { stored, based_on });
        }
        let edit = repository.submit(&base, &tree).await?;
        print_edit(&edit);
        wait.until_in_force(&repository, edit.version).await
    })
}
