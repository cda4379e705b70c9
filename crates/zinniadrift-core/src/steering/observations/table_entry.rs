use std::time::Duration;

use crate::units::MonoTime;

use crate::steering::observations::observed::Observed;
use crate::steering::observations::smoothed_level::SmoothedLevel;
use crate::steering::observations::suspicion::Suspicion;

/// What is known of a target from all balancers.
#[derive(Clone, Debug, Default)]
pub(crate) struct TableEntry {
    /// The latest observation; `None` if the last one has expired.
    pub(crate) observed: Option<Observed>,
    pub(crate) smoothed: SmoothedLevel,
    /// The speed relative to the service's median.
    pub(crate) speed: Option<f32>,
    pub(crate) suspicion: Option<Suspicion>,
    /// Whether the suspicion is not believed, because too many targets of the service are suspect.
    pub(crate) is_disbelieved: bool,
    /// Whether many targets of the service fell silent and this one has not answered since.
    pub(crate) is_unproven: bool,
    /// The sequence number of the last change that peers should know.
    pub(crate) changed: u64,
    published: Option<Observed>,
    published_at: MonoTime,
    last_observed: MonoTime,
    /// When the newest opening packet without an answer was sent, if nobody got an answer since.
    pub(crate) silent_since: Option<MonoTime>,
}

/// The interval after which an observation that only repeats itself is sent again. Peers ask once a
/// second.
pub(crate) const RENEWAL_INTERVAL: Duration = Duration::from_millis(900);
/// The same while some target is silent: retransmissions go to targets that answered lately.
pub(crate) const ALARM_INTERVAL: Duration = Duration::from_millis(250);
/// The time for which a target without an answer counts as slow: the longest time for which a
/// suspect target is avoided.
const DOUBT_DURATION: Duration = Duration::from_secs(12);
/// The time for which the speed of a target that does nothing is remembered.
const RETENTION: Duration = Duration::from_secs(30);

impl TableEntry {
    /// Takes the observation in force at `now`; returns whether peers should know at once.
    pub(crate) fn update(
        &mut self,
        now: MonoTime,
        observed: Option<Observed>,
        suspicion_base: Duration,
    ) -> bool {
        let was_silent = self.is_silent();
        let until = self.suspicion.map(|s| s.until);
        self.observed = observed;
        if observed.is_some() {
            self.last_observed = now;
        }
        let answer = observed.and_then(|o| o.last_answer);
        let silence = observed.filter(Observed::is_silent);
        let silence = silence.and_then(|o| o.last_silence);
        let before = self.silent_since.filter(|at| answer < Some(*at));
        self.silent_since = before.max(silence);
        self.smoothed.update(now, observed.as_ref());
        self.suspicion = Suspicion::update(self.suspicion, now, observed.as_ref(), suspicion_base);
        let is_extended = self.suspicion.is_some_and(|s| Some(s.until) > until);
        is_extended || (self.is_silent() && !was_silent)
    }

    /// Marks the entry as changed if peers should get it; `seq` is the number of the change.
    pub(crate) fn publish(&mut self, now: MonoTime, is_alarmed: bool, seq: u64) -> bool {
        let Some(observed) = self.observed else {
            return false;
        };
        let is_due = self.published.is_none_or(|before| {
            let silence = |o: &Observed| (o.is_silent(), o.witnesses, o.last_silence);
            let is_renewed = observed.at > before.at && now >= self.published_at + RENEWAL_INTERVAL;
            let answered_since =
                observed.last_answer > before.last_answer.map(|at| at + ALARM_INTERVAL);
            let is_silence_new = observed.is_silent() && silence(&observed) != silence(&before);
            is_renewed || is_silence_new || (is_alarmed && answered_since)
        });
        if is_due {
            self.published = Some(observed);
            self.published_at = now;
            self.changed = seq;
        }
        is_due
    }

    /// Returns whether balancers have opening packets at the target that were sent after its last
    /// answer and are not answered.
    pub(crate) fn is_silent(&self) -> bool {
        self.observed.as_ref().is_some_and(Observed::is_silent)
    }

    /// Returns whether an opening packet had no answer in the last seconds and nobody got one since.
    pub(crate) fn is_doubtful(&self, now: MonoTime) -> bool {
        self.silent_since
            .is_some_and(|at| now.since(at) <= DOUBT_DURATION)
    }

    /// Returns whether the entry holds anything that is still of use.
    pub(crate) fn is_current(&self, now: MonoTime) -> bool {
        self.suspicion.is_some() || now.since(self.last_observed) <= RETENTION
    }
}
