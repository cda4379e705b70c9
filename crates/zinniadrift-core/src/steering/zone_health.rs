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
    zones: HashMap<ZoneName, Silence>,
}

#[derive(Clone, Debug, Default)]
struct Silence {
    targets: Vec<TargetIndex>,
    since: MonoTime,
    avoid_until: MonoTime,
}

/// The number of silent targets from which a zone is avoided.
const SILENT_TARGETS: usize = 2;
/// The time in which the silent targets have to be noticed.
const SILENCE_WINDOW: Duration = Duration::from_secs(3);
/// The time for which a silent zone is avoided; a probe of one flow then decides again.
const AVOID_FOR: Duration = Duration::from_secs(2);

impl ZoneHealth {
    /// Records an unanswered opening packet.
    pub(crate) fn note_silence(&mut self, zone: &ZoneName, target: TargetIndex, now: MonoTime) {
        let silence = self.zones.entry_ref(zone).or_default();
        if now.since(silence.since) > SILENCE_WINDOW {
            silence.targets.clear();
        }
        if silence.targets.is_empty() {
            silence.since = now;
        }
        if !silence.targets.contains(&target) {
            silence.targets.push(target);
        }
        if silence.targets.len() >= SILENT_TARGETS {
            silence.avoid_until = now + AVOID_FOR;
        }
    }

    /// Records an answer of any target of the zone.
    pub(crate) fn note_answer(&mut self, zone: &ZoneName) {
        if let Some(silence) = self.zones.get_mut(zone) {
            silence.targets.clear();
            silence.avoid_until = MonoTime::default();
        }
    }

    /// Tells whether the zone is avoided.
    pub(crate) fn is_avoided(&self, zone: &ZoneName, now: MonoTime) -> bool {
        self.zones.get(zone).is_some_and(|s| now < s.avoid_until)
    }
}
