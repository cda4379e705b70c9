use std::time::Duration;

use crate::units::MonoTime;

use crate::steering::observations::observed::{MAX_AGE, Observed};

/// What this balancer observed of a target in the last seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OwnObservation {
    /// The response times of the current second of the clock and of the one before, which is
    /// reported.
    current: Responses,
    previous: Responses,
    second: u64,
    last_answer: Option<MonoTime>,
    /// When the newest opening packet without an answer was sent.
    last_silence: Option<MonoTime>,
    /// The opening packets without an answer since the last answer.
    unanswered: u8,
}

#[derive(Clone, Copy, Debug, Default)]
struct Responses {
    /// The sum of the binary logarithms of the response times in microseconds.
    log2_sum: f32,
    count: u32,
}

impl OwnObservation {
    /// Records that the target answered.
    pub(crate) fn record_answer(&mut self, now: MonoTime) {
        self.last_answer = Some(now);
        self.last_silence = None;
        self.unanswered = 0;
    }

    /// Records the time from a request to its response.
    pub(crate) fn record_response_time(&mut self, now: MonoTime, took: Duration) {
        self.rotate(now);
        self.current.log2_sum += (took.as_micros() as f32).max(1.0).log2();
        self.current.count += 1;
    }

    /// Records that the opening packet of `sent` has no answer.
    pub(crate) fn record_unanswered_open(&mut self, sent: MonoTime) {
        if self.last_answer.is_some_and(|answer| answer >= sent) {
            return;
        }
        self.last_silence = self.last_silence.max(Some(sent));
        self.unanswered = self.unanswered.saturating_add(1);
    }

    /// Returns when the target last answered this balancer.
    pub(crate) const fn last_answer(&self) -> Option<MonoTime> {
        self.last_answer
    }

    fn rotate(&mut self, now: MonoTime) {
        let second = now.as_micros() / 1_000_000;
        if second == self.second {
            return;
        }
        self.previous = if second == self.second + 1 {
            self.current
        } else {
            Responses::default()
        };
        self.current = Responses::default();
        self.second = second;
    }

    /// Returns what other balancers should know; `None` if the target did nothing lately.
    pub(crate) fn observe(&mut self, now: MonoTime, outstanding: u32) -> Option<Observed> {
        self.rotate(now);
        let is_recent = |at: Option<MonoTime>| at.filter(|at| now.since(*at) <= MAX_AGE);
        let (answer, silence) = (is_recent(self.last_answer), is_recent(self.last_silence));
        if outstanding == 0 && answer.is_none() && silence.is_none() {
            return None;
        }
        let Responses {
            log2_sum,
            count: samples,
        } = self.previous;
        let is_silent = u8::from(silence.is_some());
        Some(Observed {
            at: now,
            log2_micros: (samples > 0).then(|| log2_sum / samples as f32),
            samples,
            outstanding,
            unanswered: u32::from(self.unanswered * is_silent),
            witnesses: u32::from(is_silent),
            last_answer: answer,
            last_silence: silence,
        })
    }
}
