use std::time::Duration;

use super::MemberState;
use crate::units::MonoTime;

/// A member's life cycle in the state `S`; the type system permits only the valid transitions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LifeCycle<S> {
    state: S,
}

/// The member waits for settings and synchronisation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Starting;

/// The member takes new flows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Serving;

/// The member forwards packets until none arrive or the deadline passes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Leaving {
    last_packet: MonoTime,
    deadline: MonoTime,
}

/// The member has stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stopped;

impl LifeCycle<Starting> {
    /// Returns the life cycle of a member that has just started.
    pub(crate) fn new() -> Self {
        Self { state: Starting }
    }

    /// Starts to take new flows.
    pub(crate) fn serve(self) -> LifeCycle<Serving> {
        LifeCycle { state: Serving }
    }

    /// Starts to leave without having taken new flows.
    pub(crate) fn leave(self, now: MonoTime, deadline: Duration) -> LifeCycle<Leaving> {
        LifeCycle::leaving(now, deadline)
    }
}

impl LifeCycle<Serving> {
    /// Starts to leave.
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

    /// Records a packet, which delays the exit.
    pub(crate) fn touch(&mut self, now: MonoTime) {
        self.state.last_packet = now;
    }

    /// Returns the time at which no packet has arrived for `idle_period`, unless another one
    /// arrives.
    pub(crate) fn idle_at(&self, idle_period: Duration) -> MonoTime {
        self.state.last_packet + idle_period
    }

    /// Returns the time at which the member exits even if packets still arrive.
    pub(crate) fn deadline(&self) -> MonoTime {
        self.state.deadline
    }

    /// Stops the member.
    pub(crate) fn stop(self) -> LifeCycle<Stopped> {
        LifeCycle { state: Stopped }
    }
}

/// A member's life cycle in any state.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LifeCycleState {
    Starting(LifeCycle<Starting>),
    Serving(LifeCycle<Serving>),
    Leaving(LifeCycle<Leaving>),
    Stopped(LifeCycle<Stopped>),
}

impl LifeCycleState {
    /// Returns the state as reported to peers and operators.
    pub(crate) fn state(&self) -> MemberState {
        match self {
            Self::Starting(_) => MemberState::Starting,
            Self::Serving(_) => MemberState::Serving,
            Self::Leaving(_) => MemberState::Leaving,
            Self::Stopped(_) => MemberState::Stopped,
        }
    }

    /// Starts to leave; has no effect on a member that is already leaving or has stopped.
    pub(crate) fn leave(self, now: MonoTime, deadline: Duration) -> Self {
        match self {
            Self::Starting(s) => Self::Leaving(s.leave(now, deadline)),
            Self::Serving(s) => Self::Leaving(s.leave(now, deadline)),
            other => other,
        }
    }
}
