use std::time::Duration;

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct ConfigReport {
    /// The number of edits that the platform accepted.
    pub edits: u32,
    /// The number of edits that at least one daemon did not have in force before the run ended.
    pub never_in_force: u32,
    /// The number of installs of a version below one that the same host had in force before.
    pub reverts: u32,
    /// The number of daemons whose version at the end differs from the platform's.
    pub not_converged: u32,
    /// The number of injected faults.
    pub faults: u32,
    /// The number of calls to the platform by all daemons.
    pub store_calls: u64,
    /// The size in bytes of all notices on the wire.
    pub notice_bytes: u64,
    /// The size in bytes of all documents pulled from peers.
    pub pull_bytes: u64,
    /// The size in bytes of all documents that the platform returned.
    pub platform_bytes: u64,
    /// The size in bytes of the last document.
    pub document_bytes: usize,
    /// The number of daemons.
    pub members: usize,
    /// The duration of the run in virtual time.
    pub duration: Duration,
    /// For each edit in force on all daemons, the time until the last daemon had it in force;
    /// sorted in ascending order.
    pub in_force: Vec<Duration>,
}

impl ConfigReport {
    /// Returns the longest time until an edit was in force on all daemons.
    pub fn worst_in_force(&self) -> Duration {
        self.in_force.last().copied().unwrap_or_default()
    }

    /// Returns the median time until an edit was in force on all daemons.
    pub fn median_in_force(&self) -> Duration {
        let middle = self.in_force.len() / 2;
        self.in_force.get(middle).copied().unwrap_or_default()
    }

    /// Returns the number of calls to the platform per second by all daemons together.
    pub fn store_calls_per_s(&self) -> f64 {
        self.store_calls as f64 / self.duration.as_secs_f64()
    }

    /// Returns the bytes of notices per edit.
    pub fn notice_bytes_per_edit(&self) -> f64 {
        self.notice_bytes as f64 / f64::from(self.edits.max(1))
    }

    /// Returns the bytes of documents transferred between daemons per edit.
    pub fn pull_bytes_per_edit(&self) -> f64 {
        self.pull_bytes as f64 / f64::from(self.edits.max(1))
    }

    /// Returns the bytes of documents per second that one daemon reads from the platform.
    pub fn platform_bytes_per_s_per_daemon(&self) -> f64 {
        self.platform_bytes as f64 / self.duration.as_secs_f64() / self.members.max(1) as f64
    }
}
