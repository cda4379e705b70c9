use std::time::Duration;

use zinniadrift_core::gateway::Mechanisms;
use zinniadrift_core::settings::HedgingPolicies;

use super::RunVariation;

/// The settings of a simulation of one user's gateways, targets and callers.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// The seed of the random number generators.
    pub seed: u64,
    /// The number of gateways, assigned to the availability zones round-robin.
    pub gateways: usize,
    /// The number of targets, assigned to the availability zones round-robin.
    pub targets: usize,
    /// The number of slots of each target.
    pub slots: u16,
    /// The mechanisms that the gateways use.
    pub mechanisms: Mechanisms,
    /// The number of claim shards.
    pub shards: u32,
    /// The rate limit, per second, of one gateway's claim writes.
    pub write_rate: f64,
    /// The lease duration of the baseline with expiring claims.
    pub lease: Duration,
    /// The time for which callers wait for an answer.
    pub caller_timeout: Duration,
    /// The maximum number of retries of a caller for the same job.
    pub caller_retries: u32,
    /// The share of jobs for which a caller sends two requests at the same time.
    pub duplicate_share: f64,
    /// The age of load reports on arrival at the gateways.
    pub report_age: Duration,
    /// The variation of the service time between runs of the same job.
    pub variation: RunVariation,
    /// The policies of second attempts; the gateways allow the same share.
    pub hedging: HedgingPolicies,
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
            variation: RunVariation::default(),
            hedging: HedgingPolicies::default(),
            faults: Faults::default(),
        }
    }
}

/// The frequency of each fault: a share of calls or attempts, or a mean interval between faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// The share of store writes that take effect and whose answer is lost.
    pub lost_write_answers: f64,
    /// The share of store writes that are lost before they take effect.
    pub lost_writes: f64,
    /// The share of store writes that take effect after the gateway stopped waiting for them.
    pub late_writes: f64,
    /// The share of attempts whose connection is lost, half of them before and half after the start
    /// of the run.
    pub lost_connections: f64,
    /// The share of attempts whose response is truncated.
    pub truncated_responses: f64,
    /// The share of attempts that receive the response to another request.
    pub swapped_responses: f64,
    /// The share of attempts whose response arrives after the connection was reported as making no
    /// progress.
    pub late_responses: f64,
    /// The share of sends before which the gateway's process is paused for longer than a lease.
    pub paused_sends: f64,
    /// The mean interval between deaths of a gateway.
    pub kill_interval: Option<Duration>,
    /// The mean interval between pauses of a gateway that exceed a lease.
    pub pause_interval: Option<Duration>,
    /// The mean interval between outages of the platform.
    pub outage_interval: Option<Duration>,
    /// The mean interval between drains of a target.
    pub drain_interval: Option<Duration>,
}
