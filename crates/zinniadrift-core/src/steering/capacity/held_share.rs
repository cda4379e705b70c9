use std::time::Duration;

use crate::units::MonoTime;

use crate::steering::capacity::GRANT_TERM;
use crate::steering::{CapacityShare, RelayPosition, ShareGrant};

/// The part of the interval that a balancer may use and divide among its peers.
///
/// A relay holds its part by its position; any other balancer holds a grant of its peer.
#[derive(Clone, Debug, Default)]
pub struct HeldShare {
    /// The position of a relay; the outer `None` means that it was never set.
    position: Option<Option<RelayPosition>>,
    /// When a relay may begin to use its part.
    relay_from: MonoTime,
    /// The grant of a peer and when it ends.
    lease: Option<(CapacityShare, MonoTime)>,
}

/// The time from a change of the relays to the use of the new parts: relays read the list every 5 s,
/// and the grants of the former parts last [`GRANT_TERM`] longer.
const RELAY_CHANGE_WAIT: Duration = Duration::from_secs(10);

impl HeldShare {
    /// Sets the balancer's position among the relays; `None` if it is no relay.
    ///
    /// At the start of the process, grants of an earlier process of this relay may be in force.
    pub fn set_relay_position(&mut self, now: MonoTime, position: Option<RelayPosition>) {
        let Some(before) = self.position.replace(position) else {
            self.relay_from = now + GRANT_TERM;
            return;
        };
        if before != position {
            self.relay_from = now + RELAY_CHANGE_WAIT;
            self.lease = None;
        }
    }

    /// Accepts the grant in the response to a request that was sent at `sent_at`; it replaces the
    /// one before.
    pub fn accept(&mut self, sent_at: MonoTime, grant: ShareGrant) {
        self.lease = Some((grant.share, sent_at + grant.valid_for));
    }

    /// Ends the grant, because the process was paused and its clock may not have counted the pause.
    pub fn end_grant(&mut self) {
        self.lease = None;
    }

    /// Returns the part that is held and the time for which it still is.
    pub fn current(&self, now: MonoTime) -> Option<(CapacityShare, Duration)> {
        if let Some(position) = self.position.flatten() {
            let share = position.share().filter(|_| now >= self.relay_from)?;
            return Some((share, GRANT_TERM));
        }
        let (share, until) = self.lease?;
        (now < until).then(|| (share, until.since(now)))
    }
}
