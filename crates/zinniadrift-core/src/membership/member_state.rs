use derive_more::Display;

/// The state of a member in its life cycle.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
pub enum MemberState {
    /// The member has no settings yet or is not synchronised yet.
    #[default]
    Starting,
    /// The member takes new flows.
    Serving,
    /// The member is shutting down and still forwards packets.
    Leaving,
    /// The member has stopped. This state is never sent to peers.
    Stopped,
}
