use super::{DropReason, ResetReason};

/// Counts what [`Steering`](super::Steering) decided since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SteeringCounters {
    /// Opening packets that were forwarded for the first time.
    pub opened: u64,
    /// Opening packets that went to another target than the copy before.
    pub moved: u64,
    /// Packets of open flows that were forwarded.
    pub forwarded: u64,
    /// Packets forwarded to a target that is missing in the store.
    pub forwarded_lapsed: u64,
    /// Resets because there is no route.
    pub reset_no_route: u64,
    /// Resets because no target is left.
    pub reset_no_target: u64,
    /// Resets because all targets are full.
    pub reset_overloaded: u64,
    /// Resets of flows whose target has ended.
    pub reset_target_gone: u64,
    /// Resets of flows whose target answers neither its callers nor a probe.
    pub reset_target_silent: u64,
    /// Resets of packets whose cookie names no target.
    pub reset_unknown_cookie: u64,
    /// Packets dropped without a usable configuration.
    pub dropped_route_unknown: u64,
    /// Packets dropped without a usable directory.
    pub dropped_directory_stale: u64,
    /// Packets of open flows without a cookie.
    pub dropped_no_cookie: u64,
    /// Callers' resets without a target.
    pub dropped_nothing_to_reset: u64,
}

impl SteeringCounters {
    /// Returns the counter of resets for `reason`.
    pub(crate) fn reset_mut(&mut self, reason: ResetReason) -> &mut u64 {
        match reason {
            ResetReason::NoRoute => &mut self.reset_no_route,
            ResetReason::NoTarget => &mut self.reset_no_target,
            ResetReason::Overloaded => &mut self.reset_overloaded,
            ResetReason::TargetGone => &mut self.reset_target_gone,
            ResetReason::TargetSilent => &mut self.reset_target_silent,
            ResetReason::UnknownCookie => &mut self.reset_unknown_cookie,
        }
    }

    /// Returns the counter of packets dropped for `reason`.
    pub(crate) fn dropped_mut(&mut self, reason: DropReason) -> &mut u64 {
        match reason {
            DropReason::RouteUnknown => &mut self.dropped_route_unknown,
            DropReason::DirectoryStale => &mut self.dropped_directory_stale,
            DropReason::NoCookie => &mut self.dropped_no_cookie,
            DropReason::NothingToReset => &mut self.dropped_nothing_to_reset,
        }
    }
}
