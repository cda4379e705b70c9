use std::time::Duration;

use derive_more::Display;

use crate::units::MonoTime;

use crate::steering::{Position, WatchSettings};

/// Why a balancer calls the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreNeed {
    /// The balancer is a relay, on whose updates others depend.
    Relay,
    /// No peer is up to date.
    NoRelay,
    /// Peers are being asked; no call is needed before the given time.
    After(MonoTime),
    /// A peer provides the updates, so no call is needed.
    None,
}

/// Chooses the calls that keep one kind of the store's objects up to date.
///
/// It lists once, unless peers provide the first state, and then watches. A failure discards nothing
/// that is known.
#[derive(Clone, Debug)]
pub struct WatchLoop {
    cfg: WatchSettings,
    position: Option<Position>,
    listed: bool,
    /// Whether the history after the known position is gone, so that only a list helps.
    must_list: bool,
    /// Whether the first page was asked for while peers were being asked.
    tried_first_page: bool,
    /// Whether a response was current, so that refusals may be based on it.
    confirmed: bool,
    /// Whether the last call succeeded and nothing has intervened, so that the next call may wait
    /// long. A hung store accepts a call and never responds, which a call without a wait detects
    /// sooner.
    responsive: bool,
    failures: u32,
    not_before: MonoTime,
    /// When the last call failed and how long relays pause after it.
    pause: Option<(MonoTime, Duration)>,
    /// The time until which no call is made because calls of other kinds fail.
    suspended_until: MonoTime,
}

/// The next call to the store, or the time to wait for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreStep {
    /// Make no call until the given time.
    WaitUntil(MonoTime),
    /// Make no call until something changes.
    Idle,
    /// Read all objects.
    List {
        /// Whether a response that is seconds old is enough, because the changes since then are
        /// read next.
        stale: bool,
        /// How much may be read.
        extent: ListExtent,
    },
    /// Wait for changes after `from`.
    Watch {
        /// The revision up to which changes are known.
        from: Position,
        /// The maximum wait.
        wait: Duration,
    },
}

impl StoreStep {
    /// Returns whether the step calls the store.
    pub const fn is_call(&self) -> bool {
        matches!(self, Self::List { .. } | Self::Watch { .. })
    }
}

/// The cause of a failed call to the store.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum StoreCallError {
    /// The store has compacted the history after the requested revision.
    Compacted,
    /// The store came back from an older copy, so its changes do not follow the known position.
    Returned,
    /// The store refused the call.
    Refused,
    /// There was no response in time, or the connection broke.
    NoAnswer,
    /// The response could not be decoded.
    Unreadable,
    /// The list has more than the page that was asked for.
    MorePages,
}

/// How much of a list is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListExtent {
    /// Everything.
    All,
    /// The first page, if there is no other.
    FirstPage,
}

/// The factor of the pauses of balancers that are no relays: once the store responds again, their
/// peers tell them, unless these are lost too.
const RETRY_FACTOR: u32 = 3;
/// The time after the last failure of another kind's call from which the store is called without
/// waiting for a success: a balancer whose peers provide the other kinds makes no such calls. A
/// store that hangs makes them fail every 1.2 s and a pause of at most 3 s.
const SUSPENSION: Duration = Duration::from_secs(5);
/// The number of doublings after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 10;

impl WatchLoop {
    /// Returns a loop that starts with a list.
    pub fn new(cfg: WatchSettings) -> Self {
        Self {
            cfg,
            position: None,
            listed: false,
            must_list: false,
            tried_first_page: false,
            confirmed: false,
            responsive: false,
            failures: 0,
            not_before: MonoTime::default(),
            pause: None,
            suspended_until: MonoTime::default(),
        }
    }

