//! Prints effective values and the nodes that define them.

use pico_args::Arguments;

use zinniadrift_core::settings::{Explanation, Node, SettingPath};

use super::command::Command;
use super::get::find_node;
use super::{CommonArgs, block_on, reject_unused_arguments};
use crate::ctl_error::CtlError;

pub(super) const COMMAND: Command = Command {
    name: "explain",
    arguments: "NODE[:SETTING]",
    summary: "Prints the effective value of a setting, or all policies of a node, with its origin.",
    options: "NODE                 the path of a node, such as granite/gradebook\n\
              SETTING              such as policies.flows.ramp_s or targets.lowell-1.weight",
    execute,
};

fn execute(mut args: Arguments) -> Result<(), CtlError> {
    let common = CommonArgs::parse(&mut args)?;
    let text: String = args.free_from_str()?;
    reject_unused_arguments(args)?;
    block_on(async {
        let tree = common.repository().read().await?.document.tree;
        for explanation in explain(&tree, &text)? {
            println!("{explanation}");
        }
        Ok(())
    })
}

fn explain(tree: &Node, text: &str) -> Result<Vec<Explanation>, CtlError> {
    let Ok(path) = text.parse::<SettingPath>() else {
        find_node(tree, text)?;
        return Ok(Explanation::of_node(tree, text).unwrap_or_default());
    };
    let (names, _) = path.split();
    find_node(tree, &names.join("/"))?;
    let explanation = Explanation::of(tree, &path).ok_or_else(|| CtlError::NotFound {
        kind: "setting",
        name: path.to_string().into(),
        known: vec!["the settings in docs/settings.md".into()],
    })?;
    Ok(vec![explanation])
}
