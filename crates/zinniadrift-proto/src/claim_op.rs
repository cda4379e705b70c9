use std::time::Duration;

use zinniadrift_core::claim::{ClaimChange, ClaimKey, ClaimOp, ClaimToken};
use zinniadrift_core::ids::MemberId;

use crate::{DatagramError, v1};

impl From<ClaimOp> for v1::ClaimOp {
    fn from(op: ClaimOp) -> Self {
        let key = u128::from(op.key);
        let micros = |d: Duration| u64::try_from(d.as_micros()).unwrap_or(u64::MAX);
        let (change, remaining_us, answer) = match op.change {
            ClaimChange::Take { remaining } => (v1::ClaimChange::Take, micros(remaining), None),
            ClaimChange::Start { remaining } => (v1::ClaimChange::Start, micros(remaining), None),
            ClaimChange::Complete { answer } => {
                (v1::ClaimChange::Complete, 0, answer.map(Into::into))
            }
            ClaimChange::Release => (v1::ClaimChange::Release, 0, None),
        };
        Self {
            key_high: (key >> 64) as u64,
            key_low: key as u64,
            token: op.token.into(),
            gateway: op.gateway.get(),
            change: change.into(),
            remaining_us,
            answer,
        }
    }
}

impl TryFrom<v1::ClaimOp> for ClaimOp {
    type Error = DatagramError;

    fn try_from(op: v1::ClaimOp) -> Result<Self, DatagramError> {
        let remaining = Duration::from_micros(op.remaining_us);
        let change = v1::ClaimChange::try_from(op.change);
        let change = match change.map_err(|_| DatagramError::Malformed)? {
            v1::ClaimChange::Take => ClaimChange::Take { remaining },
            v1::ClaimChange::Start => ClaimChange::Start { remaining },
            v1::ClaimChange::Complete => ClaimChange::Complete {
                answer: op.answer.map(TryInto::try_into).transpose()?,
            },
            v1::ClaimChange::Release => ClaimChange::Release,
            v1::ClaimChange::Unspecified => return Err(DatagramError::Malformed),
        };
        Ok(Self {
            key: ClaimKey::from(u128::from(op.key_high) << 64 | u128::from(op.key_low)),
            token: ClaimToken::from(op.token),
            gateway: MemberId::from(op.gateway),
            change,
        })
    }
}
