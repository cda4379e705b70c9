use std::time::Duration;

use super::MemberState;
use crate::units::MonoTime;

/// Is a member's life cycle in the state `S`; only the allowed transitions exist.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LifeCycle<S> {
    state: S,
}

/// Waits for settings and synchronisation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Starting;

/// Takes new flows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Serving;

/// Forwards packets until none arrive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    last_packet: MonoTime,
    deadline: MonoTime,
}

/// Has stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stopped;

impl LifeCycle<Starting> {
    /// Returns the life cycle of a member that has just started.
    pub(crate) fn new() -> Self {
        Self { state: Starting }
    }

    /// Begins to take new flows.
    pub(crate) fn serve(self) -> LifeCycle<Serving> {
        LifeCycle { state: Serving }
    }

    /// Begins to leave without having served.
    pub(crate) fn leave(self, now: MonoTime, deadline: Duration) -> LifeCycle<Leaving> {
        LifeCycle::leaving(now, deadline)
    }
}

impl LifeCycle<Serving> {
    /// Begins to leave.
    pub(crate) fn leave(self, now: MonoTime, deadline: Duration) -> LifeCycle<Leaving> {
        LifeCycle::leaving(now, deadline)
    }
}

impl LifeCycle<Leaving> {
    fn leaving(now: MonoTime, deadline: Duration) -> Self {
        Self {
            state: Leaving {
                last_packet: now,
                deadline: now + deadline,
            },
        }
    }

    /// Records a packet; it delays the exit.
    pub(crate) fn touch(&mut self, now: MonoTime) {
        self.state.last_packet = now;
    }

    /// Returns the time at which no packet arrived for `quiet`.
    pub(crate) fn quiet_at(&self, quiet: Duration) -> MonoTime {
        self.state.last_packet + quiet
    }

    /// Returns the time at which the member exits in any case.
    pub(crate) fn deadline(&self) -> MonoTime {
        self.state.deadline
    }

    /// Stops the member.
    pub(crate) fn stop(self) -> LifeCycle<Stopped> {
        LifeCycle { state: Stopped }
    }
}

/// Holds the life cycle in whichever state it is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LifeCycleState {
    Starting(LifeCycle<Starting>),
    Serving(LifeCycle<Serving>),
    Leaving(LifeCycle<Leaving>),
    Stopped(LifeCycle<Stopped>),
}

impl LifeCycleState {
    /// Returns the state without its data.
    pub(crate) fn state(&self) -> MemberState {
        match self {
            Self::Starting(_) => MemberState::Starting,
            Self::Serving(_) => MemberState::Serving,
            Self::Leaving(_) => MemberState::Leaving,
            Self::Stopped(_) => MemberState::Stopped,
        }
    }

    /// Begins to leave; a member that leaves or has stopped already is not changed.
    pub(crate) fn leave(self, now: MonoTime, deadline: Duration) -> Self {
        match self {
            Self::Starting(s) => Self::Leaving(s.leave(now, deadline)),
            Self::Serving(s) => Self::Leaving(s.leave(now, deadline)),
            other => other,
        }
    }
}
