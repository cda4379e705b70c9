use std::time::Duration;

use zinniadrift_core::steering::{CapacityShare, ShareGrant};

use crate::{PeerUpdateError, v1};

impl From<ShareGrant> for v1::ShareGrant {
    fn from(grant: ShareGrant) -> Self {
        Self {
            start: grant.share.start(),
            last: grant.share.last(),
            valid_ms: u32::try_from(grant.valid_for.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl TryFrom<v1::ShareGrant> for ShareGrant {
    type Error = PeerUpdateError;

    fn try_from(grant: v1::ShareGrant) -> Result<Self, PeerUpdateError> {
        let share = CapacityShare::new(grant.start, grant.last);
        Ok(Self {
            share: share.ok_or(PeerUpdateError::OutOfRange("share"))?,
            valid_for: Duration::from_millis(grant.valid_ms.into()),
        })
    }
}
