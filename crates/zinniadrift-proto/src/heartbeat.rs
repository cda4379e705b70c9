use zinniadrift_core::ids::ZoneName;
use zinniadrift_core::membership::{Heartbeat, MemberState};
use zinniadrift_core::units::Version;

use crate::{DatagramError, v1};

impl From<Heartbeat> for v1::Heartbeat {
    fn from(h: Heartbeat) -> Self {
        let state = match h.state {
            MemberState::Starting => v1::MemberState::Starting,
            MemberState::Serving => v1::MemberState::Serving,
            MemberState::Leaving | MemberState::Stopped => v1::MemberState::Leaving,
        };
        Self {
            name: h.name.into(),
            zone: h.zone.to_string(),
            address: h.address.to_string(),
            state: state.into(),
            synchronised: h.synchronised,
            settings_version: h.settings_version.get(),
            last_publication: h.last_publication,
            bases: h.bases_digest,
            rebases: h.rebases.into_iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<v1::Heartbeat> for Heartbeat {
    type Error = DatagramError;

    fn try_from(h: v1::Heartbeat) -> Result<Self, DatagramError> {
        let state = v1::MemberState::try_from(h.state);
        let state = match state.map_err(|_| DatagramError::Malformed)? {
            v1::MemberState::Starting => MemberState::Starting,
            v1::MemberState::Serving => MemberState::Serving,
            v1::MemberState::Leaving => MemberState::Leaving,
        };
        let rebases: Result<_, _> = h.rebases.into_iter().map(TryInto::try_into).collect();
        Ok(Self {
            name: h.name.into(),
            zone: ZoneName::from(&*h.zone),
            address: h.address.parse().map_err(|_| DatagramError::Malformed)?,
            state,
            synchronised: h.synchronised,
            settings_version: Version::from(h.settings_version),
            last_publication: h.last_publication,
            bases_digest: h.bases,
            rebases: rebases?,
        })
    }
}
