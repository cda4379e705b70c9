//! Replaces the settings tree.

use std::time::Duration;

use pico_args::Arguments;
use tokio::time::Instant;

use zinniadrift_core::settings::Node;
use zinniadrift_platform::{HttpStore, SettingsRepository};

use super::status::read_status;
use super::{Common, block_on, finish};
use crate::ctl_error::CtlError;

const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) fn execute(mut args: Arguments) -> Result<(), CtlError> {
    let common = Common::parse(&mut args)?;
    let path: String = args
        .value_from_str("--file")
        .map_err(|e| CtlError::usage(e.to_string()))?;
    let wait: Option<u64> = args
        .opt_value_from_str("--wait")
        .map_err(|e| CtlError::usage(e.to_string()))?;
    finish(args)?;
    let text = std::fs::read(&path).map_err(|source| CtlError::ReadFile {
        path: path.clone().into(),
        source,
    })?;
    let tree: Node = serde_json::from_slice(&text).map_err(|e| CtlError::InvalidFile {
        path: path.into(),
        text: e.to_string().into(),
    })?;
    block_on(async {
        let store = HttpStore::new(common.platform);
        let edit = SettingsRepository::new(store.clone(), &common.user)
            .apply(tree)
            .await?;
        println!("accepted as version {}", edit.version);
        match wait {
            Some(seconds) => {
                let deadline = Instant::now() + Duration::from_secs(seconds);
                wait_in_force(&store, &common.user, edit.version.get(), deadline).await
            }
            None => Ok(()),
        }
    })
}

async fn wait_in_force(
    store: &HttpStore,
    user: &str,
    version: u64,
    deadline: Instant,
) -> Result<(), CtlError> {
    loop {
        let daemons = read_status(store, user).await?;
        let missing: Vec<&str> = daemons
            .iter()
            .filter(|d| d.version < version)
            .map(|d| &*d.name)
            .collect();
        if missing.is_empty() && !daemons.is_empty() {
            for d in &daemons {
                println!("{} {}: version {} in force", d.zone, d.name, d.version);
            }
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CtlError::NotInForce {
                version,
                missing: missing.join(", ").into(),
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
