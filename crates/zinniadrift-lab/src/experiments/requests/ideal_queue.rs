use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use zinniadrift_core::units::MonoTime;

use super::Job;

/// Returns the time from arrival to completion of each job in an ideal central queue: first come,
/// first served, with no network latency between queue and slots.
pub fn ideal_queue(jobs: &[Job], slots: usize) -> Vec<Duration> {
    let mut free: BinaryHeap<Reverse<MonoTime>> =
        std::iter::repeat_n(Reverse(MonoTime::default()), slots).collect();
    jobs.iter()
        .map(|job| {
            let slot = free.pop().map_or(job.at, |Reverse(t)| t);
            let end = slot.max(job.at) + job.service_time;
            free.push(Reverse(end));
            end.since(job.at)
        })
        .collect()
}
