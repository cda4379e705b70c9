//! Shows the version in force on each daemon.

use pico_args::Arguments;
use serde::Deserialize;

use zinniadrift_platform::{HttpStore, ObjectStore};

use super::{Common, block_on, finish};
use crate::ctl_error::CtlError;

/// Is the status object that a daemon writes.
#[derive(Debug, Deserialize)]
pub(crate) struct DaemonStatus {
    pub(crate) name: Box<str>,
    pub(crate) zone: Box<str>,
    pub(crate) role: Box<str>,
    pub(crate) version: u64,
}

pub(crate) fn execute(mut args: Arguments) -> Result<(), CtlError> {
    let common = Common::parse(&mut args)?;
    finish(args)?;
    block_on(async {
        let store = HttpStore::new(common.platform);
        for d in read_status(&store, &common.user).await? {
            println!("{} {} {}: version {}", d.zone, d.role, d.name, d.version);
        }
        Ok(())
    })
}

/// Reads the status objects of a user's daemons.
pub(crate) async fn read_status(
    store: &HttpStore,
    user: &str,
) -> Result<Vec<DaemonStatus>, CtlError> {
    let objects = store.list(&format!("status/{user}/")).await?;
    let parsed = objects
        .into_iter()
        .filter_map(|o| serde_json::from_value(o.value).ok());
    Ok(parsed.collect())
}
