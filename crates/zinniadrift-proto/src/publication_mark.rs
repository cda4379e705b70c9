use zinniadrift_core::ids::{Incarnation, MemberId};
use zinniadrift_core::membership::PublicationMark;

use crate::v1;

impl From<PublicationMark> for v1::PublicationMark {
    fn from(mark: PublicationMark) -> Self {
        Self {
            member: mark.member.get(),
            incarnation: mark.incarnation.into(),
            number: mark.number,
        }
    }
}

impl From<v1::PublicationMark> for PublicationMark {
    fn from(mark: v1::PublicationMark) -> Self {
        Self {
            member: MemberId::from(mark.member),
            incarnation: Incarnation::from(mark.incarnation),
            number: mark.number,
        }
    }
}
