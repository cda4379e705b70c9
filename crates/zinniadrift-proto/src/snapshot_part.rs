use zinniadrift_core::balancer::{BaseSet, PeerMessage};

use crate::pin_group::ungroup_pins;
use crate::{DatagramError, v1};

impl TryFrom<v1::SnapshotPart> for PeerMessage {
    type Error = DatagramError;

    fn try_from(part: v1::SnapshotPart) -> Result<Self, DatagramError> {
        let bases: Result<Vec<BaseSet>, _> =
            part.bases.into_iter().map(TryInto::try_into).collect();
        Ok(Self::SnapshotPart {
            id: part.id,
            index: part.index,
            total: part.total,
            publication: part.publication,
            pins: ungroup_pins(part.groups)?,
            bases: bases?,
            marks: part.marks.into_iter().map(Into::into).collect(),
        })
    }
}
