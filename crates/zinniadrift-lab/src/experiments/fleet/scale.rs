/// The size and rates of a simulated flow population.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// The number of flows that one user has open at the same time.
    pub flows: usize,
    /// The mean lifetime of a flow in seconds.
    pub mean_lifetime_s: f64,
    /// The mean time between two packets of a flow in seconds.
    pub packet_interval_s: f64,
    /// The new flows per second during the ramp-up.
    pub ramp_up_rate: f64,
    /// The time between two steps of a script of changes in seconds.
    ///
    /// It spans several packet intervals, so that a broken flow is detected before the next change.
    pub step_interval_s: f64,
}

impl Default for Scale {
    fn default() -> Self {
        Self {
            flows: 100_000,
            mean_lifetime_s: 7_200.0,
            packet_interval_s: 20.0,
            ramp_up_rate: 1_600.0,
            // Twelve steps per hour. In operation, 1,600 changes per day in 56 groups are one
            // change per group every 50 minutes.
            step_interval_s: 300.0,
        }
    }
}

impl Scale {
    /// Returns the arrival rate in flows per second that keeps the number of open flows constant.
    pub fn arrival_rate(&self) -> f64 {
        self.flows as f64 / self.mean_lifetime_s
    }

    /// Returns the duration of the ramp-up in seconds.
    pub fn ramp_up_s(&self) -> f64 {
        self.flows as f64 / self.ramp_up_rate
    }
}
