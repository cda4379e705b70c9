use std::collections::BTreeSet;
use std::time::Duration;

use rand::{Rng, RngExt};
use zinniadrift_core::ids::ZoneName;

/// The delays, the loss rate and the blocked links between members.
#[derive(Clone, Debug)]
pub struct Network {
    /// The one-way delay within an availability zone.
    pub within_zone: Duration,
    /// The one-way delay between availability zones.
    pub between_zones: Duration,
    /// The upper bound of the random delay that is added to the fixed one.
    pub jitter: Duration,
    /// The share of messages and relayed packets that are lost, from 0.0 to 1.0.
    pub loss: f64,
    /// The blocked links, as pairs of sender and receiver.
    blocked: BTreeSet<(usize, usize)>,
}

impl Default for Network {
    /// Returns the delays of the two users' availability zones, without loss.
    fn default() -> Self {
        Self {
            within_zone: Duration::from_micros(100),
            between_zones: Duration::from_micros(500),
            jitter: Duration::from_micros(100),
            loss: 0.0,
            blocked: BTreeSet::new(),
        }
    }
}

impl Network {
    /// Blocks the link from `from` to `to`; the other direction is unaffected.
    pub fn block(&mut self, from: usize, to: usize) {
        self.blocked.insert((from, to));
    }

    /// Unblocks all links.
    pub fn heal(&mut self) {
        self.blocked.clear();
    }

    /// Returns whether the link from `from` to `to` is not blocked.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        !self.blocked.contains(&(from, to))
    }

    /// Returns a random decision on whether a message is lost.
    pub(super) fn loses(&self, rng: &mut impl Rng) -> bool {
        self.loss > 0.0 && rng.random_bool(self.loss.min(1.0))
    }

    /// Returns a random one-way delay between two availability zones.
    pub(super) fn delay(&self, from: &ZoneName, to: &ZoneName, rng: &mut impl Rng) -> Duration {
        let fixed = if from == to {
            self.within_zone
        } else {
            self.between_zones
        };
        let jitter = self.jitter.as_micros() as u64;
        fixed + Duration::from_micros(rng.random_range(0..=jitter))
    }
}
