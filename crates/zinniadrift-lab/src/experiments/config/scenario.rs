use std::time::Duration;

/// Selects how daemons learn of edits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigPolicy {
    /// The distribution of the core.
    Default,
    /// Each daemon reads the platform every 5 s and puts in force whatever it gets.
    Poll,
    /// The distribution of the core without its check of versions.
    Unchecked,
}

impl ConfigPolicy {
    /// Returns the policy of this name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "default" => Some(Self::Default),
            "poll" => Some(Self::Poll),
            "unchecked" => Some(Self::Unchecked),
            _ => None,
        }
    }
}

/// Describes one run of the experiment.
#[derive(Clone, Debug)]
pub struct ConfigScenario {
    /// The daemons.
    pub members: usize,
    /// The availability zones over which the daemons are spread.
    pub zones: usize,
    /// The services of the tree.
    pub services: usize,
    /// The edits submitted one after another.
    pub edits: u32,
    /// The mean time between two edits.
    pub edit_interval: Duration,
    /// The longest delay with which an update reaches the watches of late daemons.
    pub watch_lag: Duration,
    /// Every n-th daemon is late: 2 for half of them, 1 for all.
    pub late_every: usize,
    /// The share of lost datagrams.
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
    /// Returns a run with outages, cuts, stale reads, lost answers, restarts and restores.
    pub fn with_faults() -> Self {
        Self {
            fault_interval: Some(Duration::from_secs(30)),
            ..Self::default()
        }
    }
}
