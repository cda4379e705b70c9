use std::time::Duration;

use tokio::sync::oneshot;

use zinniadrift_core::steering::{KnownState, PeerUpdate, Revision};
use zinniadrift_core::units::MonoTime;

use super::{EdgeSettings, Feed, FeedAnswer};

/// The least progress of the store's confirmation that is news on its own; without changes the
/// store confirms once in each wait of a watch.
const CONFIRMATION_STEP: Duration = Duration::from_secs(1);

/// Is what tasks send to the driver.
#[derive(Debug)]
pub(super) enum Input {
    /// The store answered.
    Store(Feed, FeedAnswer),
    /// A peer told its news.
    Peer(Box<PeerUpdate>),
    /// A peer asks what it misses.
    Question(KnownState, oneshot::Sender<Option<PeerUpdate>>),
    /// Somebody asks for the metrics.
    Metrics(oneshot::Sender<String>),
    /// The settings file changed.
    Settings(Box<EdgeSettings>),
}

/// Tells other tasks what the driver knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct StateMark {
    pub(super) known: KnownState,
    /// The revision of the directory's last change.
    pub(super) changed: Revision,
    /// When the store last confirmed all of that.
    pub(super) confirmed: Option<MonoTime>,
    /// Counts the pauses of the process; knowledge has to be read again after one.
    pub(super) pauses: u64,
}

impl StateMark {
    /// Tells whether a peer that knows `known`, confirmed at `confirmed` or before, misses anything.
    pub(super) fn has_news_for(&self, known: KnownState, confirmed: Option<MonoTime>) -> bool {
        let is_confirmed_anew = match (self.confirmed, confirmed) {
            (Some(new), Some(old)) => new >= old + CONFIRMATION_STEP,
            (new, None) => new.is_some(),
            (None, Some(_)) => false,
        };
        self.changed > known.targets || self.known.version > known.version || is_confirmed_anew
    }
}
