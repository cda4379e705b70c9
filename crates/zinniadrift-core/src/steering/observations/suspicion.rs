use std::time::Duration;

use crate::units::MonoTime;

use crate::steering::observations::observed::Observed;

/// The avoidance of a target that several balancers found unresponsive.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    pub(crate) until: MonoTime,
    /// When the newest opening packet without an answer was sent.
    last_silence: MonoTime,
    doublings: u32,
}

/// The balancers that have to see a target's silence.
const MIN_WITNESSES: u32 = 2;
/// The number of doublings after which the time no longer grows.
const MAX_DOUBLINGS: u32 = 3;
/// The time after the end of an avoidance for which it is remembered, so that a target that is still
/// silent when it is tried again is avoided for twice as long.
const MEMORY: Duration = Duration::from_secs(15);

impl Suspicion {
    /// Updates the suspicion of a target by an observation; `base` is the first time for which the
    /// target is avoided.
    ///
    /// The first suspicion takes two balancers, one is enough to renew it.
    pub(crate) fn update(
        before: Option<Self>,
        now: MonoTime,
        observed: Option<&Observed>,
        base: Duration,
    ) -> Option<Self> {
        let before = before.filter(|s| now <= s.until + MEMORY);
        let Some(observed) = observed else {
            return before;
        };
        let before = before.filter(|s| observed.last_answer < Some(s.last_silence));
        let Some(silence) = observed.last_silence.filter(|_| observed.is_silent()) else {
            return before;
        };
        match before {
            None if observed.witnesses >= MIN_WITNESSES => Some(Self {
                until: silence + base,
                last_silence: silence,
                doublings: 0,
            }),
            Some(before) if silence > before.last_silence => {
                let is_new_try = silence >= before.until;
                let doublings = before.doublings + u32::from(is_new_try);
                let doublings = doublings.min(MAX_DOUBLINGS);
                Some(Self {
                    until: before.until.max(silence + base * (1 << doublings)),
                    last_silence: silence,
                    doublings,
                })
            }
            before => before,
        }
    }
}
