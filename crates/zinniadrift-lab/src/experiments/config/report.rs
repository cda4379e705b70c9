use std::time::Duration;

/// Holds the figures of one run.
#[derive(Clone, Debug, Default)]
pub struct ConfigReport {
    /// The edits that the platform accepted.
    pub edits: u32,
    /// The edits that some daemon did not have in force before the run ended.
    pub never_in_force: u32,
    /// The installs of a version below one that the same host had in force before.
    pub reverts: u32,
    /// The daemons whose version at the end is not the highest one.
    pub not_converged: u32,
    /// The faults that were injected.
    pub faults: u32,
    /// The calls to the platform by all daemons.
    pub store_calls: u64,
    /// The bytes of all notices on the wire.
    pub notice_bytes: u64,
    /// The bytes of all documents pulled from peers.
    pub pull_bytes: u64,
    /// The bytes of all documents that the platform returned.
    pub platform_bytes: u64,
    /// The size of the last document.
    pub document_bytes: usize,
    /// The daemons.
    pub members: usize,
    /// The virtual time of the run.
    pub duration: Duration,
    /// For each edit in force everywhere, the time until the last daemon had it; sorted.
    pub in_force: Vec<Duration>,
}

impl ConfigReport {
    /// Returns the time of the slowest edit on the slowest daemon.
    pub fn worst_in_force(&self) -> Duration {
        self.in_force.last().copied().unwrap_or_default()
    }

    /// Returns the median over edits of the time on the slowest daemon.
    pub fn median_in_force(&self) -> Duration {
        let middle = self.in_force.len() / 2;
        self.in_force.get(middle).copied().unwrap_or_default()
    }

    /// Returns the calls to the platform per second by all daemons together.
    pub fn store_calls_per_s(&self) -> f64 {
        self.store_calls as f64 / self.duration.as_secs_f64()
    }

    /// Returns the bytes of notices that one edit causes.
    pub fn notice_bytes_per_edit(&self) -> f64 {
        self.notice_bytes as f64 / f64::from(self.edits.max(1))
    }

    /// Returns the bytes of documents that one edit moves between daemons.
    pub fn pull_bytes_per_edit(&self) -> f64 {
        self.pull_bytes as f64 / f64::from(self.edits.max(1))
    }

    /// Returns the bytes of documents that one daemon reads from the platform per second.
    pub fn platform_bytes_per_s_per_daemon(&self) -> f64 {
        self.platform_bytes as f64 / self.duration.as_secs_f64() / self.members.max(1) as f64
    }
}
