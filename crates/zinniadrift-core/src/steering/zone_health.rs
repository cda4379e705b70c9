use std::time::Duration;

use hashbrown::HashMap;

use crate::ids::ZoneName;
use crate::units::MonoTime;

use super::directory::TargetIndex;

/// Notices that no target of another availability zone answers.
///
/// One silent target has probably ended; several of one zone, and none that answers, mean that the
/// zone cannot be reached.
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

/// The number of silent targets from which a zone is avoided.
const MIN_SILENT_TARGETS: usize = 2;
/// The time in which the silent targets have to be noticed.
const DETECTION_WINDOW: Duration = Duration::from_secs(3);
/// The time for which a silent zone is avoided; a probe of one flow then decides again.
const AVOID_DURATION: Duration = Duration::from_secs(2);

impl ZoneHealth {
    /// Records an unanswered opening packet.
    pub(crate) fn record_unanswered_open(
        &mut self,
        zone: &ZoneName,
        target: TargetIndex,
        now: MonoTime,
    ) {
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
        if unanswered.targets.len() >= MIN_SILENT_TARGETS {
            unanswered.avoid_until = now + AVOID_DURATION;
        }
    }

    /// Records an answer of any target of the zone.
    pub(crate) fn record_response(&mut self, zone: &ZoneName) {
        if let Some(unanswered) = self.zones.get_mut(zone) {
            unanswered.targets.clear();
            unanswered.avoid_until = MonoTime::default();
        }
    }

    /// Tells whether the zone is avoided.
    pub(crate) fn is_avoided(&self, zone: &ZoneName, now: MonoTime) -> bool {
        self.zones.get(zone).is_some_and(|s| now < s.avoid_until)
    }
}
