use std::net::{Ipv4Addr, SocketAddrV4};

use zinniadrift_core::flow::Pin;
use zinniadrift_core::ids::{ServiceId, TargetId};
use zinniadrift_core::units::HybridTime;

use crate::{DatagramError, v1};

/// Groups consecutive pins of the same service and target.
pub(crate) fn group_pins(pins: &[Pin]) -> Vec<v1::PinGroup> {
    pins.chunk_by(|a, b| (a.service, a.target) == (b.service, b.target))
        .map(v1::PinGroup::from_pins)
        .collect()
}

/// Returns the pins of all groups in order.
pub(crate) fn ungroup_pins(groups: Vec<v1::PinGroup>) -> Result<Vec<Pin>, DatagramError> {
    let mut pins = Vec::new();
    for group in groups {
        group.append_to(&mut pins)?;
    }
    Ok(pins)
}

impl v1::PinGroup {
    fn from_pins(pins: &[Pin]) -> Self {
        let time = pins.iter().map(|p| p.time.get()).min().unwrap_or_default();
        let offsets: Vec<u64> = pins.iter().map(|p| p.time.get() - time).collect();
        let all_equal = offsets.iter().all(|o| *o == 0);
        Self {
            service: pins.first().map_or(0, |p| p.service.get()),
            target: pins.first().map_or(0, |p| p.target.get()),
            time,
            caller_ips: pins.iter().map(|p| (*p.caller.ip()).into()).collect(),
            caller_ports: pins.iter().map(|p| p.caller.port().into()).collect(),
            time_offsets: if all_equal { Vec::new() } else { offsets },
        }
    }

    /// Appends the group's pins; fails if its lists differ in length or a port is out of range.
    fn append_to(self, pins: &mut Vec<Pin>) -> Result<(), DatagramError> {
        let count = self.caller_ips.len();
        let offsets = self.time_offsets.len();
        if self.caller_ports.len() != count || (offsets != 0 && offsets != count) {
            return Err(DatagramError::Malformed);
        }
        for (i, (ip, port)) in self
            .caller_ips
            .into_iter()
            .zip(self.caller_ports)
            .enumerate()
        {
            let port = u16::try_from(port).map_err(|_| DatagramError::Malformed)?;
            let offset = self.time_offsets.get(i).copied().unwrap_or(0);
            pins.push(Pin {
                service: ServiceId::from(self.service),
                target: TargetId::from(self.target),
                time: HybridTime::from(self.time.saturating_add(offset)),
                caller: SocketAddrV4::new(Ipv4Addr::from(ip), port),
            });
        }
        Ok(())
    }
}
