use hdrhistogram::Histogram;

use super::{Cause, LoadSpread, MEMBER_COUNT, Phase};

/// The upper bound of the histogram of hold times, in microseconds.
const MAX_HOLD_TIME_MICROS: u64 = 60_000_000;

/// The counters and samples of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    /// The number of broken flows per [`Cause`].
    broken: [u64; 3],
    /// The number of broken flows whose own target had crashed.
    pub(crate) lost_with_target: u64,
    /// The number of packets that reached a target of another service.
    pub(crate) wrong_service: u64,
    /// The number of flows that were placed on a target after its drain.
    pub(crate) new_after_leave: u64,
    pub(crate) packets: u64,
    pub(crate) dropped: u64,
    pub(crate) retransmitted: u64,
    pub(crate) flows: u64,
    pub(crate) relayed: u64,
    pub(crate) state_bytes: u64,
    /// The hold times of held packets, in microseconds.
    hold_times: Histogram<u64>,
    control_bytes: u64,
    /// The seconds over which `control_bytes` was counted, summed over the members.
    control_member_seconds: u64,
    max_control_bytes_per_s: u64,
    steady_control_bytes: u64,
    steady_member_seconds: u64,
    /// The total of control bytes per member at the previous second.
    last_control_totals: [u64; MEMBER_COUNT],
    /// The load spread of each service per sample, with the virtual time of the sample in seconds.
    pub(crate) spreads: Vec<(f64, Vec<LoadSpread>)>,
}

impl Default for Tally {
    fn default() -> Self {
        let hold_times = Histogram::new_with_bounds(1, MAX_HOLD_TIME_MICROS, 3);
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
            hold_times: hold_times.expect("the bounds are constant and valid"),
            control_bytes: 0,
            control_member_seconds: 0,
            max_control_bytes_per_s: 0,
            steady_control_bytes: 0,
            steady_member_seconds: 0,
            last_control_totals: [0; MEMBER_COUNT],
            spreads: Vec::new(),
        }
    }
}

impl Tally {
    pub(crate) fn record_broken_flow(&mut self, cause: Cause) {
        self.broken[cause as usize] += 1;
    }

    pub(crate) const fn broken(&self, cause: Cause) -> u64 {
        self.broken[cause as usize]
    }

    pub(crate) fn record_hold_time(&mut self, micros: u64) {
        self.hold_times.saturating_record(micros);
    }

    pub(crate) fn held_packets(&self) -> u64 {
        self.hold_times.len()
    }

    /// Returns the 99th percentile of the hold time of held packets in milliseconds.
    pub(crate) fn held_ms_p99(&self) -> f64 {
        self.hold_times.value_at_quantile(0.99) as f64 / 1e3
    }

    /// Records one second of control traffic of a member, given its total of control bytes.
    pub(crate) fn record_control_bytes(&mut self, member: usize, total: u64, phase: Phase) {
        // The total of a restarted member may begin at zero again.
        let bytes = total.saturating_sub(self.last_control_totals[member]);
        self.last_control_totals[member] = total;
        if phase == Phase::SteadyState {
            self.steady_control_bytes += bytes;
            self.steady_member_seconds += 1;
        }
        if phase != Phase::RampUp {
            self.control_bytes += bytes;
            self.control_member_seconds += 1;
            self.max_control_bytes_per_s = self.max_control_bytes_per_s.max(bytes);
        }
    }

    /// Returns the mean control bytes per second and running member, without the ramp-up.
    pub(crate) fn control_bytes_per_s(&self) -> f64 {
        self.control_bytes as f64 / self.control_member_seconds.max(1) as f64
    }

    /// Returns the mean control bytes per second and running member from the end of the ramp-up to
    /// the first change.
    pub(crate) fn steady_control_bytes_per_s(&self) -> f64 {
        self.steady_control_bytes as f64 / self.steady_member_seconds.max(1) as f64
    }

    /// Returns the most control bytes that any member sent and received within one second.
    pub(crate) const fn max_control_bytes_per_s(&self) -> u64 {
        self.max_control_bytes_per_s
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
        self.hold_times += &other.hold_times;
        self.control_bytes += other.control_bytes;
        self.control_member_seconds += other.control_member_seconds;
        self.steady_control_bytes += other.steady_control_bytes;
        self.steady_member_seconds += other.steady_member_seconds;
        self.max_control_bytes_per_s = self
            .max_control_bytes_per_s
            .max(other.max_control_bytes_per_s);
    }
}
