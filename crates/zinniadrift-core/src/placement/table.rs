use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::units::Weight;

/// Counts the buckets of a table; a prime, as Maglev population requires.
pub const BUCKETS: usize = 16_381;

const OFFSET_SEED: u64 = 0x6f66_6673;
const SKIP_SEED: u64 = 0x736b_6970;

/// Maps each bucket to the index of a target, populated as the Maglev paper describes.
///
/// The result is a pure function of the targets' names and weights, so every balancer builds the
/// same table without agreement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Table {
    owners: Box<[u16]>,
}

impl Table {
    /// Builds the table for targets given by name and weight.
    ///
    /// A target of weight zero owns no bucket. Without any weight the table is empty.
    pub fn build(targets: &[(Box<str>, Weight)]) -> Self {
        let mut order: Vec<usize> = (0..targets.len())
            .filter(|&i| targets[i].1.get() > 0)
            .collect();
        if order.is_empty() {
            return Self {
                owners: Box::default(),
            };
        }
        order.sort_by(|&a, &b| targets[a].0.cmp(&targets[b].0));
        Self {
            owners: populate(targets, &order),
        }
    }

    /// Returns the index of the target that owns `bucket`, or `None` if the table is empty.
    pub fn bucket_owner(&self, bucket: usize) -> Option<usize> {
        self.owners.get(bucket % BUCKETS).map(|&i| usize::from(i))
    }

    /// Returns the bucket of a flow hash.
    pub const fn bucket_of(hash: u64) -> usize {
        (hash % BUCKETS as u64) as usize
    }
}

fn populate(targets: &[(Box<str>, Weight)], order: &[usize]) -> Box<[u16]> {
    const FREE: u16 = u16::MAX;
    let mut owners = vec![FREE; BUCKETS].into_boxed_slice();
    let mut cursors: Vec<Cursor> = order.iter().map(|&i| Cursor::new(&targets[i].0)).collect();
    let max_weight = order.iter().map(|&i| targets[i].1.get()).max().unwrap_or(1);
    let mut credit = vec![0_u32; order.len()];
    let mut filled = 0;
    loop {
        for (slot, &target) in order.iter().enumerate() {
            credit[slot] += u32::from(targets[target].1.get());
            if credit[slot] < u32::from(max_weight) {
                continue;
            }
            credit[slot] -= u32::from(max_weight);
            let bucket = cursors[slot].next_free(&owners, FREE);
            owners[bucket] = target as u16;
            filled += 1;
            if filled == BUCKETS {
                return owners;
            }
        }
    }
}

struct Cursor {
    next: usize,
    skip: usize,
}

impl Cursor {
    fn new(name: &str) -> Self {
        let offset = xxh3_64_with_seed(name.as_bytes(), OFFSET_SEED) as usize % BUCKETS;
        let skip = xxh3_64_with_seed(name.as_bytes(), SKIP_SEED) as usize % (BUCKETS - 1) + 1;
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
