use bytes::Bytes;

use zinniadrift_core::distribution::{Distribution, DistributionAction, DistributionEvent};
use zinniadrift_core::units::{MonoTime, Version};

/// A state machine that the simulation drives in place of a daemon.
pub(super) trait Daemon {
    fn handle(
        &mut self,
        now: MonoTime,
        event: DistributionEvent,
        out: &mut Vec<DistributionAction>,
    );

    fn next_deadline(&self) -> Option<MonoTime>;

    fn version(&self) -> Version;

    fn document(&self) -> Option<Bytes>;
}

impl Daemon for Distribution {
    fn handle(
        &mut self,
        now: MonoTime,
        event: DistributionEvent,
        out: &mut Vec<DistributionAction>,
    ) {
        Self::handle(self, now, event, out);
    }

    fn next_deadline(&self) -> Option<MonoTime> {
        Self::next_deadline(self)
    }

    fn version(&self) -> Version {
        Self::version(self)
    }

    fn document(&self) -> Option<Bytes> {
        Self::document(self).cloned()
    }
}
