/// Switches for single protocol mechanisms, with which tests show the failure that each prevents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// Publish exceptions; without it peers learn nothing of them.
    pub publish_before_use: bool,
    /// Hold the opening packet of an exception until all live members acknowledged its publication.
    pub wait_for_acks: bool,
    /// Relay packets of unknown flows while unsynchronised.
    pub relay_when_unsynchronised: bool,
    /// Change the base table only when all live members are ready.
    pub rebase_barrier: bool,
    /// Resynchronise after this process was paused for the dead timeout.
    pub pause_detection: bool,
    /// Hand over known flows to peers before leaving.
    pub handover: bool,
    /// Reject settings of a lower version.
    pub version_check: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            publish_before_use: true,
            wait_for_acks: true,
            relay_when_unsynchronised: true,
            rebase_barrier: true,
            pause_detection: true,
            handover: true,
            version_check: true,
        }
    }
}
