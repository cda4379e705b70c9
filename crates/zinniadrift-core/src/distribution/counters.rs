/// Counts what the distribution of one daemon did and refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DistributionCounters {
    /// Documents refused because a higher version is in force.
    pub lower_versions: u64,
    /// Documents refused because the same version of another edit is in force.
    pub conflicting_versions: u64,
    /// Documents refused because they do not pass their checks.
    pub invalid_documents: u64,
    /// Calls to the platform, writes of the status included.
    pub platform_calls: u64,
    /// Calls to the platform that failed.
    pub platform_failures: u64,
    /// Pulls from peers.
    pub pulls: u64,
    /// Pulls that brought no document above the version in force.
    pub failed_pulls: u64,
}
