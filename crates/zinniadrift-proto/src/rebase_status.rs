use zinniadrift_core::balancer::{RebasePhase, RebaseStatus};
use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::units::Version;

use crate::{DatagramError, v1};

impl From<RebaseStatus> for v1::RebaseStatus {
    fn from(status: RebaseStatus) -> Self {
        let phase = match status.phase {
            RebasePhase::Publishing => v1::RebasePhase::Publishing,
            RebasePhase::Merging => v1::RebasePhase::Merging,
            RebasePhase::Collected => v1::RebasePhase::Collected,
            // Members do not report settled services. A peer can treat a settled service as
            // defaulted without harm.
            RebasePhase::Defaulted | RebasePhase::Settled => v1::RebasePhase::Defaulted,
        };
        Self {
            service: status.service.get(),
            phase: phase.into(),
            base: status.base,
            goal: status.goal,
            goal_version: status.goal_version.get(),
        }
    }
}

impl TryFrom<v1::RebaseStatus> for RebaseStatus {
    type Error = DatagramError;

    fn try_from(status: v1::RebaseStatus) -> Result<Self, DatagramError> {
        let phase = v1::RebasePhase::try_from(status.phase);
        let phase = match phase.map_err(|_| DatagramError::Malformed)? {
            v1::RebasePhase::Publishing => RebasePhase::Publishing,
            v1::RebasePhase::Merging => RebasePhase::Merging,
            v1::RebasePhase::Collected => RebasePhase::Collected,
            v1::RebasePhase::Defaulted => RebasePhase::Defaulted,
        };
        Ok(Self {
            service: ServiceId::from(status.service),
            phase,
            base: status.base,
            goal: status.goal,
            goal_version: Version::from(status.goal_version),
        })
    }
}
