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
pub struct RelayChoice {
    relays: Vec<SocketAddr>,
    turn: usize,
    /// Spreads the balancers over the peers that a relay refers to.
    spread: usize,
    is_relay: bool,
    current: bool,
    referred: Option<SocketAddr>,
    referrals: usize,
}

/// The age of the store's confirmation from which a peer is no better than the store.
///
/// A relay hears from the store at least every four seconds (`watch_wait`) and passes that on at
/// once; another second is lost on the way if an answer is.
const MAX_AGE: Duration = Duration::from_secs(6);
/// The referrals followed one after the other; a tree of all planned balancers needs three.
const MAX_REFERRALS: usize = 6;

impl RelayChoice {
    /// Returns the choice among `relays`; `spread` differs between balancers and chooses the first.
    pub fn new(relays: Vec<SocketAddr>, spread: usize, is_relay: bool) -> Self {
        Self {
            relays,
            turn: spread,
            spread,
            is_relay,
            current: false,
            referred: None,
            referrals: 0,
        }
    }

    /// Returns the peer to ask; `None` if there is none.
    pub fn peer(&self) -> Option<SocketAddr> {
        let relay = || self.relays.get(self.turn.checked_rem(self.relays.len())?);
        self.referred.or_else(|| relay().copied())
    }

    /// Records an answer whose knowledge the store confirmed `age` ago.
    pub fn on_answer(&mut self, age: Duration) {
        self.referrals = 0;
        self.current = age <= MAX_AGE;
        if !self.current {
            self.leave_peer();
        }
    }

    /// Records that the peer answers others only, and refers to `peers`.
    ///
    /// Returns whether one of them is to be asked; too many referrals count as a fault.
    pub fn on_referral(&mut self, peers: &[SocketAddr]) -> bool {
        let spread = self.spread / self.relays.len().max(1) + self.referrals;
        let position = spread.checked_rem(peers.len());
        match position.and_then(|p| peers.get(p)) {
            Some(peer) if self.referrals < MAX_REFERRALS => {
                self.referrals += 1;
                self.referred = Some(*peer);
                true
            }
            _ => {
                self.on_fault();
                false
            }
        }
    }

    /// Records that the peer did not answer.
    pub fn on_fault(&mut self) {
        self.current = false;
        self.leave_peer();
    }

    fn leave_peer(&mut self) {
        self.turn = self.turn.wrapping_add(1);
        self.referred = None;
        self.referrals = 0;
        // Another peer is chosen if the next relay refers to the same ones.
        self.spread = self.spread.wrapping_add(self.relays.len());
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
