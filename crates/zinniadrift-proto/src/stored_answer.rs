use zinniadrift_core::claim::StoredAnswer;

use crate::{DatagramError, v1};

impl From<StoredAnswer> for v1::StoredAnswer {
    fn from(answer: StoredAnswer) -> Self {
        Self {
            status: answer.status.into(),
            body: answer.body.into(),
        }
    }
}

impl TryFrom<v1::StoredAnswer> for StoredAnswer {
    type Error = DatagramError;

    fn try_from(answer: v1::StoredAnswer) -> Result<Self, DatagramError> {
        if answer.body.len() > Self::MAX_BYTES {
            return Err(DatagramError::TooLong);
        }
        Ok(Self {
            status: u16::try_from(answer.status).map_err(|_| DatagramError::Malformed)?,
            body: answer.body.into(),
        })
    }
}
