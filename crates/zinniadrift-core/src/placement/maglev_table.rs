use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::TargetId;
use crate::units::Weight;

/// The number of buckets of a table; a prime, as Maglev hashing requires.
pub const BUCKETS: usize = 16_381;

const OFFSET_SEED: u64 = 0x6f66_6673;
const SKIP_SEED: u64 = 0x736b_6970;

/// A weighted Maglev lookup table, which maps each bucket to the index of a target.
///
/// The table is a pure function of the targets' names or ids and their weights, so every balancer
/// builds the same table without coordination.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MaglevTable {
    owners: Box<[u16]>,
}

impl MaglevTable {
    /// Builds the table for targets given by name and weight.
    ///
    /// A target of weight zero owns no bucket. If all weights are zero, the table is empty.
    pub fn build(targets: &[(Box<str>, Weight)]) -> Self {
        let mut order: Vec<usize> = (0..targets.len()).collect();
        order.sort_by(|&a, &b| targets[a].0.cmp(&targets[b].0));
        Self::populate(order.into_iter().map(|i| {
            let (name, weight) = &targets[i];
            (i, Permutation::new(name.as_bytes()), *weight)
        }))
    }

    /// Builds the table for targets given by id and weight; see [`MaglevTable::build`].
    pub fn build_by_id(targets: &[(TargetId, Weight)]) -> Self {
        let mut order: Vec<usize> = (0..targets.len()).collect();
        order.sort_by_key(|&i| targets[i].0);
        Self::populate(order.into_iter().map(|i| {
            let (id, weight) = targets[i];
            (i, Permutation::new(&id.get().to_le_bytes()), weight)
        }))
    }

    /// Returns the index of the target that owns `bucket`, or `None` if the table is empty.
    pub fn bucket_owner(&self, bucket: usize) -> Option<usize> {
        self.owners.get(bucket % BUCKETS).map(|&i| usize::from(i))
    }

    /// Returns the bucket that a flow hash falls into.
    pub const fn bucket_of(hash: u64) -> usize {
        (hash % BUCKETS as u64) as usize
    }

    fn populate(targets: impl Iterator<Item = (usize, Permutation, Weight)>) -> Self {
        const FREE: u16 = u16::MAX;
        let mut weighted: Vec<WeightedTarget> = targets
            .filter(|(_, _, weight)| weight.get() > 0)
            .map(|(target, permutation, weight)| WeightedTarget {
                index: target as u16,
                permutation,
                weight: weight.get().into(),
                credit: 0,
            })
            .collect();
        let Some(max_weight) = weighted.iter().map(|t| t.weight).max() else {
            return Self {
                owners: Box::default(),
            };
        };
        let mut owners = vec![FREE; BUCKETS].into_boxed_slice();
        let mut filled = 0;
        loop {
            for target in &mut weighted {
                target.credit += target.weight;
                if target.credit < max_weight {
                    continue;
                }
                target.credit -= max_weight;
                let bucket = target.permutation.next_free(&owners, FREE);
                owners[bucket] = target.index;
                filled += 1;
                if filled == BUCKETS {
                    return Self { owners };
                }
            }
        }
    }
}

struct WeightedTarget {
    index: u16,
    permutation: Permutation,
    weight: u32,
    credit: u32,
}

struct Permutation {
    next: usize,
    skip: usize,
}

impl Permutation {
    fn new(key: &[u8]) -> Self {
        let offset = xxh3_64_with_seed(key, OFFSET_SEED) as usize % BUCKETS;
        let skip = xxh3_64_with_seed(key, SKIP_SEED) as usize % (BUCKETS - 1) + 1;
        Self { next: offset, skip }
    }

    fn next_free(&mut self, owners: &[u16], free: u16) -> usize {
        loop {
            let bucket = self.next;
            self.next = (self.next + self.skip) % BUCKETS;
            if owners[bucket] == free {
                return bucket;
            }
        }
    }
}
