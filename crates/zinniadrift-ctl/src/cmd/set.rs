//! Changes one setting.

use pico_args::Arguments;
use serde_json::Value;

use zinniadrift_core::settings::SettingPath;

use super::command::Command;
use super::get::find_node;
use super::wait_option::WaitOption;
use super::{CommonArgs, block_on, print_edit, reject_unused_arguments};
use crate::ctl_error::CtlError;

pub(super) const COMMAND: Command = Command {
    name: "set",
    arguments: "NODE:SETTING VALUE | NODE:SETTING --unset  [--wait SECONDS]",
    summary: "Changes one setting, or removes it so that it is inherited again.",
    options: "NODE:SETTING         such as granite/gradebook:policies.flows.ramp_s\n\
              VALUE                JSON; a text needs no quotes\n\
              --unset              remove the setting\n\
              --wait SECONDS       wait until all daemons have the edit in force",
    execute,
};

fn execute(mut args: Arguments) -> Result<(), CtlError> {
    let common = CommonArgs::parse(&mut args)?;
    let wait = WaitOption::parse(&mut args)?;
    let unset = args.contains("--unset");
    let path: SettingPath = args.free_from_str()?;
    let value = if unset {
        None
    } else {
        let text: String = args.free_from_str()?;
        Some(serde_json::from_str(&text).unwrap_or(Value::String(text)))
    };
    reject_unused_arguments(args)?;
    let repository = common.repository();
    block_on(async {
        let base = repository.read().await?;
        let (names, _) = path.split();
        find_node(&base.document.tree, &names.join("/"))?;
        let tree = base
            .document
            .tree
            .with_setting(&path, value)
            .map_err(|errors| CtlError::InvalidSettings {
                path: repository.key(),
                errors,
            })?;
        let edit = repository.submit(&base, &tree).await?;
        print_edit(&edit);
        wait.until_in_force(&repository, edit.version).await
    })
}
