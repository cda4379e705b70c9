use derive_more::Display;

/// Is one step of a script of changes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    /// The virtual time in seconds.
    pub(crate) at_s: f64,
    pub(crate) cause: Cause,
    pub(crate) action: Action,
}

/// Names the kind of change to which a broken flow is attributed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "snake_case")]
pub(crate) enum Cause {
    /// A change that an operator asked for.
    Planned,
    /// The sudden death of a balancer, or its return without notice.
    BalancerDeath,
    /// The sudden death of a target.
    TargetDeath,
}

/// Lists what a script can do; `service` is an index into the user's services.
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
