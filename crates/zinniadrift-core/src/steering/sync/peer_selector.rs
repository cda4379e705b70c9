use std::net::SocketAddr;
use std::time::Duration;

use crate::steering::StoreNeed;
use crate::units::MonoTime;

/// Selects the peer that a balancer requests updates from, and decides whether the balancer needs
/// the store too.
///
/// A few balancers, the relays, watch the store. All others ask a relay, or a peer that a relay
/// refers them to, so that the number of calls to the store does not grow with the number of
/// balancers. Relays ask each other too: a relay that is cut off from the store stays up to date. A
/// balancer without an up-to-date peer watches the store itself.
#[derive(Clone, Debug)]
pub struct PeerSelector {
    relays: Vec<SocketAddr>,
    /// Distributes the balancers over the relays and over the peers that relays refer to.
    offset: usize,
    /// The number of peers abandoned so far, by which the selection moves on.
    rotation: usize,
    is_relay: bool,
    /// The age of a confirmation beyond which another relay may know more.
    expected_max_age: Duration,
    source: Source,
    /// The age of the confirmation in the last response.
    last_age: Duration,
    /// The peers abandoned since the last one that was up to date. Once all relays were tried, the
    /// count starts again at 1, so that one request in each round waits.
    tried: usize,
    referred_to: Option<SocketAddr>,
    referrals: usize,
    /// Whether the last peer that responded sends the drained zones.
    sends_zones: bool,
}

/// Where a balancer's updates come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    /// The process has just started, and no peer has responded yet.
    Starting {
        /// When the balancer stops waiting for peers and turns to the store.
        until: MonoTime,
        /// Whether a peer responded that has no state yet itself.
        is_contacted: bool,
    },
    /// A peer is up to date.
    Peer {
        /// Whether the peer is not a relay.
        is_deep: bool,
    },
    /// The last peer failed a moment ago, and another one is sought.
    Searching {
        /// When the balancer turns to the store.
        until: MonoTime,
    },
    /// No peer is up to date.
    Store,
}

/// The time for which a balancer that has just started waits for a first response of a peer before
/// it lists the store itself.
const START_PATIENCE: Duration = Duration::from_millis(250);
/// The time for which it waits, from its start, while peers respond that have no state yet: a fleet
/// that starts at once does not list the store at once, and the store may not have a configuration
/// yet.
const CONTACT_PATIENCE: Duration = Duration::from_millis(2_000);
/// The time for which a balancer whose peer failed looks for another one before it calls the store.
const SEARCH_PATIENCE: Duration = Duration::from_millis(500);
/// The time for which a balancer whose peers have lost the store waits for one of them to regain it,
/// if a relay is not its direct peer. The direct peers of relays call the store first and provide
/// the others, so that an outage costs calls of few balancers.
const DEEP_PATIENCE: Duration = Duration::from_millis(4_000);
/// The maximum addition to these, different for each balancer, so that balancers that lose their
/// peers together do not call the store at the same moment.
const MAX_STAGGER: Duration = Duration::from_millis(300);
/// The age of the store's confirmation beyond which a balancer watches the store even before it has
/// tried all relays.
const MAX_AGE: Duration = Duration::from_secs(6);
/// The longest time that a peer may hold a request open; a peer that became unreachable is detected
/// after it.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// The shortest time that a peer may hold a request open, so that an age close to the expected
/// maximum does not cause many requests.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// The referrals followed in a row; a tree of all planned balancers needs three.
const MAX_REFERRALS: usize = 6;

impl PeerSelector {
    /// Returns a selector for `relays` of a process that starts at `now`; `offset` differs between
    /// balancers and selects the first relay.
    ///
    /// A peer whose knowledge was confirmed longer ago than `expected_max_age` has probably lost
    /// its connection to the store.
    pub fn new(
        now: MonoTime,
        relays: Vec<SocketAddr>,
        offset: usize,
        is_relay: bool,
        expected_max_age: Duration,
    ) -> Self {
        let source = if relays.is_empty() {
            Source::Store
        } else {
            let until = now + START_PATIENCE + stagger(offset);
            Source::Starting {
                until,
                is_contacted: false,
            }
        };
        Self {
            relays,
            offset,
            rotation: 0,
            is_relay,
            expected_max_age,
            source,
            last_age: Duration::ZERO,
            tried: 0,
            referred_to: None,
            referrals: 0,
            sends_zones: true,
        }
    }

