use derive_more::Display;

/// A scheduled change in a simulation script.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    /// The virtual time at which the change happens, in seconds.
    pub(crate) at_s: f64,
    /// The kind of change to which flows broken by this change are attributed.
    pub(crate) cause: Cause,
    pub(crate) action: Action,
}

/// The kind of change to which a broken flow is attributed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub(crate) enum Cause {
    /// A change that an operator requested.
    Planned,
    /// A balancer that crashed or came back without notice.
    BalancerDeath,
    /// A target that crashed.
    TargetDeath,
}

/// The effect of a scheduled change.
///
/// `service` is an index into the user's services, `target` an index into the targets of that
/// service and `member` the number of a balancer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Action {
    Drain {
        service: usize,
        target: usize,
    },
    Undrain {
        service: usize,
        target: usize,
    },
    AddTarget {
        service: usize,
    },
    Weight {
        service: usize,
        target: usize,
        weight: u16,
    },
    EditPolicy {
        idle_timeout_s: u64,
    },
    StopBalancer {
        member: usize,
    },
    JoinBalancer {
        member: usize,
    },
    KillBalancer {
        member: usize,
    },
    KillTarget {
        service: usize,
        target: usize,
    },
}
