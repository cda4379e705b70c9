use tokio::sync::oneshot;

use zinniadrift_core::steering::{KnownState, PeerUpdate, Revision};

use super::{EdgeSettings, Feed, FeedAnswer};

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
    /// Counts the pauses of the process; knowledge has to be read again after one.
    pub(super) pauses: u64,
}

impl StateMark {
    /// Tells whether a peer that knows `known` misses anything.
    pub(super) fn has_news_for(&self, known: KnownState) -> bool {
        self.changed > known.targets || self.known.version > known.version
    }
}
