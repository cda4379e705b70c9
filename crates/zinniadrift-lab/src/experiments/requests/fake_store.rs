use std::collections::HashMap;
use std::sync::Arc;

use zinniadrift_core::claim::{ClaimShard, ReadResult, ShardId, WriteResult};
use zinniadrift_core::units::MonoTime;

/// A fake of the platform's object store with conditional writes of claim shards.
#[derive(Debug, Default)]
pub struct FakeStore {
    objects: HashMap<ShardId, (u64, Arc<ClaimShard>)>,
    last_revision: u64,
    /// The number of write requests.
    pub writes: u64,
    /// The number of read requests.
    pub reads: u64,
    /// The number of writes that the rate limit refused.
    pub refused: u64,
    /// The end of the latest outage, if any.
    pub down_until: Option<MonoTime>,
    tokens: f64,
    updated: MonoTime,
}

/// The rate of writes, per second, that the platform accepts from all clients together.
const WRITE_LIMIT: f64 = 400.0;
/// The largest burst of writes that the platform accepts after an idle period.
const WRITE_BURST: f64 = 100.0;

impl FakeStore {
    /// Returns whether the platform answers, that is, whether no outage is in progress.
    pub fn is_up(&self, now: MonoTime) -> bool {
        self.down_until.is_none_or(|t| t <= now)
    }

    /// Counts a write and returns whether the token bucket admits it.
    pub fn admit_write(&mut self, now: MonoTime) -> bool {
        self.writes += 1;
        let earned = now.since(self.updated).as_secs_f64() * WRITE_LIMIT;
        self.tokens = (self.tokens + earned).min(WRITE_BURST);
        self.updated = now;
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        } else {
            self.refused += 1;
        }
        admitted
    }

    /// Reads a shard.
    pub fn read(&mut self, shard: ShardId) -> ReadResult {
        self.reads += 1;
        match self.objects.get(&shard) {
            Some((revision, value)) => ReadResult::Found {
                revision: *revision,
                value: value.clone(),
            },
            None => ReadResult::Absent,
        }
    }

    /// Writes a shard if its current revision equals `expected`; `None` expects no shard.
    pub fn write(
        &mut self,
        shard: ShardId,
        expected: Option<u64>,
        value: Arc<ClaimShard>,
    ) -> WriteResult {
        if self.objects.get(&shard).map(|(r, _)| *r) != expected {
            return WriteResult::Conflict;
        }
        self.last_revision += 1;
        self.objects.insert(shard, (self.last_revision, value));
        WriteResult::Written {
            revision: self.last_revision,
        }
    }
}
