/// Sets the size of a simulated population.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// The flows that one user has open at the same time.
    pub flows: usize,
    /// The mean life of a flow in seconds.
    pub mean_lifetime_s: f64,
    /// The mean time in seconds between two packets of a flow.
    pub packet_interval_s: f64,
    /// The new flows per second while the population is built up.
    pub ramp_up_rate: f64,
    /// The time between two steps of a script of changes in seconds; several packet intervals, so
    /// that a broken flow shows before the next change.
    pub step_interval_s: f64,
}

impl Default for Scale {
    fn default() -> Self {
        Self {
            flows: 100_000,
            mean_lifetime_s: 7_200.0,
            packet_interval_s: 20.0,
            ramp_up_rate: 1_600.0,
            // Twelve steps an hour. 1,600 changes a day over 56 groups are one in 50 minutes.
            step_interval_s: 300.0,
        }
    }
}

impl Scale {
    /// Returns the arrival rate in flows per second that keeps the population stable.
    pub fn arrival_rate(&self) -> f64 {
        self.flows as f64 / self.mean_lifetime_s
    }

    /// Returns the time in seconds that the population takes to build up.
    pub fn ramp_up_s(&self) -> f64 {
        self.flows as f64 / self.ramp_up_rate
    }
}
