use std::collections::BTreeSet;
use std::time::Duration;

use pico_args::Arguments;
use tokio::time::Instant;

use zinniadrift_core::units::Version;
use zinniadrift_store::{DaemonStatusSummary, HttpStore, SettingsRepository};

use crate::ctl_error::CtlError;

/// The interval between reads of the daemons' statuses.
///
/// Ten reads per second of one waiting operator are few compared with the 2,000 that the platform
/// serves.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The `--wait` option: the time limit for an edit to be in force on all daemons.
pub(super) struct WaitOption {
    /// The time limit; `None` if the command does not wait.
    limit: Option<Duration>,
}

impl WaitOption {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        let seconds: Option<u64> = args.opt_value_from_str("--wait")?;
        Ok(Self {
            limit: seconds.map(Duration::from_secs),
        })
    }

    /// Waits until all daemons report `version` or a higher one, and prints each daemon when it
    /// does; returns at once without `--wait`.
    ///
    /// # Errors
    ///
    /// Fails with the names of the daemons that did not report the version in time.
    pub(super) async fn until_in_force(
        &self,
        repository: &SettingsRepository<HttpStore>,
        version: Version,
    ) -> Result<(), CtlError> {
        let Some(limit) = self.limit else {
            return Ok(());
        };
        let deadline = Instant::now() + limit;
        let mut reported = BTreeSet::new();
        loop {
            let result = repository.statuses().await;
            // The edit is already stored; an unavailable platform only delays the statuses.
            let mut daemons = result.unwrap_or_default();
            daemons.retain(|d| !d.is_stopped());
            let missing: Vec<&DaemonStatusSummary> =
                daemons.iter().filter(|d| d.version < version).collect();
            for d in daemons.iter().filter(|d| d.version >= version) {
                if reported.insert(d.name.clone()) {
                    let DaemonStatusSummary {
                        zone, role, name, ..
                    } = d;
                    println!("{zone} {role} {name}: version {} in force", d.version);
                }
            }
            if missing.is_empty() && !daemons.is_empty() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(not_in_force_error(version, &missing));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn not_in_force_error(version: Version, missing: &[&DaemonStatusSummary]) -> CtlError {
    let names: Vec<String> = missing
        .iter()
        .map(|d| format!("{} {} (version {})", d.role, d.name, d.version))
        .collect();
    let missing = match names.as_slice() {
        [] => "any daemon: no status could be read".into(),
        names => names.join(", ").into(),
    };
    CtlError::NotInForce { version, missing }
}