    /// Returns the next step.
    ///
    /// `known` is the revision up to which peers have provided all changes.
    pub fn next_step(&mut self, now: MonoTime, need: StoreNeed, known: Position) -> StoreStep {
        match need {
            StoreNeed::None => {
                self.responsive = false;
                return StoreStep::Idle;
            }
            // A short list is read faster than peers can be found; a long one is left to them.
            StoreNeed::After(_) if !self.tried_first_page && known == Position::ZERO => {
                self.tried_first_page = true;
                return StoreStep::List {
                    stale: true,
                    extent: ListExtent::FirstPage,
                };
            }
            StoreNeed::After(at) if now < at => {
                self.responsive = false;
                return StoreStep::WaitUntil(at);
            }
            StoreNeed::After(_) | StoreNeed::Relay | StoreNeed::NoRelay => {}
        }
        let factor = match need {
            StoreNeed::Relay => 1,
            _ => RETRY_FACTOR,
        };
        let retry_at = self.pause.map(|(failed, pause)| failed + pause * factor);
        let not_before = retry_at.unwrap_or_default().max(self.not_before);
        if now < not_before {
            return StoreStep::WaitUntil(not_before);
        }
        let is_known = known != Position::ZERO || self.position.is_some();
        if is_known && now < self.suspended_until {
            return StoreStep::WaitUntil(self.suspended_until);
        }
        let known = (known != Position::ZERO && !self.must_list).then_some(known);
        match self.position.max(known) {
            None => StoreStep::List {
                stale: !self.listed,
                extent: ListExtent::All,
            },
            Some(from) => StoreStep::Watch {
                from,
                wait: if self.confirmed && self.responsive {
                    self.cfg.watch_wait
                } else {
                    Duration::ZERO
                },
            },
        }
    }

    /// Records a list that may be seconds old; a watch without a wait follows at once.
    pub fn on_stale_list(&mut self, now: MonoTime, as_of: Position) {
        self.failures = 0;
        self.pause = None;
        self.listed = true;
        self.must_list = false;
        self.position = Some(as_of);
        self.not_before = now;
    }

    /// Records a response that holds everything up to `as_of`; `changed` tells whether it had
    /// anything new.
    pub fn on_response(&mut self, now: MonoTime, as_of: Position, changed: bool) {
        // A store whose history is gone right after each list is not listed without a pause.
        if !self.must_list {
            self.failures = 0;
        }
        self.pause = None;
        self.listed = true;
        self.must_list = false;
        self.confirmed = true;
        self.responsive = true;
        self.position = self.position.max(Some(as_of));
        self.not_before = if changed {
            now + self.cfg.coalesce_delay
        } else {
            now
        };
    }

    /// Records a failed call.
    pub fn on_failure(&mut self, now: MonoTime, error: StoreCallError) {
        self.responsive = false;
        if error == StoreCallError::MorePages {
            return;
        }
        let lost_position = matches!(error, StoreCallError::Compacted | StoreCallError::Returned);
        // The same watch would return the same answer.
        if lost_position || error == StoreCallError::Unreadable {
            self.position = None;
            self.must_list = true;
            self.listed = true;
            if lost_position && self.failures == 0 {
                self.failures = 1;
                return;
            }
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let pause = self.cfg.retry_min * (1 << doublings);
        self.failures = self.failures.saturating_add(1);
        self.pause = Some((now, pause.min(self.cfg.retry_max)));
    }

    /// Records that a call for another kind of objects failed: the connection of a pending watch may
    /// be lost too, and what is known is kept until the store responds again.
    ///
    /// The store is not called meanwhile, so that an outage does not cost additional calls.
    pub fn on_other_failure(&mut self, now: MonoTime) {
        self.responsive = false;
        self.suspended_until = now + SUSPENSION;
    }

    /// Records that a call for another kind of objects succeeded.
    pub fn on_other_response(&mut self, now: MonoTime) {
        if now < self.suspended_until {
            self.suspended_until = now;
            self.pause = None;
        }
    }

    /// Starts again after a pause of the process: the next call reads all changes since the known
    /// position and does not wait.
    pub fn restart(&mut self, now: MonoTime) {
        self.confirmed = false;
        self.responsive = false;
        self.not_before = now;
        self.pause = None;
        self.suspended_until = now;
    }
}
