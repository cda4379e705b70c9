use std::time::Duration;

use tokio::sync::oneshot;

use zinniadrift_core::steering::{KnownState, PeerUpdate, Revision};
use zinniadrift_core::units::MonoTime;

use super::{EdgeSettings, Feed, FeedAnswer};

/// The least progress of the store's confirmation that is news on its own; without changes the
/// store confirms once in each wait of a watch.
const MIN_CONFIRMATION_ADVANCE: Duration = Duration::from_secs(1);

/// Is what tasks send to the driver.
#[derive(Debug)]
pub(super) enum Input {
    /// The store answered.
    Store(Feed, FeedAnswer),
    /// A peer told its news.
    PeerUpdate(Box<PeerUpdate>),
    /// A peer asks what it misses.
    PeerRequest(KnownState, oneshot::Sender<Option<PeerUpdate>>),
    /// Somebody asks for the metrics.
    Metrics(oneshot::Sender<String>),
    /// The settings file changed.
    Settings(Box<EdgeSettings>),
}

/// Tells other tasks what the driver knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct DriverState {
    pub(super) known: KnownState,
    /// The revision of the directory's last change.
    pub(super) last_change: Revision,
    /// When the store last confirmed all of that.
    pub(super) last_confirmed: Option<MonoTime>,
    /// Counts the pauses of the process; knowledge has to be read again after one.
    pub(super) pauses: u64,
}

impl DriverState {
    /// Tells whether a peer that knows `known`, confirmed at `confirmed` or before, misses anything.
    pub(super) fn has_update_for(
        &self,
        known: KnownState,
        last_confirmed: Option<MonoTime>,
    ) -> bool {
        let is_newly_confirmed = match (self.last_confirmed, last_confirmed) {
            (Some(new), Some(old)) => new >= old + MIN_CONFIRMATION_ADVANCE,
            (new, None) => new.is_some(),
            (None, Some(_)) => false,
        };
        self.last_change > known.targets || self.known.version > known.version || is_newly_confirmed
    }
}
