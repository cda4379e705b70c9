/// The counters of the settings distribution of one daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DistributionCounters {
    /// Documents refused because a higher version is in force.
    pub lower_versions: u64,
    /// Documents refused because another edit with the same version is in force.
    pub conflicting_versions: u64,
    /// Documents refused because they are invalid.
    pub invalid_documents: u64,
    /// Calls to the platform, including writes of the status object.
    pub platform_calls: u64,
    /// Calls to the platform that failed.
    pub platform_failures: u64,
    /// Pulls started from peers.
    pub pulls: u64,
    /// Pulls that delivered no document above the version in force.
    pub failed_pulls: u64,
}
