use crate::steering::directory::cookie::TargetTag;
use crate::steering::observations::observation_age::ObservationAge;
use crate::steering::observations::response_level::ResponseLevel;

/// What one or several balancers observed of a target, as it is sent to other balancers.
///
/// All counts saturate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TargetObservation {
    /// The target.
    pub target: TargetTag,
    /// The mean response time in the last second, on a logarithmic scale.
    pub response: ResponseLevel,
    /// The responses in the last second.
    pub samples: u8,
    /// The requests and opening packets that await a response.
    pub outstanding: u8,
    /// The opening packets without an answer since the last one, at most 15.
    pub unanswered: u8,
    /// The balancers that have such an opening packet, at most 15.
    pub witnesses: u8,
    /// The time since the last answer.
    pub answer_age: ObservationAge,
    /// The time since the newest opening packet without an answer was sent.
    pub silence_age: ObservationAge,
    /// The time since the observation was made.
    pub age: ObservationAge,
}

impl TargetObservation {
    /// The length of an encoded observation in bytes.
    pub const BYTES: usize = 11;
    /// The largest number of unanswered opening packets and of witnesses.
    pub const MAX_UNANSWERED: u8 = 15;

    /// Encodes the observation.
    pub fn to_bytes(&self) -> [u8; Self::BYTES] {
        let [a, b, c, d] = u32::from(self.target).to_be_bytes();
        let unanswered = self.unanswered.min(Self::MAX_UNANSWERED);
        let witnesses = self.witnesses.min(Self::MAX_UNANSWERED);
        [
            a,
            b,
            c,
            d,
            self.response.to_byte(),
            self.samples,
            self.outstanding,
            unanswered << 4 | witnesses,
            self.answer_age.to_byte(),
            self.silence_age.to_byte(),
            self.age.to_byte(),
        ]
    }

    /// Decodes an observation; every content has a meaning.
    pub fn from_bytes(bytes: [u8; Self::BYTES]) -> Self {
        let [
            a,
            b,
            c,
            d,
            response,
            samples,
            outstanding,
            counts,
            answer,
            silence,
            age,
        ] = bytes;
        Self {
            target: u32::from_be_bytes([a, b, c, d]).into(),
            response: ResponseLevel::from_byte(response),
            samples,
            outstanding,
            unanswered: counts >> 4,
            witnesses: counts & 0x0f,
            answer_age: ObservationAge::from_byte(answer),
            silence_age: ObservationAge::from_byte(silence),
            age: ObservationAge::from_byte(age),
        }
    }
}
