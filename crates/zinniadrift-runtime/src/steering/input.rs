use std::time::Duration;

use tokio::sync::oneshot;

use zinniadrift_core::steering::{
    KnownState, ObservationMark, ObservationReport, PauseCount, PeerUpdate, Position, ShareRequest,
};
use zinniadrift_core::units::MonoTime;

use super::{EdgeSettings, Feed, FeedResponse};

/// The minimum advance of the store's confirmation time that counts as an update by itself. Without
/// changes, the store confirms the state once in each wait of a watch.
const MIN_CONFIRMATION_ADVANCE: Duration = Duration::from_secs(1);

/// What a peer requests.
#[derive(Debug)]
pub(super) struct UpdateRequest {
    /// The state that it knows.
    pub(super) known: KnownState,
    /// The part of the limits of all balancers that it asks for.
    pub(super) share: Option<ShareRequest>,
    /// The part of this balancer's observations that it has.
    pub(super) observations: ObservationMark,
}

/// A message from a task to the driver.
#[derive(Debug)]
pub(super) enum Input {
    /// A response of the store, requested after the given number of pauses.
    Store(Feed, FeedResponse, PauseCount),
    /// An update from a peer, requested after the given number of pauses at the given time.
    PeerUpdate(Box<PeerUpdate>, PauseCount, MonoTime),
    /// A peer's request for updates.
    PeerRequest(UpdateRequest, oneshot::Sender<Option<PeerUpdate>>),
    /// Another balancer's report of its observations.
    Observations(Box<ObservationReport>),
    /// A request for this balancer's observations, to report them as a relay or to its peer.
    ReportObservations {
        is_relay: bool,
        tx: oneshot::Sender<OutgoingObservations>,
    },
    /// A request for the metrics.
    Metrics(oneshot::Sender<String>),
    /// The new settings after a change of the settings file.
    Settings(Box<EdgeSettings>),
}

/// What a balancer sends about observations.
#[derive(Debug, Default)]
pub(super) struct OutgoingObservations {
    /// What it reports; `None` if it has nothing to report.
    pub(super) report: Option<ObservationReport>,
    /// The place in its peer's table up to which it has the changes.
    pub(super) known: ObservationMark,
}

/// The state of the observations as published to the other tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct ObservationState {
    /// Whether observations are shared.
    pub(super) enabled: bool,
    /// The last change for which waiting peers are answered.
    pub(super) alert: ObservationMark,
    /// The number of times that something had to be reported at once.
    pub(super) urgent_reports: u64,
}

impl ObservationState {
    /// Returns the place in the table after which a change is an update for a peer that knows the
    /// table up to `known`.
    pub(super) fn baseline(&self, known: ObservationMark) -> u64 {
        if known.epoch == self.alert.epoch {
            known.seq
        } else {
            self.alert.seq
        }
    }

    /// Returns whether there was a change after `baseline` that should not wait.
    pub(super) const fn is_alert_after(&self, baseline: u64) -> bool {
        self.enabled && self.alert.seq > baseline
    }
}

/// The driver's state as published to the other tasks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct DriverState {
    pub(super) known: KnownState,
    /// The revision of the directory's last change.
    pub(super) last_change: Position,
    /// The position at which the set of drained zones last changed.
    pub(super) last_zone_change: Position,
    /// The time at which the store last confirmed the known state.
    pub(super) last_confirmed: Option<MonoTime>,
    /// The number of pauses of the process; after each one the store has to be read again.
    pub(super) pauses: PauseCount,
    /// Whether a part of the limits of all balancers is of use.
    pub(super) wants_share: bool,
    /// The number of balancers that get their parts through this one, itself included.
    pub(super) subtree: u32,
    pub(super) observations: ObservationState,
}

impl DriverState {
    /// Returns whether there is an update for a peer that has the state `known`, confirmed at
    /// `last_confirmed` or earlier.
    pub(super) fn has_update_for(
        &self,
        known: KnownState,
        last_confirmed: Option<MonoTime>,
    ) -> bool {
        // What is not confirmed is not passed on.
        if self.last_confirmed.is_none() {
            return false;
        }
        let is_newly_confirmed = match (self.last_confirmed, last_confirmed) {
            (Some(new), Some(old)) => new >= old + MIN_CONFIRMATION_ADVANCE,
            (new, None) => new.is_some(),
            (None, Some(_)) => false,
        };
        // A peer that does not know the drained zones may be of a build that ignores them.
        let has_zone_change = !known.zones.is_zero() && self.last_zone_change > known.zones;
        has_zone_change
            || self.last_change > known.targets
            || self.known.version > known.version
            || is_newly_confirmed
    }
}
