/// Switches single mechanisms off, so that tests can show what each one guards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// Publish exceptions at all before their first use.
    pub publish_before_use: bool,
    /// Hold an opening packet until all live members acknowledged its exception.
    pub wait_for_acks: bool,
    /// Relay packets of unknown flows while unsynchronised.
    pub relay_when_unsynchronised: bool,
    /// Change the base table only when all live members are ready.
    pub rebase_barrier: bool,
    /// Resynchronise after this process did not run for the dead timeout.
    pub pause_detection: bool,
    /// Pass remembered flows on before leaving.
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
