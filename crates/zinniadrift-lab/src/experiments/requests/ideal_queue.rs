use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use zinniadrift_core::units::MonoTime;

use super::Work;

/// Returns the time from arrival to end of each piece of work on an ideal central queue: first
/// come, first served, with no network between queue and slots.
pub fn ideal_queue(work: &[Work], slots: usize) -> Vec<Duration> {
    let mut free: BinaryHeap<Reverse<MonoTime>> =
        std::iter::repeat_n(Reverse(MonoTime::default()), slots).collect();
    work.iter()
        .map(|w| {
            let slot = free.pop().map_or(w.at, |Reverse(t)| t);
            let end = slot.max(w.at) + w.service_time;
            free.push(Reverse(end));
            end.since(w.at)
        })
        .collect()
}
