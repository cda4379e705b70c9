use std::time::Duration;

use crate::units::MonoTime;

use crate::steering::directory::cookie::TargetTag;
use crate::steering::observations::observation_age::ObservationAge;
use crate::steering::observations::response_level::ResponseLevel;
use crate::steering::observations::target_observation::TargetObservation;

/// An observation of a target with times of this balancer's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Observed {
    /// When its newest part was made.
    pub(crate) at: MonoTime,
    /// The mean of the binary logarithm of the response times in microseconds.
    pub(crate) log2_micros: Option<f32>,
    pub(crate) samples: u32,
    pub(crate) outstanding: u32,
    pub(crate) unanswered: u32,
    pub(crate) witnesses: u32,
    pub(crate) last_answer: Option<MonoTime>,
    pub(crate) last_silence: Option<MonoTime>,
}

/// The age up to which an observation counts.
pub(crate) const MAX_AGE: Duration = Duration::from_secs(2);

impl Observed {
    /// Returns a received observation; `None` if it is too old.
    pub(crate) fn from_message(now: MonoTime, message: &TargetObservation) -> Option<Self> {
        let at = message.age.time(now)?;
        let observed = Self {
            at,
            log2_micros: message.response.log2_micros(),
            samples: message.samples.into(),
            outstanding: message.outstanding.into(),
            unanswered: message.unanswered.into(),
            witnesses: message.witnesses.into(),
            last_answer: message.answer_age.time(now),
            last_silence: message.silence_age.time(now),
        };
        observed.is_current(now).then_some(observed)
    }

    /// Returns the observation as it is sent at `now`.
    pub(crate) fn to_message(self, now: MonoTime, target: TargetTag) -> TargetObservation {
        let saturating = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
        let counted = |n: u32| saturating(n).min(TargetObservation::MAX_UNANSWERED);
        TargetObservation {
            target,
            response: self
                .log2_micros
                .map_or(ResponseLevel::NONE, ResponseLevel::from_log2_micros),
            samples: saturating(self.samples),
            outstanding: saturating(self.outstanding),
            unanswered: counted(self.unanswered),
            witnesses: counted(self.witnesses),
            answer_age: ObservationAge::new(now, self.last_answer),
            silence_age: ObservationAge::new(now, self.last_silence),
            age: ObservationAge::new(now, Some(self.at)),
        }
    }

    /// Returns whether the observation still counts.
    pub(crate) fn is_current(&self, now: MonoTime) -> bool {
        now.since(self.at) <= MAX_AGE
    }

    /// Returns whether an opening packet has no answer although it was sent after the last one.
    pub(crate) fn is_silent(&self) -> bool {
        self.witnesses > 0 && self.last_silence > self.last_answer
    }

    /// Adds the observation of other balancers.
    ///
    /// An answer that one of them got refutes the silence that the others saw before it.
    pub(crate) fn add(&mut self, other: &Self) {
        let samples = self.samples + other.samples;
        let weight = |part: &Self| part.samples as f32 / samples as f32;
        self.log2_micros = match (self.log2_micros, other.log2_micros) {
            (Some(a), Some(b)) if samples > 0 => Some(a * weight(self) + b * weight(other)),
            (a, b) => a.or(b),
        };
        self.samples = samples;
        self.outstanding += other.outstanding;
        let answer = self.last_answer.max(other.last_answer);
        let mut silence = (0, 0);
        for part in [&*self, other] {
            if part.last_silence > answer {
                silence = (silence.0 + part.unanswered, silence.1 + part.witnesses);
            }
        }
        (self.unanswered, self.witnesses) = silence;
        self.at = self.at.max(other.at);
        self.last_answer = answer;
        self.last_silence = self.last_silence.max(other.last_silence);
    }
}
