//! Drains a target, or makes a drained target active again.

use pico_args::Arguments;

use zinniadrift_core::settings::TargetState;

use super::command::Command;
use super::get::find_node;
use super::wait_option::WaitOption;
use super::{CommonArgs, block_on, print_edit, reject_unused_arguments};
use crate::ctl_error::CtlError;

const OPTIONS: &str = "\
SERVICE              the service's path, such as granite/gradebook
TARGET               the target's name
--wait SECONDS       wait until all daemons have the edit in force";

pub(super) const DRAIN: Command = Command {
    name: "drain",
    arguments: "SERVICE TARGET [--wait SECONDS]",
    summary: "Gives a target no new flows and requests; those that it has go on.",
    options: OPTIONS,
    execute: |args| execute(args, TargetState::Draining),
};

pub(super) const UNDRAIN: Command = Command {
    name: "undrain",
    arguments: "SERVICE TARGET [--wait SECONDS]",
    summary: "Gives a drained target new flows and requests again.",
    options: OPTIONS,
    execute: |args| execute(args, TargetState::Active),
};

fn execute(mut args: Arguments, state: TargetState) -> Result<(), CtlError> {
    let common = CommonArgs::parse(&mut args)?;
    let wait = WaitOption::parse(&mut args)?;
    let service: String = args.free_from_str()?;
    let name: String = args.free_from_str()?;
    reject_unused_arguments(args)?;
    let repository = common.repository();
    block_on(async {
        let base = repository.read().await?;
        let mut tree = base.document.tree.clone();
        find_node(&tree, &service)?;
        let target = tree
            .descendant_mut(&service)
            .and_then(|node| node.targets.get_mut(&*name));
        match target {
            Some(target) => target.state = state,
            None => {
                let node = find_node(&tree, &service)?;
                return Err(CtlError::NotFound {
                    kind: "target",
                    name: name.into(),
                    known: node.targets.keys().cloned().collect(),
                });
            }
        }
        let edit = repository.submit(&base, &tree).await?;
        print_edit(&edit);
        wait.until_in_force(&repository, edit.version).await
    })
}
