use std::time::Duration;

use hashbrown::HashMap;

use crate::ids::ZoneName;
use crate::units::MonoTime;

use crate::steering::directory::target_directory::TargetIndex;

/// Detects that no target of another availability zone responds.
///
/// A single target that does not respond has probably ended. If several targets of one zone do not
/// respond, and none of that zone does, the zone is unreachable.
#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneHealth {
    zones: HashMap<ZoneName, UnansweredOpens>,
}

#[derive(Clone, Debug, Default)]
struct UnansweredOpens {
    targets: Vec<TargetIndex>,
    since: MonoTime,
    avoid_until: MonoTime,
}

/// The number of unresponsive targets from which a zone is avoided.
const MIN_UNRESPONSIVE_TARGETS: usize = 2;
/// The time within which these targets have to be detected.
const DETECTION_WINDOW: Duration = Duration::from_secs(3);
/// The time for which an unreachable zone is avoided; then the next flow to it serves as a probe.
const AVOID_DURATION: Duration = Duration::from_secs(2);

impl ZoneHealth {
    /// Records an opening packet without a response; returns whether the zone is avoided only now.
    pub(crate) fn record_unanswered_open(
        &mut self,
        zone: &ZoneName,
        target: TargetIndex,
        now: MonoTime,
    ) -> bool {
        let unanswered = self.zones.entry_ref(zone).or_default();
        if now.since(unanswered.since) > DETECTION_WINDOW {
            unanswered.targets.clear();
        }
        if unanswered.targets.is_empty() {
            unanswered.since = now;
        }
        if !unanswered.targets.contains(&target) {
            unanswered.targets.push(target);
        }
        if unanswered.targets.len() < MIN_UNRESPONSIVE_TARGETS {
            return false;
        }
        let is_new = unanswered.avoid_until == MonoTime::default();
        unanswered.avoid_until = now + AVOID_DURATION;
        is_new
    }

    /// Records a response from any target of the zone; returns whether the zone was avoided.
    pub(crate) fn record_response(&mut self, zone: &ZoneName) -> bool {
        let Some(unanswered) = self.zones.get_mut(zone) else {
            return false;
        };
        unanswered.targets.clear();
        std::mem::take(&mut unanswered.avoid_until) > MonoTime::default()
    }

    /// Returns whether the zone is avoided.
    pub(crate) fn is_avoided(&self, zone: &ZoneName, now: MonoTime) -> bool {
        self.zones.get(zone).is_some_and(|s| now < s.avoid_until)
    }
}
