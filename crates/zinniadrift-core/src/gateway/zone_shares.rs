use std::collections::BTreeMap;

use super::Peer;
use crate::ids::ZoneName;
use crate::settings::Target;

/// The shares of this gateway's requests for which the availability zones are tried first.
///
/// Requests stay in the gateway's own zone as far as the zone's slots suffice for its gateways,
/// assuming that all gateways receive equal shares of the requests. The excess goes to the zones
/// with spare slots, in proportion to them, so that all slots are expected to be equally busy.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ZoneShares {
    shares: Vec<(ZoneName, f64)>,
}

impl ZoneShares {
    /// Computes the shares of the gateway in zone `own`, which is among `gateways`.
    pub(crate) fn new(own: &ZoneName, gateways: &[Peer], targets: &[Target]) -> Self {
        let mut slots: BTreeMap<&ZoneName, f64> = BTreeMap::new();
        for t in targets.iter().filter(|t| t.is_active()) {
            *slots.entry(&t.zone).or_default() += f64::from(t.slots) * f64::from(t.weight.get());
        }
        let total: f64 = slots.values().sum();
        let count = gateways.len().max(1) as f64;
        let demand = |zone: &ZoneName| {
            let n = gateways.iter().filter(|g| g.zone == *zone).count();
            n as f64 / count
        };
        let supply = |zone: &ZoneName| slots.get(zone).copied().unwrap_or_default() / total;
        if total <= 0.0 {
            return Self::default();
        }
        let own_demand = demand(own).max(f64::EPSILON);
        let local = (supply(own) / own_demand).min(1.0);
        let spare: Vec<(ZoneName, f64)> = slots
            .keys()
            .map(|z| ((*z).clone(), (supply(z) - demand(z)).max(0.0)))
            .collect();
        let all_spare: f64 = spare.iter().map(|(_, s)| s).sum();
        let mut shares = vec![(own.clone(), local)];
        if all_spare > 0.0 {
            let excess = spare.into_iter().filter(|(z, s)| z != own && *s > 0.0);
            shares.extend(excess.map(|(z, s)| (z, (1.0 - local) * s / all_spare)));
        }
        Self { shares }
    }

    /// Returns the zone for `random`, a uniform random number in `0.0..1.0`.
    pub(crate) fn pick(&self, mut random: f64) -> Option<&ZoneName> {
        for (zone, share) in &self.shares {
            if random < *share {
                return Some(zone);
            }
            random -= share;
        }
        self.shares.last().map(|(zone, _)| zone)
    }
}
