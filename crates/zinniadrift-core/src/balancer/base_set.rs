use xxhash_rust::xxh3::Xxh3;

use crate::ids::{ServiceId, TargetId};
use crate::units::{Version, Weight};

/// Holds the targets from which a service's base table is built.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BaseSet {
    /// The service.
    pub service: ServiceId,
    /// The settings version that the set comes from.
    pub version: Version,
    /// The targets and their weights, sorted by id.
    pub targets: Vec<(TargetId, Weight)>,
    /// The set before, if the sender of a snapshot is `Defaulted`: other members may still use it.
    pub previous: Vec<(TargetId, Weight)>,
}

impl BaseSet {
    /// Returns a digest of the targets and weights; the version and the old set do not count.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (target, weight) in &self.targets {
            hash.update(&target.get().to_le_bytes());
            hash.update(&weight.get().to_le_bytes());
        }
        hash.digest()
    }
}
