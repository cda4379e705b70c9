use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::steering::directory::target_directory::TargetIndex;

/// A target that may get a new flow, with the inputs of its cost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) index: TargetIndex,
    /// The active requests and pending opens; for routes with long flows, the open flows.
    pub(crate) load: f32,
    /// The number of requests that the target processes concurrently.
    pub(crate) slots: f32,
    /// The ratio of the target's response time to its service's median; at least 1.
    pub(crate) slowdown: f32,
    /// The cost of the network path to the target, in active requests per slot.
    pub(crate) zone_cost: f32,
    /// The factor of load that a closer target may carry before this one is chosen; at least 1.
    pub(crate) remote_factor: f32,
    /// The load that the new flow adds.
    pub(crate) unit: f32,
    /// The cost of the target's place in the order of new flows, if observations are shared.
    pub(crate) share_cost: f32,
    /// The part of the new flows that the target should get.
    pub(crate) share: f32,
}

impl Candidate {
    /// Returns the expected wait in multiples of an idle target's response time.
    fn cost(&self) -> f32 {
        let load = (self.load + self.unit) / self.slots;
        load * self.slowdown * self.remote_factor + self.zone_cost + self.share_cost
    }
}

/// Costs within this margin of the lowest count as equal, so that balancers that see the same load
/// do not all choose the same target.
const TIE_MARGIN: f32 = 1e-3;

/// Returns the candidate with the lowest cost; ties are broken at random.
pub(crate) fn pick_lowest_cost(
    candidates: &[Candidate],
    rng: &mut Xoshiro256PlusPlus,
) -> Option<Candidate> {
    let least = candidates
        .iter()
        .map(Candidate::cost)
        .min_by(f32::total_cmp)?;
    let ties = || candidates.iter().filter(|c| c.cost() <= least + TIE_MARGIN);
    let nth = rng.random_range(0..ties().count());
    ties().nth(nth).copied()
}
