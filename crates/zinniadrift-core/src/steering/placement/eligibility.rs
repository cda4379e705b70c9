use derive_more::Display;

use crate::units::MonoTime;

use crate::steering::Steering;
use crate::steering::directory::target_directory::TargetIndex;
use crate::steering::flows::open_flows::is_lapsed;
use crate::steering::targets::target_record::TargetRecord;

/// What is known about a new flow before a target is chosen for it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PlacementRequest {
    /// The previous opening packet, if its target did not respond.
    pub(crate) failed: Option<FailedOpen>,
    /// Whether targets that the store no longer lists may get the flow.
    pub(crate) use_lapsed: bool,
    /// Whether new flows at the service's targets are limited while they warm up.
    pub(crate) has_warm_up_limit: bool,
    /// Whether any zone is out of service, so that the zones of the targets have to be compared.
    pub(crate) has_drained_zones: bool,
}

/// An opening packet without an answer, which the caller has retransmitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedOpen {
    /// The target that did not respond.
    pub(crate) target: TargetIndex,
    /// The target of the opening packet before, which did not respond either.
    pub(crate) before: Option<TargetIndex>,
    /// When the packet was sent.
    pub(crate) sent: MonoTime,
}

impl PlacementRequest {
    fn was_tried(&self, index: TargetIndex) -> bool {
        self.failed
            .is_some_and(|f| f.target == index || f.before == Some(index))
    }
}

/// Whether a target may get a new flow. Later variants are used only when no target is in an
/// earlier one.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Eligibility {
    /// The target is expected to respond.
    #[display("trusted")]
    Trusted,
    /// The target, or its availability zone, has not responded to this or several other balancers
    /// lately.
    #[display("suspect")]
    Suspect,
    /// The target did not respond to an earlier opening packet of this flow.
    #[display("already tried")]
    Tried,
    /// The target gets no flow.
    #[display("excluded: {_0}")]
    Excluded(Exclusion),
}

/// Why a target gets no new flow.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Exclusion {
    /// It is draining, doubtful, or not listed by the store.
    #[display("not accepting new flows")]
    NotAccepting,
    /// Its cookies name another target.
    #[display("cookie collides with another target's")]
    TagCollision,
    /// It died and its address has a new owner.
    #[display("dead, and its address was reused")]
    DeadAndReplaced,
    /// Its availability zone is out of service; it could take the flow otherwise.
    #[display("zone is drained")]
    ZoneDrained,
    /// It warms up, and this balancer has no permit for a new flow there at this time.
    #[display("limited while it warms up")]
    WarmUpLimit,
}

impl Steering {
    /// Returns whether the target may get the new flow, and if not, why.
    pub(in crate::steering) fn eligibility(
        &self,
        now: MonoTime,
        index: TargetIndex,
        record: &TargetRecord,
        req: &PlacementRequest,
    ) -> Eligibility {
        let usable = record.accepts_new_flows() || (req.use_lapsed && is_lapsed(record));
        if !usable {
            return Eligibility::Excluded(Exclusion::NotAccepting);
        }
        if !self.directory.owns_tag(index) {
            return Eligibility::Excluded(Exclusion::TagCollision);
        }
        if self.directory.is_dead_and_replaced(index, &self.routes) {
            return Eligibility::Excluded(Exclusion::DeadAndReplaced);
        }
        if req.has_drained_zones && self.zone_drains.is_drained(&record.instance.zone) {
            return Eligibility::Excluded(Exclusion::ZoneDrained);
        }
        if req.has_warm_up_limit && self.lacks_permit(now, index, record) {
            return Eligibility::Excluded(Exclusion::WarmUpLimit);
        }
        if req.was_tried(index) {
            return Eligibility::Tried;
        }
        let is_avoided = self.zone_health.is_avoided(&record.instance.zone, now);
        if is_avoided || record.is_suspect(now) || self.is_reported_unresponsive(now, record) {
            return Eligibility::Suspect;
        }
        Eligibility::Trusted
    }

    /// Returns whether any availability zone is out of service.
    pub(in crate::steering) fn has_drained_zones(&self) -> bool {
        self.cfg.zone_drains.enabled && self.zone_drains.has_drained()
    }

    /// Returns whether an operator took the target's availability zone out of service.
    pub(in crate::steering) fn is_zone_drained(&self, record: &TargetRecord) -> bool {
        self.cfg.zone_drains.enabled && self.zone_drains.is_drained(&record.instance.zone)
    }
}
