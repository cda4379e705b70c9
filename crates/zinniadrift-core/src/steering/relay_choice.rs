use std::time::Duration;

use super::StoreNeed;

/// Decides which peer a balancer asks for news, and whether that is enough.
///
/// A few balancers, the relays, watch the store; all others ask a relay, so that the calls to the
/// store do not grow with the number of balancers. Relays ask each other too: one that is cut off
/// from the store stays current. Without a current relay a balancer watches the store itself.
#[derive(Clone, Debug)]
pub struct RelayChoice {
    relays: usize,
    turn: usize,
    is_relay: bool,
    current: bool,
}

/// The age of the store's confirmation from which a relay is no better than the store.
///
/// A relay hears from the store at least every four seconds (`watch_wait`), and another second is
/// lost on the way.
const MAX_AGE: Duration = Duration::from_secs(6);

impl RelayChoice {
    /// Returns the choice among `relays` peers, which begins with the one at `first`.
    pub fn new(relays: usize, first: usize, is_relay: bool) -> Self {
        Self {
            relays,
            turn: first,
            is_relay,
            current: false,
        }
    }

    /// Returns the position of the relay to ask; `None` if there is none.
    pub fn relay(&self) -> Option<usize> {
        (self.relays > 0).then(|| self.turn % self.relays)
    }

    /// Records an answer whose knowledge the store confirmed `age` ago.
    pub fn on_answer(&mut self, age: Duration) {
        self.current = age <= MAX_AGE;
        if !self.current {
            self.turn = self.turn.wrapping_add(1);
        }
    }

    /// Records that the relay did not answer.
    pub fn on_fault(&mut self) {
        self.current = false;
        self.turn = self.turn.wrapping_add(1);
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
