//! Drains a target or an availability zone, or returns it to service.

use std::time::{SystemTime, UNIX_EPOCH};

use pico_args::Arguments;

use zinniadrift_core::ids::ZoneName;
use zinniadrift_core::settings::{TargetState, ZoneDrain};

use super::command::Command;
use super::get::find_node;
use super::wait_option::WaitOption;
use super::{CommonArgs, block_on, print_edit, reject_unused_arguments};
use crate::ctl_error::CtlError;

const OPTIONS: &str = "\
SERVICE              the service's path, such as granite/gradebook
TARGET               the target's name
--zone NAME          all targets in this availability zone, instead of one target
--by WHO             the operator that the drain of a zone names (default: $USER)
--wait SECONDS       wait until all daemons have the edit in force";

pub(super) const DRAIN: Command = Command {
    name: "drain",
    arguments: "(SERVICE TARGET | --zone NAME [--by WHO]) [--wait SECONDS]",
    summary: "Gives a target, or all targets in a zone, no new flows and requests; those that it has go on.",
    options: OPTIONS,
    execute: |args| execute(args, TargetState::Draining),
};

pub(super) const UNDRAIN: Command = Command {
    name: "undrain",
    arguments: "(SERVICE TARGET | --zone NAME [--by WHO]) [--wait SECONDS]",
    summary: "Gives a drained target, or a drained zone, new flows and requests again.",
    options: OPTIONS,
    execute: |args| execute(args, TargetState::Active),
};

fn execute(mut args: Arguments, state: TargetState) -> Result<(), CtlError> {
    let common = CommonArgs::parse(&mut args)?;
    let wait = WaitOption::parse(&mut args)?;
    if let Some(zone) = args.opt_value_from_str("--zone")? {
        let by: Option<String> = args.opt_value_from_str("--by")?;
        reject_unused_arguments(args)?;
        return execute_zone(&common, &wait, zone, by, state);
    }
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

fn execute_zone(
    common: &CommonArgs,
    wait: &WaitOption,
    zone: ZoneName,
    by: Option<String>,
    state: TargetState,
) -> Result<(), CtlError> {
    let repository = common.repository();
    block_on(async {
        let base = repository.read().await?;
        let mut tree = base.document.tree.clone();
        let known = if state == TargetState::Draining {
            tree.zones()
        } else {
            tree.zone_drains.keys().collect()
        };
        if !known.contains(&zone) {
            let kind = match state {
                TargetState::Draining => "zone with targets",
                TargetState::Active => "drained zone",
            };
            let known = known.into_iter().map(|z| z.to_string().into()).collect();
            return Err(CtlError::NotFound {
                kind,
                name: zone.to_string().into(),
                known,
            });
        }
        if state == TargetState::Draining {
            // The first drain stays on record if the zone is already drained.
            tree.zone_drains
                .entry(zone)
                .or_insert_with(|| new_drain(by));
        } else {
            tree.zone_drains.remove(&zone);
        }
        let edit = repository.submit(&base, &tree).await?;
        print_edit(&edit);
        wait.until_in_force(&repository, edit.version).await
    })
}

fn new_drain(by: Option<String>) -> ZoneDrain {
    let by = by.or_else(|| std::env::var("USER").ok());
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    ZoneDrain {
        by: by.unwrap_or_else(|| "unknown".into()).into(),
        at_unix_s: since_epoch.map_or(0, |t| t.as_secs()),
    }
}
