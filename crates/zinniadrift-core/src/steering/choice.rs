use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;

use super::directory::TargetIndex;

/// Is a target that may get a new flow, with what the choice goes by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) index: TargetIndex,
    /// Requests at work, and for routes with long flows the open flows.
    pub(crate) load: f32,
    /// Requests that the target works on at once.
    pub(crate) slots: f32,
    /// How many times slower than its service's median the target answers; at least 1.
    pub(crate) slowdown: f32,
    /// What the way to the target costs, in requests at work a slot.
    pub(crate) zone_cost: f32,
    /// How many times more load a nearer target may carry before this one is chosen; at least 1.
    pub(crate) remote_factor: f32,
}

impl Candidate {
    /// Returns the expected wait in units of an idle target's time to answer.
    fn cost(&self) -> f32 {
        (self.load + 1.0) / self.slots * self.slowdown * self.remote_factor + self.zone_cost
    }
}

/// Scores within this share of each other count as equal, so that balancers that see the same
/// load do not all choose the same target.
const TIE_MARGIN: f32 = 1e-3;

/// Picks the candidate with the least cost; ties are broken at random.
pub(crate) fn pick_lowest_cost(
    candidates: &[Candidate],
    rng: &mut Xoshiro256PlusPlus,
) -> Option<TargetIndex> {
    let least = candidates
        .iter()
        .map(Candidate::cost)
        .min_by(f32::total_cmp)?;
    let ties = || candidates.iter().filter(|c| c.cost() <= least + TIE_MARGIN);
    let nth = rng.random_range(0..ties().count());
    ties().nth(nth).map(|c| c.index)
}
