use xxhash_rust::xxh3::Xxh3;

use crate::ids::{ServiceId, TargetId};
use crate::units::{Version, Weight};

/// The targets from which a service's base table is built.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BaseSet {
    /// The service.
    pub service: ServiceId,
    /// The settings version that the set comes from.
    pub version: Version,
    /// The targets and their weights, sorted by id.
    pub targets: Vec<(TargetId, Weight)>,
    /// The previous targets, if the sender of a snapshot is in the phase `Defaulted`: other members
    /// may still use them.
    pub previous: Vec<(TargetId, Weight)>,
}

impl BaseSet {
    /// Returns a digest of the targets and weights, without the version and the previous targets.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (target, weight) in &self.targets {
            hash.update(&target.get().to_le_bytes());
            hash.update(&weight.get().to_le_bytes());
        }
        hash.digest()
    }
}
