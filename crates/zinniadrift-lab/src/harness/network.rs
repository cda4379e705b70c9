use std::collections::BTreeSet;
use std::time::Duration;

use rand::{Rng, RngExt};
use zinniadrift_core::ids::ZoneName;

/// Holds the delays, the loss and the cuts between members.
#[derive(Clone, Debug)]
pub struct Network {
    /// The one-way delay within an availability zone.
    pub within_zone: Duration,
    /// The one-way delay between availability zones.
    pub between_zones: Duration,
    /// The largest random delay on top.
    pub jitter: Duration,
    /// The share of messages that are lost. 0.0 to 1.0.
    pub loss: f64,
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
    /// Stops everything sent from `from` to `to`; the other direction stays up.
    pub fn block(&mut self, from: usize, to: usize) {
        self.blocked.insert((from, to));
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.blocked.clear();
    }

    /// Tells whether `from` reaches `to`.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        !self.blocked.contains(&(from, to))
    }

    /// Draws whether a message is lost.
    pub(super) fn loses(&self, rng: &mut impl Rng) -> bool {
        self.loss > 0.0 && rng.random_bool(self.loss.min(1.0))
    }

    /// Draws the one-way delay between two availability zones.
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
