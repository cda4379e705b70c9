use zinniadrift_core::balancer::BaseSet;
use zinniadrift_core::ids::{ServiceId, TargetId};
use zinniadrift_core::units::{Version, Weight};

use crate::{DatagramError, v1};

impl From<BaseSet> for v1::BaseSet {
    fn from(set: BaseSet) -> Self {
        Self {
            service: set.service.get(),
            version: set.version.get(),
            targets: encode_targets(set.targets),
            old: encode_targets(set.previous),
        }
    }
}

impl TryFrom<v1::BaseSet> for BaseSet {
    type Error = DatagramError;

    fn try_from(set: v1::BaseSet) -> Result<Self, DatagramError> {
        Ok(Self {
            service: ServiceId::from(set.service),
            version: Version::from(set.version),
            targets: decode_targets(set.targets)?,
            previous: decode_targets(set.old)?,
        })
    }
}

fn encode_targets(targets: Vec<(TargetId, Weight)>) -> Vec<v1::BaseTarget> {
    let encoded = targets.into_iter().map(|(target, weight)| v1::BaseTarget {
        target: target.get(),
        weight: weight.get().into(),
    });
    encoded.collect()
}

fn decode_targets(targets: Vec<v1::BaseTarget>) -> Result<Vec<(TargetId, Weight)>, DatagramError> {
    let decoded = targets.into_iter().map(|t| {
        let weight = u16::try_from(t.weight).map_err(|_| DatagramError::Malformed)?;
        Ok((TargetId::from(t.target), Weight::from(weight)))
    });
    decoded.collect()
}
