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
    spread: usize,
    /// The number of peers left so far, which chooses another one.
    turn: usize,
    is_relay: bool,
    /// The age of a confirmation from which another relay may know more.
    usual_age: Duration,
    current: bool,
    /// The age that the last answer told.
    age: Duration,
    /// The peers left since one had news as current as usual; the count starts again with every
    /// question that waits.
    left: usize,
    referred: Option<SocketAddr>,
    referrals: usize,
}

/// The age of the store's confirmation from which a balancer asks the store before it has asked all
/// relays.
const MAX_AGE: Duration = Duration::from_secs(6);
/// How long a peer may wait for news; one that went silent is noticed after it.
const NEWS_WAIT: Duration = Duration::from_millis(1_000);
/// The shortest wait for news, so that an age near the usual one does not cause many questions.
const MIN_WAIT: Duration = Duration::from_millis(100);
/// The referrals followed one after the other; a tree of all planned balancers needs three.
const MAX_REFERRALS: usize = 6;

impl PeerSelector {
    /// Returns the choice among `relays`; `spread` differs between balancers and chooses the first.
    ///
    /// A peer whose news were confirmed longer ago than `usual_age` has probably lost the store.
    pub fn new(
        relays: Vec<SocketAddr>,
        spread: usize,
        is_relay: bool,
        usual_age: Duration,
    ) -> Self {
        Self {
            relays,
            spread,
            turn: 0,
            is_relay,
            usual_age,
            current: false,
            age: Duration::ZERO,
            left: 0,
            referred: None,
            referrals: 0,
        }
    }

    /// Returns the peer to ask; `None` if there is none.
    pub fn peer(&self) -> Option<SocketAddr> {
        let position = || {
            let choice = self.spread.wrapping_add(self.turn);
            choice.checked_rem(self.relays.len())
        };
        self.referred.or_else(|| Some(self.relays[position()?]))
    }

    /// Returns how long the peer may wait for news before it answers.
    ///
    /// After a peer that may have lost the store all other relays are asked at once.
    pub fn long_poll_wait(&self) -> Duration {
        if (1..self.relays.len()).contains(&self.left) {
            return Duration::ZERO;
        }
        // The answer tells whether the peer heard from the store in time.
        let rest = self.usual_age.saturating_sub(self.age);
        if rest.is_zero() {
            return NEWS_WAIT;
        }
        rest.clamp(MIN_WAIT, NEWS_WAIT)
    }

    /// Records an answer whose knowledge the store confirmed `age` ago.
    pub fn on_response(&mut self, age: Duration) {
        self.referrals = 0;
        self.age = age;
        if age <= self.usual_age {
            self.current = true;
            self.left = 0;
            return;
        }
        self.leave_peer();
        if age > MAX_AGE || self.left >= self.relays.len() {
            self.current = false;
        }
    }

    /// Records that the peer answers others only, and refers to `peers`.
    ///
    /// Returns whether one of them is to be asked; too many referrals count as a fault.
    pub fn on_referral(&mut self, peers: &[SocketAddr]) -> bool {
        // Balancers that share a relay differ in the rest.
        let rest = self.spread / self.relays.len().max(1);
        let choice = rest.wrapping_add(self.turn + self.referrals);
        let position = choice.checked_rem(peers.len());
        match position.and_then(|p| peers.get(p)) {
            Some(peer) if self.referrals < MAX_REFERRALS => {
                self.referrals += 1;
                self.referred = Some(*peer);
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
        self.current = false;
        self.leave_peer();
    }

    fn leave_peer(&mut self) {
        self.left = if self.left < self.relays.len() {
            self.left + 1
        } else {
            1
        };
        self.turn = self.turn.wrapping_add(1);
        self.referred = None;
        self.referrals = 0;
    }

    /// Tells whether the balancer has to watch the store itself.
    pub const fn store_need(&self) -> StoreNeed {
        match (self.is_relay, self.current) {
            (true, _) => StoreNeed::Relay,
            (false, true) => StoreNeed::None,
            (false, false) => StoreNeed::NoRelay,
        }
    }
}
