use super::{BaseSet, TargetTable};
use crate::placement::{BUCKETS, MaglevTable};

/// A lookup table from each hash bucket to the index of a target in its service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct OwnerTable {
    owners: Box<[u16]>,
}

impl OwnerTable {
    /// Builds the table of a set, and adds the targets of the set that `targets` lacks.
    pub(super) fn build(set: &BaseSet, targets: &mut TargetTable) -> Self {
        let table = MaglevTable::build_by_id(&set.targets);
        let ids = set.targets.iter().map(|(id, _)| targets.index_or_add(*id));
        let indices: Vec<u16> = ids.collect();
        let owners = (0..BUCKETS).filter_map(|b| table.bucket_owner(b).map(|i| indices[i]));
        Self {
            owners: owners.collect(),
        }
    }

    /// Returns the target index of a flow hash's bucket, or `None` if the set is empty.
    pub(super) fn owner(&self, hash: u64) -> Option<u16> {
        self.owners.get(MaglevTable::bucket_of(hash)).copied()
    }
}
