use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use zinniadrift_core::distribution::{DistributionAction, DistributionEvent};
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::{MonoTime, Version};

use super::Daemon;

const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// A baseline daemon that reads the platform every 5 s and installs any version that differs from
/// its own, even a lower one.
#[derive(Debug)]
pub(super) struct PollDaemon {
    /// The time of the next read; `None` while a read is pending.
    next: Option<MonoTime>,
    version: Version,
}

impl PollDaemon {
    pub(super) fn new(first: MonoTime) -> Self {
        Self {
            next: Some(first),
            version: Version::default(),
        }
    }
}

impl Daemon for PollDaemon {
    fn handle(
        &mut self,
        now: MonoTime,
        event: DistributionEvent,
        out: &mut Vec<DistributionAction>,
    ) {
        if let DistributionEvent::PlatformAnswer { document, .. } = event {
            self.next = Some(now + POLL_INTERVAL);
            let json = document.ok().flatten();
            let catalog = json.and_then(|json| ServiceCatalog::parse(&json).ok());
            if let Some(new) = catalog.filter(|c| c.version != self.version) {
                self.version = new.version;
                out.push(DistributionAction::Install(Arc::new(new)));
                out.push(DistributionAction::WriteStatus);
            }
        }
        if self.next.is_some_and(|t| now >= t) {
            self.next = None;
            out.push(DistributionAction::WatchPlatform {
                after: 0,
                wait: Duration::ZERO,
            });
        }
    }

    fn next_deadline(&self) -> Option<MonoTime> {
        self.next
    }

    fn version(&self) -> Version {
        self.version
    }

    fn document(&self) -> Option<Bytes> {
        None
    }
}
