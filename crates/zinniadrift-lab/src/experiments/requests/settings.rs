use std::time::Duration;

use zinniadrift_core::gateway::Mechanisms;

/// Configures a simulated user with gateways, targets, callers and a platform.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// The seed of all random choices.
    pub seed: u64,
    /// The gateways, spread over the availability zones in turn.
    pub gateways: usize,
    /// The targets, spread over the availability zones in turn.
    pub targets: usize,
    /// The slots of each target.
    pub slots: u16,
    /// The mechanisms of the gateways.
    pub mechanisms: Mechanisms,
    /// The shards of claims.
    pub shards: u32,
    /// Claim writes per second of one gateway.
    pub write_rate: f64,
    /// The lease of the baseline with expiring claims.
    pub lease: Duration,
    /// The time that callers wait for an answer.
    pub caller_timeout: Duration,
    /// The further requests of a caller for the same work.
    pub caller_retries: u32,
    /// The share of work for which a caller sends two requests at once.
    pub duplicate_share: f64,
    /// The age of load reports when they reach the gateways.
    pub report_age: Duration,
    /// The faults to inject.
    pub faults: Faults,
}

impl Default for SimulationSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            gateways: 8,
            targets: 15,
            slots: 2,
            mechanisms: Mechanisms::default(),
            shards: 8,
            write_rate: 20.0,
            lease: Duration::from_secs(2),
            caller_timeout: Duration::from_secs(2),
            caller_retries: 0,
            duplicate_share: 0.0,
            report_age: Duration::from_secs(10),
            faults: Faults::default(),
        }
    }
}

/// Sets how often faults occur; shares are per call or attempt, times are means between faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Store writes that take effect and whose answer is lost.
    pub lost_write_answers: f64,
    /// Store writes that are lost without effect.
    pub lost_writes: f64,
    /// Store writes that take effect only after the gateway stopped waiting.
    pub late_writes: f64,
    /// Attempts whose connection ends before or after the work starts.
    pub lost_connections: f64,
    /// Attempts whose response is cut off.
    pub truncated_responses: f64,
    /// Attempts that get the response of another request.
    pub swapped_responses: f64,
    /// Attempts whose response arrives after the connection was found to make no progress.
    pub late_responses: f64,
    /// Sends before which the gateway's process is frozen for longer than a lease.
    pub paused_sends: f64,
    /// The time between deaths of a gateway.
    pub kill_interval: Option<Duration>,
    /// The time between pauses of a gateway that exceed a lease.
    pub pause_interval: Option<Duration>,
    /// The time between outages of the platform.
    pub outage_interval: Option<Duration>,
    /// The time between drains of a target.
    pub drain_interval: Option<Duration>,
}
