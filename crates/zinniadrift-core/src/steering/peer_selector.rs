use std::net::SocketAddr;
use std::time::Duration;

use super::StoreNeed;

/// Decides which peer a balancer asks for news, and whether that is enough.
///
/// A few balancers, the relays, watch the store; all others ask a relay or a peer that a relay
/// refers them to, so that the calls to the store do not grow with the number of balancers. Relays
/// ask each other too: one that is cut off from the store stays current. Without a current peer a
/// balancer watches the store itself.
#[derive(Clone, Debug)]
pub struct PeerSelector {
    relays: Vec<SocketAddr>,
    /// Spreads the balancers over the relays and the peers that these refer to.
    offset: usize,
    /// The number of peers left so far, which chooses another one.
    rotation: usize,
    is_relay: bool,
    /// The age of a confirmation from which another relay may know more.
    expected_max_age: Duration,
    is_current: bool,
    /// The age that the last answer told.
    last_age: Duration,
    /// The peers left since one had news as current as usual; the count starts again with every
    /// question that waits.
    tried: usize,
    referred_to: Option<SocketAddr>,
    referrals: usize,
}

/// The age of the store's confirmation from which a balancer asks the store before it has asked all
/// relays.
const MAX_AGE: Duration = Duration::from_secs(6);
/// How long a peer may wait for news; one that went silent is noticed after it.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// The shortest wait for news, so that an age near the usual one does not cause many questions.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// The referrals followed one after the other; a tree of all planned balancers needs three.
const MAX_REFERRALS: usize = 6;

impl PeerSelector {
    /// Returns the choice among `relays`; `offset` differs between balancers and chooses the first.
    ///
    /// A peer whose news were confirmed longer ago than `expected_max_age` has probably lost the store.
    pub fn new(
        relays: Vec<SocketAddr>,
        offset: usize,
        is_relay: bool,
        expected_max_age: Duration,
    ) -> Self {
        Self {
            relays,
            offset,
            rotation: 0,
            is_relay,
            expected_max_age,
            is_current: false,
            last_age: Duration::ZERO,
            tried: 0,
            referred_to: None,
            referrals: 0,
        }
    }

    /// Returns the peer to ask; `None` if there is none.
    pub fn peer(&self) -> Option<SocketAddr> {
        let position = || {
            let choice = self.offset.wrapping_add(self.rotation);
            choice.checked_rem(self.relays.len())
        };
        self.referred_to.or_else(|| Some(self.relays[position()?]))
    }

    /// Returns how long the peer may wait for news before it answers.
    ///
    /// After a peer that may have lost the store all other relays are asked at once.
    pub fn long_poll_wait(&self) -> Duration {
        if (1..self.relays.len()).contains(&self.tried) {
            return Duration::ZERO;
        }
        // The answer tells whether the peer heard from the store in time.
        let remaining = self.expected_max_age.saturating_sub(self.last_age);
        if remaining.is_zero() {
            return MAX_WAIT;
        }
        remaining.clamp(MIN_WAIT, MAX_WAIT)
    }

    /// Records an answer whose knowledge the store confirmed `age` ago.
    pub fn on_response(&mut self, age: Duration) {
        self.referrals = 0;
        self.last_age = age;
        if age <= self.expected_max_age {
            self.is_current = true;
            self.tried = 0;
            return;
        }
        self.select_next();
        if age > MAX_AGE || self.tried >= self.relays.len() {
            self.is_current = false;
        }
    }

    /// Records that the peer answers others only, and refers to `peers`.
    ///
    /// Returns whether one of them is to be asked; too many referrals count as a fault.
    pub fn on_referral(&mut self, peers: &[SocketAddr]) -> bool {
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
                self.on_failure();
                false
            }
        }
    }

    /// Records that the peer did not answer.
    pub fn on_failure(&mut self) {
        self.is_current = false;
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

    /// Tells whether the balancer has to watch the store itself.
    pub const fn store_need(&self) -> StoreNeed {
        match (self.is_relay, self.is_current) {
            (true, _) => StoreNeed::Relay,
            (false, true) => StoreNeed::None,
            (false, false) => StoreNeed::NoRelay,
        }
    }
}
