use derive_more::Display;

/// Tells where a member stands in its life cycle.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member has no settings or is not synchronised yet.
    #[default]
    Starting,
    /// The member takes new flows.
    Serving,
    /// The member still forwards packets but is about to stop.
    Leaving,
    /// The member has stopped; it is never reported on the wire.
    Stopped,
}
