use std::time::Duration;

use crate::units::MonoTime;

use super::WindowCount;

/// The time that requests to a service queue at its targets, as this balancer's responses show it.
#[derive(Clone, Debug)]
pub(crate) struct WaitMeter {
    samples: [Sample; SAMPLES],
    next: usize,
    completed: WindowCount,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    at: MonoTime,
    /// The response time in seconds beyond that without a queue; `None` if the target refused the
    /// request because its queue was full.
    excess_s: Option<f32>,
}

/// The number of samples that are kept.
const SAMPLES: usize = 16;
/// The number of recent samples from which the wait is known.
const MIN_SAMPLES: usize = 4;
/// The age beyond which a sample no longer counts.
const MAX_AGE: Duration = Duration::from_secs(2);
/// The length of a window of completed requests: short enough to follow a burst, long enough for a
/// dozen responses at 25 requests a second.
const COMPLETED_WINDOW: Duration = Duration::from_millis(500);

impl WaitMeter {
    pub(crate) fn new() -> Self {
        Self {
            samples: [Sample::default(); SAMPLES],
            next: 0,
            completed: WindowCount::new(COMPLETED_WINDOW),
        }
    }

    /// Records a response time and the response time of the route without a queue.
    pub(crate) fn record_answer(&mut self, now: MonoTime, took: Duration, baseline: Duration) {
        let excess_s = took.as_secs_f32() - baseline.as_secs_f32();
        self.push(now, Some(excess_s));
        self.completed.add(now, 1.0);
    }

    /// Records that a target refused a request.
    pub(crate) fn record_refusal(&mut self, now: MonoTime) {
        self.push(now, None);
    }

    fn push(&mut self, at: MonoTime, excess_s: Option<f32>) {
        self.samples[self.next] = Sample { at, excess_s };
        self.next = (self.next + 1) % SAMPLES;
    }

    /// Returns the expected wait, at most `full`, which is that behind full queues; zero without
    /// enough recent samples.
    ///
    /// No sample counts as more than `full`, so that a few slow targets or long requests do not
    /// count as a queue in front of all. A queue that is not measured anew is assumed to drain with
    /// time.
    pub(crate) fn wait(&self, now: MonoTime, full: Duration) -> Duration {
        let recent = |s: &&Sample| s.at > MonoTime::default() && now.since(s.at) <= MAX_AGE;
        let recent = || self.samples.iter().filter(recent);
        let count = recent().count();
        if count < MIN_SAMPLES {
            return Duration::ZERO;
        }
        let full_s = full.as_secs_f32();
        let excess = |s: &Sample| s.excess_s.unwrap_or(full_s).min(full_s);
        let mean = recent().map(excess).sum::<f32>() / count as f32;
        let newest = recent().map(|s| s.at).max().unwrap_or_default();
        let wait = Duration::try_from_secs_f32(mean).unwrap_or_default();
        wait.saturating_sub(now.since(newest))
    }

    /// Returns the completed requests per second.
    pub(crate) fn completed_per_s(&mut self, now: MonoTime) -> f32 {
        self.completed.per_second(now)
    }
}
