use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::units::MonoTime;

use super::Job;

/// The random workload of the callers.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// The mean arrival rate of jobs per second; arrivals are a Poisson process.
    pub rate: f64,
    /// The period during which jobs arrive.
    pub duration: Duration,
    /// The share of jobs that must not run more than once.
    pub non_idempotent: f64,
    /// The mean of the exponentially distributed service time.
    pub service_time: Duration,
}

/// The time from which jobs arrive; the gateways have their settings by then.
pub const WORKLOAD_START: MonoTime = MonoTime::from_millis(1_000);

impl Workload {
    /// Draws the jobs for a seed.
    pub fn draw(&self, seed: u64) -> Vec<Job> {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ 0x10ad);
        let mut at = WORKLOAD_START;
        let mut jobs = Vec::new();
        loop {
            at = at + Duration::from_secs_f64(exponential(&mut rng) / self.rate);
            if at >= WORKLOAD_START + self.duration {
                return jobs;
            }
            jobs.push(Job {
                at,
                idempotent: rng.random::<f64>() >= self.non_idempotent,
                service_time: self.service_time.mul_f64(exponential(&mut rng)),
            });
        }
    }
}

/// Draws a sample from the exponential distribution with mean 1.
pub(super) fn exponential(rng: &mut Xoshiro256PlusPlus) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
