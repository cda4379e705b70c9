use std::time::Duration;

/// The ways in which daemons receive edits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigPolicy {
    /// The settings distribution of the core.
    Default,
    /// Each daemon reads the platform every 5 s and installs the document without checking
    /// versions.
    Poll,
    /// The settings distribution of the core without its check of versions.
    Unchecked,
}

impl ConfigPolicy {
    /// Returns the policy with the given name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "default" => Some(Self::Default),
            "poll" => Some(Self::Poll),
            "unchecked" => Some(Self::Unchecked),
            _ => None,
        }
    }
}

/// The parameters of one run of the experiment.
#[derive(Clone, Debug)]
pub struct ConfigScenario {
    /// The number of daemons.
    pub members: usize,
    /// The number of availability zones, to which the daemons are assigned round-robin.
    pub zones: usize,
    /// The number of services in the settings tree.
    pub services: usize,
    /// The number of edits for which the run has time; edits are submitted one after another.
    pub edits: u32,
    /// The mean time between two edits.
    pub edit_interval: Duration,
    /// The longest delay with which an update becomes visible to the watches of late daemons.
    pub watch_lag: Duration,
    /// Every n-th daemon is late, where n is this number: 1 for all daemons, 2 for half of them.
    pub late_every: usize,
    /// The share of datagrams between daemons that are lost.
    pub datagram_loss: f64,
    /// The mean time between two faults; `None` for a run without faults.
    pub fault_interval: Option<Duration>,
}

impl Default for ConfigScenario {
    fn default() -> Self {
        Self {
            members: 8,
            zones: 3,
            services: 4,
            edits: 100,
            edit_interval: Duration::from_secs(20),
            watch_lag: Duration::from_secs(5),
            late_every: 2,
            datagram_loss: 0.01,
            fault_interval: None,
        }
    }
}

impl ConfigScenario {
    /// Returns a scenario with outages, network partitions, stale reads, lost answers, daemon
    /// restarts and resets of the store to an older state.
    pub fn with_faults() -> Self {
        Self {
            fault_interval: Some(Duration::from_secs(30)),
            ..Self::default()
        }
    }
}
