use std::time::Duration;

use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::units::MonoTime;

/// The place of a target in the order in which this balancer's new flows go round, so that targets
/// get flows in proportion to their capacity.
///
/// A balancer with few flows finds most targets idle, so the lowest cost alone would send all flows
/// to the fastest ones. As in weighted fair queueing, each flow moves its target back by the inverse
/// of the target's capacity, and the target that is furthest ahead gets the next one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Share {
    /// The sum over all flows of the inverse of the capacity at the time.
    position: f64,
    /// Drawn uniformly from [0, 1) after each placement, and added to the position in steps of one
    /// flow. It makes the expected share proportional to the capacity however few flows there are,
    /// and balancers that know the same choose different targets.
    phase: Option<f32>,
    /// When the target was last a candidate.
    considered: MonoTime,
}

/// The largest distance from the mean, in flows, that the phases cause.
const MAX_DISTANCE: f64 = 1.5;
/// The time without being a candidate from which the target takes its place in the order anew.
const ABSENCE: Duration = Duration::from_secs(1);

impl Share {
    /// Prepares the target for a choice, and returns its position.
    pub(crate) fn prepare(&mut self, rng: &mut Xoshiro256PlusPlus) -> f64 {
        self.phase.get_or_insert_with(|| rng.random_range(0.0..1.0));
        self.position
    }

    /// Records a choice at `now`, and moves a target to the `mean` position if it was no candidate
    /// for a while before `latest`, the last choice, or if it is far from the mean.
    ///
    /// Otherwise it would get at once what it missed, or nothing until the others have as much.
    pub(crate) fn level_out(
        &mut self,
        now: MonoTime,
        latest: MonoTime,
        mean: f64,
        capacity: f32,
        rng: &mut Xoshiro256PlusPlus,
    ) {
        let distance = (self.position - mean).abs() * f64::from(capacity);
        if latest.since(self.considered) > ABSENCE {
            self.position = mean;
            self.phase = Some(rng.random_range(0.0..1.0));
        } else if distance > MAX_DISTANCE {
            self.position = mean;
        }
        self.considered = now;
    }

    /// Returns when the target was last a candidate.
    pub(crate) const fn considered(&self) -> MonoTime {
        self.considered
    }

    /// Returns the distance from the `mean` position, with the phase.
    pub(crate) fn distance(&self, mean: f64, capacity: f32) -> f32 {
        (self.position - mean) as f32 + self.phase() / capacity
    }

    /// Returns the phase, in [0, 1).
    pub(crate) fn phase(&self) -> f32 {
        self.phase.unwrap_or_default()
    }

    /// Records a placement.
    pub(crate) fn place(&mut self, capacity: f32, rng: &mut Xoshiro256PlusPlus) {
        self.position += f64::from(capacity.recip());
        self.phase = Some(rng.random_range(0.0..1.0));
    }
}
