//! Prints the stored settings tree.

use pico_args::Arguments;

use zinniadrift_core::settings::Node;

use super::command::Command;
use super::{CommonArgs, block_on, reject_unused_arguments};
use crate::ctl_error::CtlError;

pub(super) const COMMAND: Command = Command {
    name: "get",
    arguments: "[NODE]",
    summary: "Prints the stored tree, or one node, as JSON; its version goes to standard error.",
    options: "NODE                 the path of a node, such as granite/gradebook",
    execute,
};

fn execute(mut args: Arguments) -> Result<(), CtlError> {
    let common = CommonArgs::parse(&mut args)?;
    let path: Option<String> = args.opt_free_from_str()?;
    reject_unused_arguments(args)?;
    block_on(async {
        let stored = common.repository().read().await?;
        let document = stored.document;
        let node = match &path {
            Some(path) => find_node(&document.tree, path)?,
            None => &document.tree,
        };
        let text = serde_json::to_string_pretty(node).unwrap_or_default();
        eprintln!("version {}, edit {}", document.version, document.edit_id);
        println!("{text}");
        Ok(())
    })
}

/// Returns the node at `path`.
///
/// # Errors
///
/// Fails at the first node that does not exist; the error lists that node's existing siblings.
pub(super) fn find_node<'a>(tree: &'a Node, path: &str) -> Result<&'a Node, CtlError> {
    let mut node = tree;
    for name in path.split('/').filter(|n| !n.is_empty()) {
        node = node.nodes.get(name).ok_or_else(|| CtlError::NotFound {
            kind: "node",
            name: name.into(),
            known: node.nodes.keys().cloned().collect(),
        })?;
    }
    Ok(node)
}
