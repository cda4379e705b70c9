use hdrhistogram::Histogram;

use super::{Cause, LoadSpread, MEMBERS, Period};

/// The upper bound of the histogram of hold times, in microseconds.
const MAX_HELD_MICROS: u64 = 60_000_000;

/// The counters and samples of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    /// The number of broken flows per [`Cause`].
    broken: [u64; 3],
    /// The number of broken flows whose own target had crashed.
    pub(crate) lost_with_target: u64,
    pub(crate) wrong_service: u64,
    pub(crate) new_after_leave: u64,
    pub(crate) packets: u64,
    pub(crate) dropped: u64,
    pub(crate) retransmitted: u64,
    pub(crate) flows: u64,
    pub(crate) relayed: u64,
    pub(crate) state_bytes: u64,
    held: Histogram<u64>,
    control_bytes: u64,
    control_member_seconds: u64,
    worst_control_second: u64,
    rest_control_bytes: u64,
    rest_member_seconds: u64,
    control_before: [u64; MEMBERS],
    /// The load spread of each service per sample, with the virtual time of the sample in seconds.
    pub(crate) spreads: Vec<(f64, Vec<LoadSpread>)>,
}

impl Default for Tally {
    fn default() -> Self {
        let held = Histogram::new_with_bounds(1, MAX_HELD_MICROS, 3);
        Self {
            broken: [0; 3],
            lost_with_target: 0,
            wrong_service: 0,
            new_after_leave: 0,
            packets: 0,
            dropped: 0,
            retransmitted: 0,
            flows: 0,
            relayed: 0,
            state_bytes: 0,
            held: held.expect("the bounds are constant and valid"),
            control_bytes: 0,
            control_member_seconds: 0,
            worst_control_second: 0,
            rest_control_bytes: 0,
            rest_member_seconds: 0,
            control_before: [0; MEMBERS],
            spreads: Vec::new(),
        }
    }
}

impl Tally {
    pub(crate) fn break_flow(&mut self, cause: Cause) {
        self.broken[cause as usize] += 1;
    }

    pub(crate) const fn broken(&self, cause: Cause) -> u64 {
        self.broken[cause as usize]
    }

    pub(crate) fn hold(&mut self, micros: u64) {
        self.held.saturating_record(micros);
    }

    pub(crate) fn held_packets(&self) -> u64 {
        self.held.len()
    }

    /// Returns the 99th percentile of the hold time of held packets in milliseconds.
    pub(crate) fn held_ms_p99(&self) -> f64 {
        self.held.value_at_quantile(0.99) as f64 / 1e3
    }

    /// Records one second of control traffic of a member, given its total of control bytes.
    pub(crate) fn count_control(&mut self, member: usize, total: u64, period: Period) {
        // The total of a restarted member may begin at zero again.
        let bytes = total.saturating_sub(self.control_before[member]);
        self.control_before[member] = total;
        if period == Period::Rest {
            self.rest_control_bytes += bytes;
            self.rest_member_seconds += 1;
        }
        if period != Period::Fill {
            self.control_bytes += bytes;
            self.control_member_seconds += 1;
            self.worst_control_second = self.worst_control_second.max(bytes);
        }
    }

    /// Returns the mean control bytes per second and running member, without the ramp-up.
    pub(crate) fn control_bytes_per_s(&self) -> f64 {
        self.control_bytes as f64 / self.control_member_seconds.max(1) as f64
    }

    /// Returns the mean control bytes per second and running member from the end of the ramp-up to
    /// the first change.
    pub(crate) fn control_bytes_per_s_rest(&self) -> f64 {
        self.rest_control_bytes as f64 / self.rest_member_seconds.max(1) as f64
    }

    /// Returns the most control bytes that any member sent and received within one second.
    pub(crate) const fn worst_control_second(&self) -> u64 {
        self.worst_control_second
    }

    /// Adds the counts of another user's group.
    pub(crate) fn merge(&mut self, other: &Self) {
        for (sum, more) in self.broken.iter_mut().zip(other.broken) {
            *sum += more;
        }
        self.lost_with_target += other.lost_with_target;
        self.wrong_service += other.wrong_service;
        self.new_after_leave += other.new_after_leave;
        self.packets += other.packets;
        self.dropped += other.dropped;
        self.retransmitted += other.retransmitted;
        self.flows += other.flows;
        self.relayed += other.relayed;
        self.state_bytes = self.state_bytes.max(other.state_bytes);
        self.held += &other.held;
        self.control_bytes += other.control_bytes;
        self.control_member_seconds += other.control_member_seconds;
        self.rest_control_bytes += other.rest_control_bytes;
        self.rest_member_seconds += other.rest_member_seconds;
        self.worst_control_second = self.worst_control_second.max(other.worst_control_second);
    }
}
