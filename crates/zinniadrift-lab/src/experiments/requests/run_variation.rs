use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// The random variation of the service time between runs of the same job.
///
/// Each run draws anew, so that a second run of a slow job is usually fast.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunVariation {
    /// The share of runs that stall.
    pub stall_share: f64,
    /// The factor by which a run that stalls takes longer.
    pub stall_factor: f64,
    /// The standard deviation of the logarithm of a factor that applies to every run.
    pub log_deviation: f64,
}

impl RunVariation {
    /// Draws the factor on the service time of one run; equal seeds give equal factors.
    pub(super) fn draw(&self, seed: u64) -> f64 {
        if *self == Self::default() {
            return 1.0;
        }
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let stalls = rng.random::<f64>() < self.stall_share;
        // The Box-Muller transform.
        let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
        let factor = (self.log_deviation * normal).exp();
        if stalls {
            factor * self.stall_factor
        } else {
            factor
        }
    }
}
