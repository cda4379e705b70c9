use std::time::Duration;

use crate::units::MonoTime;

use crate::steering::observations::observed::Observed;

/// The response time and the responses a second of a target, smoothed over several seconds of all
/// balancers' observations.
///
/// Each second counts alike, so that a target that gets less load after a slow phase is not judged by
/// that phase for long.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SmoothedLevel {
    /// The mean of the binary logarithm of the response time in microseconds.
    log2_micros: f32,
    rate_per_s: f32,
    responses: f32,
    updated: MonoTime,
}

/// The time constant in seconds: long enough that a target with 10 responses a second has a spread
/// of 4%, short enough to follow a target that turns slow.
const TIME_CONSTANT_S: f32 = 12.0;
/// The longest time that one observation stands for.
const MAX_STEP: Duration = Duration::from_secs(1);
/// The number of responses in a second from which the second counts in full.
const FULL_WEIGHT: f32 = 4.0;
/// The number of responses from which the speed is known.
const MIN_RESPONSES: f32 = 4.0;

impl SmoothedLevel {
    /// Adds an observation that has been in force since the last update.
    pub(crate) fn update(&mut self, now: MonoTime, observed: Option<&Observed>) {
        let elapsed = now.since(self.updated).min(MAX_STEP).as_secs_f32();
        self.updated = now;
        let share = 1.0 - (-elapsed / TIME_CONSTANT_S).exp();
        let samples = observed.map_or(0.0, |o| o.samples as f32);
        self.rate_per_s += share * (samples - self.rate_per_s);
        let Some(log2) = observed.and_then(|o| o.log2_micros) else {
            return;
        };
        // The first responses count alike.
        self.responses += samples * elapsed;
        let start = samples * elapsed / self.responses.max(f32::MIN_POSITIVE);
        let weight = (samples / FULL_WEIGHT).min(1.0);
        let share = if self.responses < TIME_CONSTANT_S {
            start
        } else {
            share * weight
        };
        self.log2_micros += share * (log2 - self.log2_micros);
    }

    /// Returns the binary logarithm of the time in microseconds that a request takes at a target
    /// with `slots` slots, if it is known.
    ///
    /// The time in the target's queue is taken off, which depends on the load: otherwise a target
    /// with more load would count as slower, get less, count as faster, and so on. The wait is that
    /// of a queue with two servers, which is exact for two slots.
    pub(crate) fn service_log2(&self, slots: u16) -> Option<f32> {
        if self.responses < MIN_RESPONSES {
            return None;
        }
        let in_progress = self.rate_per_s * self.log2_micros.exp2() * 1e-6;
        let load = 2.0 * in_progress / f32::from(slots);
        let waiting = f32::midpoint(1.0, (1.0 + load * load).sqrt());
        Some(self.log2_micros - waiting.log2())
    }
}
