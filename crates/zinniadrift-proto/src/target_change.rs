use std::time::Duration;

use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::steering::{InstanceState, TargetChange, TargetInstance};

use crate::nanos::to_nanos;
use crate::zone_table::ZoneTable;
use crate::{PeerUpdateError, v1};

impl v1::TargetChange {
    /// Encodes a change; its availability zone is entered into `zones`.
    pub(crate) fn encode(change: TargetChange, zones: &mut ZoneTable) -> Self {
        let change = match change {
            TargetChange::Put(instance) => {
                v1::target_change::Change::Put(v1::Target::encode(instance, zones))
            }
            TargetChange::Removed(name) => v1::target_change::Change::Removed(name.into()),
        };
        Self {
            change: Some(change),
        }
    }

    /// Decodes a change whose availability zone is in `zones`.
    pub(crate) fn decode(self, zones: &ZoneTable) -> Result<TargetChange, PeerUpdateError> {
        match self.change {
            Some(v1::target_change::Change::Put(target)) => {
                target.decode(zones).map(TargetChange::Put)
            }
            Some(v1::target_change::Change::Removed(name)) => {
                Ok(TargetChange::Removed(name.into()))
            }
            None => Err(PeerUpdateError::Missing("the change of a target")),
        }
    }
}

impl v1::Target {
    fn encode(instance: TargetInstance, zones: &mut ZoneTable) -> Self {
        Self {
            name: instance.name.into(),
            service: instance.service.get(),
            address: Some(instance.address.into()),
            zone: zones.position(instance.zone),
            instance_id: instance.instance_id.into(),
            slots: instance.slots.into(),
            draining: instance.state == InstanceState::Draining,
            warm_up: to_nanos(instance.warm_up),
            started_at_ms: instance.started_at_ms,
            warm_up_unknown: instance.is_warm_up_unknown,
        }
    }

    fn decode(self, zones: &ZoneTable) -> Result<TargetInstance, PeerUpdateError> {
        let address = self.address;
        let address = address.ok_or(PeerUpdateError::Missing("the address of a target"))?;
        let slots = u16::try_from(self.slots).ok().filter(|slots| *slots > 0);
        Ok(TargetInstance {
            name: self.name.into(),
            service: ServiceId::from(self.service),
            address: address.try_into()?,
            zone: zones.name(self.zone)?,
            instance_id: self.instance_id.into(),
            slots: slots.ok_or(PeerUpdateError::OutOfRange("slots"))?,
            state: if self.draining {
                InstanceState::Draining
            } else {
                InstanceState::Ready
            },
            warm_up: Duration::from_nanos(self.warm_up),
            is_warm_up_unknown: self.warm_up_unknown,
            started_at_ms: self.started_at_ms,
        })
    }
}
