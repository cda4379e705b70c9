use std::time::Duration;

use derive_more::Display;

use crate::units::MonoTime;

use super::{Revision, WatchSettings};

/// Tells why a balancer calls the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreNeed {
    /// It is a relay, whose news others wait for.
    Relay,
    /// No relay is current.
    #[default]
    NoRelay,
    /// A relay brings the news.
    None,
}

/// Decides which call keeps one kind of the store's objects known.
///
/// It lists once and then watches; every failure keeps what is known.
#[derive(Clone, Debug)]
pub struct WatchLoop {
    cfg: WatchSettings,
    position: Option<Revision>,
    listed: bool,
    /// Whether an answer was current, so that it may be a ground for refusals.
    confirmed: bool,
    /// Whether the last call was answered and nothing has come between, so that the next one may
    /// wait long: a silent store takes a call and never answers, which a short one shows sooner.
    responsive: bool,
    failures: u32,
    not_before: MonoTime,
}

/// Is the next call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreStep {
    /// Make no call until then.
    WaitUntil(MonoTime),
    /// Make no call until something changes.
    Idle,
    /// Read all objects.
    List {
        /// Whether an answer that is seconds old will do, because the changes since are read next.
        stale: bool,
    },
    /// Wait for changes after `from`.
    Watch {
        /// The revision up to which changes are known.
        from: Revision,
        /// The longest wait.
        wait: Duration,
    },
}

impl StoreStep {
    /// Tells whether the step calls the store.
    pub const fn is_call(&self) -> bool {
        matches!(self, Self::List { .. } | Self::Watch { .. })
    }
}

/// Tells why a call to the store failed.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum StoreCallError {
    /// The store has dropped the history after the asked revision.
    Compacted,
    /// The store refused the call.
    Refused,
    /// There was no answer in time, or the connection broke.
    NoAnswer,
    /// The answer could not be read.
    Unreadable,
}

/// The number of doublings after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 10;

impl WatchLoop {
    /// Returns a loop that begins with a list.
    pub fn new(cfg: WatchSettings) -> Self {
        Self {
            cfg,
            position: None,
            listed: false,
            confirmed: false,
            responsive: false,
            failures: 0,
            not_before: MonoTime::default(),
        }
    }

    /// Returns the next call.
    ///
    /// `known` is the revision up to which peers have told everything.
    pub fn next_step(&mut self, now: MonoTime, need: StoreNeed, known: Revision) -> StoreStep {
        if self.position.is_some() && need == StoreNeed::None {
            self.responsive = false;
            return StoreStep::Idle;
        }
        // A relay confirms its first list at once; the others wait for a relay to do so.
        let confirms = need == StoreNeed::Relay && self.listed && !self.confirmed;
        if now < self.not_before && !(confirms && self.failures == 0) {
            return StoreStep::WaitUntil(self.not_before);
        }
        match self.position.map(|p| p.max(known)) {
            None => StoreStep::List {
                stale: !self.listed,
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

    /// Records an answer to a list that may have been seconds old.
    pub fn on_stale_list(&mut self, now: MonoTime, as_of: Revision) {
        self.failures = 0;
        self.listed = true;
        self.position = Some(as_of);
        self.not_before = now + self.cfg.relay_wait;
    }

    /// Records an answer that holds everything up to `as_of`; `changed` tells whether it was new.
    pub fn on_response(&mut self, now: MonoTime, as_of: Revision, changed: bool) {
        self.failures = 0;
        self.listed = true;
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
    pub fn on_failure(&mut self, now: MonoTime, fault: StoreCallError) {
        self.responsive = false;
        if fault == StoreCallError::Compacted {
            self.position = None;
            if self.failures == 0 {
                self.failures = 1;
                return;
            }
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let pause = self.cfg.retry_min * (1 << doublings);
        self.failures = self.failures.saturating_add(1);
        self.not_before = now + pause.min(self.cfg.retry_max);
    }

    /// Begins anew with a list, as after a pause of the process.
    pub fn restart(&mut self, now: MonoTime) {
        self.position = None;
        self.not_before = now;
    }
}
