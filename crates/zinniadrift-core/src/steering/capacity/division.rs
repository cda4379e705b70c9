use crate::units::MonoTime;

use crate::steering::{
    CapacityShare, Decision, PauseCount, RelayPosition, ShareGrant, ShareRequest, Steering,
};

impl Steering {
    /// Sets the balancer's position among the relays, which hold the whole interval; `None` if it
    /// is no relay.
    pub fn set_relay_position(&mut self, now: MonoTime, position: Option<RelayPosition>) {
        self.held_share.set_relay_position(now, position);
        self.refresh_own_points(now);
    }

    /// Returns whether a part of the interval is of use: the limit is on and a service has one.
    pub fn wants_share(&self) -> bool {
        self.cfg.warm_up_limit.enabled && self.routes.has_warm_up_limits()
    }

    /// Returns the number of balancers that get their parts through this one, itself included.
    pub fn subtree(&self, now: MonoTime) -> u32 {
        self.share_ledger.subtree(now)
    }

    /// Applies the grant in the response to a request that was sent at `sent_at`, after `pauses`
    /// pauses.
    ///
    /// A grant that was requested before the last pause is ignored: the time in which the host was
    /// suspended is missing in the clock.
    pub fn on_share(
        &mut self,
        now: MonoTime,
        sent_at: MonoTime,
        pauses: PauseCount,
        grant: ShareGrant,
    ) {
        if pauses != self.pauses {
            return;
        }
        // A part whose grant has ended meanwhile is gained anew.
        self.refresh_own_points(now);
        self.held_share.accept(sent_at, grant);
        self.refresh_own_points(now);
    }

    /// Returns the grant for a peer; `None` if this balancer holds nothing that it could grant.
    pub fn grant_share(&mut self, now: MonoTime, req: &ShareRequest) -> Option<ShareGrant> {
        if !self.wants_share() {
            return None;
        }
        let grant = self.share_ledger.grant(now, &self.held_share, req);
        self.refresh_own_points(now);
        grant
    }

    /// Returns the part of the interval that this balancer uses itself.
    pub fn own_share(&self, now: MonoTime) -> Option<CapacityShare> {
        if !self.wants_share() {
            return None;
        }
        let (held, _) = self.held_share.current(now)?;
        self.share_ledger.own_part(now, held)
    }

    /// Takes note of a gained or lost part. To be called before and after each change of what is
    /// held, and before each use of a permit.
    pub(in crate::steering) fn refresh_own_points(&mut self, now: MonoTime) {
        let share = self.own_share(now);
        let points = self.warm_up_limits.points_mut();
        let before = points.share();
        points.set(now, share);
        if before.is_some() != share.is_some() {
            self.record_decision(Decision::CapacityShare { share });
        }
    }
}
