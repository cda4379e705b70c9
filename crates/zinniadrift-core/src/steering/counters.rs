use crate::steering::{DropReason, RefusalCause, ResetReason};

/// Counts of the decisions of [`Steering`](super::Steering) since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SteeringCounters {
    /// First opening packets that were forwarded.
    pub opened: u64,
    /// Retransmitted opening packets that went to another target than the transmission before.
    pub moved: u64,
    /// Opening packets whose answers took longer than usual.
    pub opens_overdue: u64,
    /// Forwarded packets of open flows, and forwarded retransmissions of opening packets.
    pub forwarded: u64,
    /// Packets forwarded to a target that the store no longer lists.
    pub forwarded_lapsed: u64,
    /// Resets because the service address has no route.
    pub reset_no_route: u64,
    /// Resets because the service has no usable target.
    pub reset_no_target: u64,
    /// Resets because all usable targets of the service are in zones out of service.
    pub reset_zones_drained: u64,
    /// Resets because all targets of the service are full.
    pub reset_overloaded: u64,
    /// Resets of flows whose target has ended.
    pub reset_target_gone: u64,
    /// Resets of flows whose target responds neither to its callers nor to a probe.
    pub reset_target_silent: u64,
    /// Resets of packets whose cookie identifies no target.
    pub reset_unknown_cookie: u64,
    /// Opening packets forwarded to targets that warm up and have a limit.
    pub warm_up_placed: u64,
    /// Resets because the service has only targets that warm up and are at their limit.
    pub warm_up_refused: u64,
    /// Responses that were refusals by their size.
    pub refusals_received: u64,
    /// New flows refused because the expected wait exceeded their timeout.
    pub refused_timeout: u64,
    /// New flows refused because the capacity left for their route was in use.
    pub refused_route_share: u64,
    /// New flows refused because their caller had more than its share of the route.
    pub refused_caller_share: u64,
    /// Requests that waited in the balancer for room at their target.
    pub requests_held: u64,
    /// Waiting requests that were dropped because their callers had given up.
    pub requests_abandoned: u64,
    /// Packets dropped without a current configuration.
    pub dropped_route_unknown: u64,
    /// Packets dropped without a current directory.
    pub dropped_directory_stale: u64,
    /// Opening packets left unanswered because room was expected by their retransmission.
    pub dropped_awaiting_room: u64,
    /// Dropped packets of open flows that carry no cookie.
    pub dropped_no_cookie: u64,
    /// Dropped resets of callers that belong to no live target.
    pub dropped_nothing_to_reset: u64,
}

impl SteeringCounters {
    /// Returns the counter of resets for `reason`.
    pub(crate) fn reset_mut(&mut self, reason: ResetReason) -> &mut u64 {
        match reason {
            ResetReason::NoRoute => &mut self.reset_no_route,
            ResetReason::NoTarget => &mut self.reset_no_target,
            ResetReason::ZonesDrained => &mut self.reset_zones_drained,
            ResetReason::Overloaded => &mut self.reset_overloaded,
            ResetReason::TargetGone => &mut self.reset_target_gone,
            ResetReason::TargetSilent => &mut self.reset_target_silent,
            ResetReason::UnknownCookie => &mut self.reset_unknown_cookie,
        }
    }

    /// Returns the counter of new flows refused for `cause`.
    pub(crate) fn refused_mut(&mut self, cause: RefusalCause) -> &mut u64 {
        match cause {
            RefusalCause::Timeout => &mut self.refused_timeout,
            RefusalCause::RouteShare => &mut self.refused_route_share,
            RefusalCause::CallerShare => &mut self.refused_caller_share,
        }
    }

    /// Returns the counter of packets dropped for `reason`.
    pub(crate) fn dropped_mut(&mut self, reason: DropReason) -> &mut u64 {
        match reason {
            DropReason::RouteUnknown => &mut self.dropped_route_unknown,
            DropReason::DirectoryStale => &mut self.dropped_directory_stale,
            DropReason::AwaitingRoom => &mut self.dropped_awaiting_room,
            DropReason::NoCookie => &mut self.dropped_no_cookie,
            DropReason::NothingToReset => &mut self.dropped_nothing_to_reset,
        }
    }
}
