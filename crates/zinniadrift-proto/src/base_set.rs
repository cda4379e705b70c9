use zinniadrift_core::balancer::BaseSet;
use zinniadrift_core::ids::{ServiceId, TargetId};
use zinniadrift_core::units::{Version, Weight};

use crate::{DatagramError, v1};

impl From<BaseSet> for v1::BaseSet {
    fn from(set: BaseSet) -> Self {
        let targets = set
            .targets
            .into_iter()
            .map(|(target, weight)| v1::BaseTarget {
                target: target.get(),
                weight: weight.get().into(),
            });
        Self {
            service: set.service.get(),
            version: set.version.get(),
            targets: targets.collect(),
        }
    }
}

impl TryFrom<v1::BaseSet> for BaseSet {
    type Error = DatagramError;

    fn try_from(set: v1::BaseSet) -> Result<Self, DatagramError> {
        let targets: Result<_, DatagramError> = set
            .targets
            .into_iter()
            .map(|t| {
                let weight = u16::try_from(t.weight).map_err(|_| DatagramError::Malformed)?;
                Ok((TargetId::from(t.target), Weight::from(weight)))
            })
            .collect();
        Ok(Self {
            service: ServiceId::from(set.service),
            version: Version::from(set.version),
            targets: targets?,
        })
    }
}
