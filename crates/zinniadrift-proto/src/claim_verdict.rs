use zinniadrift_core::claim::ClaimVerdict;

use crate::{DatagramError, v1};

impl From<ClaimVerdict> for v1::ClaimVerdict {
    fn from(verdict: ClaimVerdict) -> Self {
        let (kind, answer) = match verdict {
            ClaimVerdict::Granted => (v1::ClaimVerdictKind::Granted, None),
            ClaimVerdict::Taken => (v1::ClaimVerdictKind::Taken, None),
            ClaimVerdict::Answered(answer) => (v1::ClaimVerdictKind::Answered, Some(answer.into())),
            ClaimVerdict::Full => (v1::ClaimVerdictKind::Full, None),
            ClaimVerdict::Unavailable => (v1::ClaimVerdictKind::Unavailable, None),
        };
        Self {
            kind: kind.into(),
            answer,
        }
    }
}

impl TryFrom<v1::ClaimVerdict> for ClaimVerdict {
    type Error = DatagramError;

    fn try_from(verdict: v1::ClaimVerdict) -> Result<Self, DatagramError> {
        let kind = v1::ClaimVerdictKind::try_from(verdict.kind);
        Ok(match kind.map_err(|_| DatagramError::Malformed)? {
            v1::ClaimVerdictKind::Granted => Self::Granted,
            v1::ClaimVerdictKind::Taken => Self::Taken,
            v1::ClaimVerdictKind::Answered => {
                let answer = verdict.answer.ok_or(DatagramError::Malformed)?;
                Self::Answered(answer.try_into()?)
            }
            v1::ClaimVerdictKind::Full => Self::Full,
            v1::ClaimVerdictKind::Unavailable => Self::Unavailable,
        })
    }
}