    /// Returns whether this balancer is a relay.
    pub const fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Returns the peer to ask, or `None` if there are no relays.
    pub fn peer(&self) -> Option<SocketAddr> {
        let position = || {
            let choice = self.offset.wrapping_add(self.rotation);
            choice.checked_rem(self.relays.len())
        };
        self.referred_to.or_else(|| Some(self.relays[position()?]))
    }

    /// Records that a peer responded which has no state yet.
    pub fn on_contact(&mut self) {
        if let Source::Starting {
            until,
            is_contacted: false,
        } = self.source
        {
            self.source = Source::Starting {
                until: until + (CONTACT_PATIENCE - START_PATIENCE),
                is_contacted: true,
            };
        }
    }

    /// Returns the selector of the `n`-th request of a process that has just started.
    ///
    /// These requests go to different relays and overlap, so that a relay that is down does not
    /// delay the start.
    pub fn for_first_request(&self, n: usize) -> Self {
        let mut selector = self.clone();
        selector.rotation = selector.rotation.wrapping_add(n);
        selector
    }

    /// Returns how long the peer may hold the request open until it has an update.
    ///
    /// After a peer that may have lost the store, the other relays are asked without waiting.
    pub fn long_poll_wait(&self) -> Duration {
        if (1..self.relays.len()).contains(&self.tried) {
            return Duration::ZERO;
        }
        // A response by then shows whether the peer heard from the store in time.
        let remaining = self.expected_max_age.saturating_sub(self.last_age);
        if remaining.is_zero() {
            return MAX_WAIT;
        }
        remaining.clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Records a response whose content the store confirmed `age` ago.
    pub fn on_response(&mut self, now: MonoTime, age: Duration) {
        self.referrals = 0;
        self.last_age = age;
        if age <= self.expected_max_age {
            let is_deep = self.referred_to.is_some();
            self.source = Source::Peer { is_deep };
            self.tried = 0;
            return;
        }
        self.select_next();
        if age <= MAX_AGE && self.tried < self.relays.len() {
            return;
        }
        self.source = match self.source {
            Source::Peer { is_deep: true } => {
                let until = now + DEEP_PATIENCE + stagger(self.offset);
                Source::Searching { until }
            }
            Source::Searching { until } if now < until => self.source,
            _ => Source::Store,
        };
    }

    /// Records whether the last response had the drained zones, which a peer of an older build does
    /// not send.
    pub fn on_zone_drains(&mut self, are_included: bool) {
        self.sends_zones = are_included;
    }

    /// Records that the peer refers this balancer to `peers` instead.
    ///
    /// Returns whether one of them is to be asked; too many referrals in a row count as a failure.
    pub fn on_referral(&mut self, now: MonoTime, peers: &[SocketAddr]) -> bool {
        // Balancers that share a relay differ in the quotient.
        let quotient = self.offset / self.relays.len().max(1);
        let choice = quotient.wrapping_add(self.rotation + self.referrals);
        let position = choice.checked_rem(peers.len());
        match position.and_then(|p| peers.get(p)) {
            Some(peer) if self.referrals < MAX_REFERRALS => {
                self.referrals += 1;
                self.referred_to = Some(*peer);
                true
            }
            _ => {
                self.on_failure(now);
                false
            }
        }
    }

    /// Records that the peer did not respond.
    pub fn on_failure(&mut self, now: MonoTime) {
        if let Source::Peer { .. } = self.source {
            let until = now + SEARCH_PATIENCE + stagger(self.offset);
            self.source = Source::Searching { until };
        }
        self.select_next();
    }

    fn select_next(&mut self) {
        self.tried = if self.tried < self.relays.len() {
            self.tried + 1
        } else {
            1
        };
        self.rotation = self.rotation.wrapping_add(1);
        self.referred_to = None;
        self.referrals = 0;
    }

    /// Returns why the balancer has to watch the store, if it has to.
    pub const fn store_need(&self) -> StoreNeed {
        match self.source {
            _ if self.is_relay => StoreNeed::Relay,
            Source::Starting { until, .. } | Source::Searching { until } => StoreNeed::After(until),
            Source::Peer { .. } => StoreNeed::None,
            Source::Store => StoreNeed::NoRelay,
        }
    }

    /// Returns why the balancer has to watch the drained zones in the store, if it has to.
    pub const fn zone_drains_need(&self) -> StoreNeed {
        match self.store_need() {
            StoreNeed::None if !self.sends_zones => StoreNeed::NoRelay,
            need => need,
        }
    }
}

/// Returns the addition to the patience of the balancer with this offset.
fn stagger(offset: usize) -> Duration {
    // The low bits select the relay.
    let part = (offset >> 16) % 1_024;
    MAX_STAGGER * u32::try_from(part).unwrap_or_default() / 1_024
}
