use std::time::Duration;

use crate::units::MonoTime;

/// A count over the current and the previous window of a fixed length.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WindowCount {
    window: Duration,
    start: MonoTime,
    current: f32,
    previous: f32,
}

impl WindowCount {
    pub(crate) fn new(window: Duration) -> Self {
        Self {
            window,
            start: MonoTime::default(),
            current: 0.0,
            previous: 0.0,
        }
    }

    pub(crate) fn add(&mut self, now: MonoTime, amount: f32) {
        self.advance(now);
        self.current += amount;
    }

    /// Returns the amount per second; the previous window counts for the part of it that lies
    /// within one length of `now`.
    pub(crate) fn per_second(&mut self, now: MonoTime) -> f32 {
        self.advance(now);
        let length = self.window.as_secs_f32();
        let elapsed = (now.since(self.start).as_secs_f32() / length).min(1.0);
        (self.current + self.previous * (1.0 - elapsed)) / length
    }

    fn advance(&mut self, now: MonoTime) {
        let age = now.since(self.start);
        if age < self.window {
            return;
        }
        let is_next = age < self.window * 2;
        self.previous = if is_next { self.current } else { 0.0 };
        self.start = if is_next {
            self.start + self.window
        } else {
            now
        };
        self.current = 0.0;
    }
}
