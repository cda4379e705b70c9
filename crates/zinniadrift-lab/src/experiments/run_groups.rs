use std::thread;

use super::fleet::{Change, Scale, Simulation, Tally, USER_GROUPS};

/// Runs the script for each user in a separate thread and returns one tally per user.
pub(crate) fn run_groups(
    policy: &str,
    seed: u64,
    scale: Scale,
    misleading_from_s: Option<f64>,
    script: &[Change],
    end_s: f64,
) -> Vec<Tally> {
    thread::scope(|scope| {
        let runs: Vec<_> = USER_GROUPS
            .iter()
            .zip(seed..)
            .map(|(user, seed)| {
                scope.spawn(move || {
                    let simulation = Simulation::new(user, policy, seed, scale, misleading_from_s);
                    simulation.run(script.to_vec(), end_s)
                })
            })
            .collect();
        let joined = runs.into_iter().map(|run| run.join());
        joined
            .map(|tally| tally.expect("a simulation does not panic"))
            .collect()
    })
}
