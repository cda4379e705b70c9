/// The least usual size of a route's responses, by which refusals of targets are told from answers.
///
/// A target that is full answers a request with a short message. The balancer sees only how far the
/// caller's acknowledgement moves. Where refusals are about as long as answers, none is recognised.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseSize {
    least: f32,
    samples: u32,
}

/// The number of responses that are taken for answers at first. A balancer of a large fleet gets few
/// responses of one route: 32 took longer than the 6 s before the burst of a replay.
const MIN_SAMPLES: u32 = 16;
/// The share of the least usual size below which a response counts as a refusal.
const REFUSAL_SHARE: f32 = 0.5;
/// The part of the difference by which a refusal lowers the least size: a route half of whose answers
/// have become short is not taken for one that is refused for long.
const REFUSAL_WEIGHT: f32 = 1.0 / 256.0;
/// The part of the difference by which an answer raises the least size, so that refusals among the
/// first responses are forgotten.
const RISE_WEIGHT: f32 = 1.0 / 1_024.0;

impl ResponseSize {
    /// Records the bytes of a response; returns whether it is a refusal.
    pub(crate) fn record(&mut self, bytes: u32) -> bool {
        let bytes = bytes as f32;
        if self.samples < MIN_SAMPLES {
            let is_least = self.samples == 0 || bytes < self.least;
            self.samples += 1;
            if is_least {
                self.least = bytes;
            }
            return false;
        }
        let is_refusal = bytes < REFUSAL_SHARE * self.least;
        if is_refusal {
            self.least += REFUSAL_WEIGHT * (bytes - self.least);
        } else if bytes < self.least {
            self.least = bytes;
        } else {
            self.least += RISE_WEIGHT * (bytes - self.least);
        }
        is_refusal
    }
}
