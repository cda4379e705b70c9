use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::shard_state::{Cached, ShardState, StoreCall, WriteCall};
use super::{
    ClaimAction, ClaimSettings, ClaimVerdict, PendingOp, ReadResult, ShardId, StoreCallId,
    WritePacer, WriteResult,
};
use crate::units::MonoTime;

/// The writer of shards, which batches the changes of a shard and makes one call per shard at a
/// time.
#[derive(Debug)]
pub(crate) struct ClaimWriter {
    shards: BTreeMap<ShardId, ShardState>,
    pacer: WritePacer,
    /// The time at which the next write is allowed; set if the last one was rate-limited.
    paced_until: Option<MonoTime>,
    /// The next time at which the platform is called again; set while it counts as unavailable.
    platform_down_until: Option<MonoTime>,
    last_call_id: u64,
    flushing: bool,
    /// Whether any state changed since the last call of `start_due_calls`.
    dirty: bool,
    next_wake: Option<MonoTime>,
}

/// A change with its verdict.
pub(crate) type DecidedOp = (PendingOp, ClaimVerdict);

/// The time for which completions and releases wait for a claim whose write they can share.
const COMPLETION_DELAY: Duration = Duration::from_millis(500);
/// The interval between attempts to reach a platform that does not answer.
const DOWN_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// The back-off before the next write of a shard, per consecutive failure after the first.
const BACKOFF_STEP: Duration = Duration::from_millis(20);
/// The number of failures after which the back-off no longer grows.
const MAX_BACKOFF_STEPS: u32 = 50;
/// The age up to which a claim may be refused by a cached value; an older value is read again
/// first.
const MAX_REFUSAL_AGE: Duration = Duration::from_secs(1);
/// The length of a shard's queue above which completions and releases are dropped; it bounds
/// memory while the platform is unavailable.
const QUEUE_CAPACITY: usize = 4_096;
/// The number of shards above which idle shards are not cached, to bound memory.
const MAX_CACHED_SHARDS: u32 = 256;

impl ClaimWriter {
    /// Returns a writer without any shard in memory, whose call ids start after `base`.
    pub(crate) fn new(base: u64) -> Self {
        Self {
            shards: BTreeMap::new(),
            pacer: WritePacer::new(),
            paced_until: None,
            platform_down_until: None,
            last_call_id: base,
            flushing: false,
            dirty: false,
            next_wake: None,
        }
    }

    /// Returns whether the platform is considered unavailable.
    pub(crate) fn is_platform_down(&self, now: MonoTime) -> bool {
        self.platform_down_until.is_some_and(|t| now < t)
    }

    /// Returns whether no change waits to be written.
    pub(crate) fn is_idle(&self) -> bool {
        self.shards.values().all(ShardState::is_idle)
    }

    /// Writes completions and releases without delay from now on.
    pub(crate) fn flush(&mut self) {
        self.flushing = true;
        self.dirty = true;
    }

    /// Queues a change.
    pub(crate) fn submit(&mut self, shard: ShardId, op: PendingOp) {
        self.dirty = true;
        let state = self.shards.entry(shard).or_default();
        state.queue.push_back(op);
        if state.queue.len() > QUEUE_CAPACITY {
            // The dropped change is a completion or release. Without it the claim stays held,
            // which cannot make the work run twice.
            if let Some(i) = state.queue.iter().position(|p| !p.is_awaited()) {
                state.queue.remove(i);
            }
        }
    }

    /// Handles the result of a read.
    pub(crate) fn on_read(
        &mut self,
        now: MonoTime,
        call_id: StoreCallId,
        shard: ShardId,
        result: ReadResult,
        out: &mut Vec<ClaimAction>,
    ) -> Vec<DecidedOp> {
        self.dirty = true;
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        if state.take_call(call_id).is_none() {
            return Vec::new();
        }
        let (revision, value) = match result {
            ReadResult::Found { revision, value } => (Some(revision), value),
            ReadResult::Absent => (None, Arc::default()),
            ReadResult::Unavailable => return self.mark_platform_down(now, out),
        };
        state.cached = Some(Cached {
            revision,
            value,
            confirmed_at: now,
        });
        self.mark_platform_up(out);
        Vec::new()
    }

    /// Handles the result of a write and returns the verdicts that are now valid.
    pub(crate) fn on_written(
        &mut self,
        now: MonoTime,
        call_id: StoreCallId,
        shard: ShardId,
        result: WriteResult,
        cfg: &ClaimSettings,
        out: &mut Vec<ClaimAction>,
    ) -> Vec<DecidedOp> {
        self.dirty = true;
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        let Some(write) = state.take_call(call_id).and_then(|c| c.write) else {
            return Vec::new();
        };
        state.cached = None;
        match result {
            WriteResult::Written { revision } => {
                state.cached = Some(Cached {
                    revision: Some(revision),
                    value: write.value,
                    confirmed_at: now,
                });
                state.write_failures = 0;
                self.mark_platform_up(out);
                write.ops
            }
            WriteResult::Unavailable if !cfg.token_read_back => write.ops,
            WriteResult::Unavailable => {
                // The shard is read back at once. The next write is delayed only by the second and
                // later consecutive failures.
                state.write_after =
                    now + BACKOFF_STEP * state.write_failures.min(MAX_BACKOFF_STEPS);
                state.write_failures += 1;
                state.requeue(write.ops);
                Vec::new()
            }
            WriteResult::Conflict => {
                state.requeue(write.ops);
                self.mark_platform_up(out);
                Vec::new()
            }
        }
    }

    /// Starts every call that is due, and returns the verdicts that need no call.
    pub(crate) fn start_due_calls(
        &mut self,
        now: MonoTime,
        cfg: &ClaimSettings,
        out: &mut Vec<ClaimAction>,
    ) -> Vec<DecidedOp> {
        if !self.dirty && self.next_wake.is_none_or(|t| now < t) {
            return Vec::new();
        }
        let mut verdicts = self.expire(now, cfg, out);
        self.paced_until = None;
        let mut due: Vec<(MonoTime, ShardId)> = Vec::new();
        for (shard, state) in &self.shards {
            if let Some(since) = self.due_since(now, state) {
                due.push((since, *shard));
            }
        }
        due.sort_unstable();
        for (_, shard) in due {
            self.start_shard_call(now, shard, cfg, out, &mut verdicts);
            if self.paced_until.is_some() {
                break;
            }
        }
        if cfg.shards > MAX_CACHED_SHARDS {
            self.shards.retain(|_, s| !s.is_idle());
        }
        self.dirty = false;
        self.next_wake = self.compute_next_wake();
        verdicts
    }

    /// Returns the next time at which `start_due_calls` must be called.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        if self.dirty {
            return Some(MonoTime::default());
        }
        self.next_wake
    }

    fn compute_next_wake(&self) -> Option<MonoTime> {
        let shards = self.shards.values().filter_map(|s| {
            if let Some(call) = &s.call {
                return Some(call.timeout);
            }
            let first = s.queue.front()?;
            let due = if s.queue.iter().any(PendingOp::is_awaited) || self.flushing {
                first.arrived_at
            } else {
                first.arrived_at + COMPLETION_DELAY
            };
            let mut not_before = self.platform_down_until.max(self.paced_until);
            if s.cached.is_some() {
                not_before = not_before.max(Some(s.write_after));
            }
            Some(not_before.map_or(due, |t| t.max(due)))
        });
        shards.min()
    }

    /// Returns the time since which a shard's changes have waited, if its next call may start now.
    fn due_since(&self, now: MonoTime, state: &ShardState) -> Option<MonoTime> {
        let delayed = state.cached.is_some() && now < state.write_after;
        if state.call.is_some() || delayed || self.is_platform_down(now) {
            return None;
        }
        let awaited = state.queue.iter().find(|p| p.is_awaited());
        if let Some(op) = awaited {
            return Some(op.arrived_at);
        }
        let first = state.queue.front()?;
        (self.flushing || now >= first.arrived_at + COMPLETION_DELAY).then_some(first.arrived_at)
    }

    fn start_shard_call(
        &mut self,
        now: MonoTime,
        shard: ShardId,
        cfg: &ClaimSettings,
        out: &mut Vec<ClaimAction>,
        verdicts: &mut Vec<DecidedOp>,
    ) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let Some(mut cached) = state.cached.clone() else {
            let call_id = next_call_id(&mut self.last_call_id);
            state.call = Some(StoreCall {
                id: call_id,
                timeout: now + cfg.store_timeout,
                write: None,
            });
            out.push(ClaimAction::Read { call_id, shard });
            return;
        };
        if let Err(at) = self.pacer.take(now, cfg.write_rate) {
            self.paced_until = Some(at);
            return;
        }
        // The cached reference is dropped before the value is changed: if the driver keeps no
        // reference either, `Arc::make_mut` need not copy thousands of claims.
        state.cached = None;
        let (mut ops, mut changed) = (Vec::with_capacity(state.queue.len()), false);
        let value = Arc::make_mut(&mut cached.value);
        for pending in state.queue.drain(..) {
            let before = value.claims.get(&pending.op.key).cloned();
            let verdict = value.apply(&pending.op, cfg.unix_s(now), &cfg.rules);
            changed |= value.claims.get(&pending.op.key) != before.as_ref();
            ops.push((pending, verdict));
        }
        if !changed {
            let refused = ops.iter().any(|(_, v)| *v == ClaimVerdict::Taken);
            if refused && now.since(cached.confirmed_at) > MAX_REFUSAL_AGE {
                state.requeue(ops);
                return self.start_shard_call(now, shard, cfg, out, verdicts);
            }
            state.cached = Some(cached);
            verdicts.extend(ops);
            return;
        }
        let Cached {
            revision, value, ..
        } = cached;
        let call_id = next_call_id(&mut self.last_call_id);
        state.call = Some(StoreCall {
            id: call_id,
            timeout: now + cfg.store_timeout,
            write: Some(WriteCall {
                value: value.clone(),
                ops,
            }),
        });
        out.push(ClaimAction::Write {
            call_id,
            shard,
            expected: revision,
            value,
        });
    }

    /// Ends calls that timed out and changes that are no longer needed.
    fn expire(
        &mut self,
        now: MonoTime,
        cfg: &ClaimSettings,
        out: &mut Vec<ClaimAction>,
    ) -> Vec<DecidedOp> {
        let mut verdicts = Vec::new();
        let timed_out: Vec<(ShardId, StoreCallId, bool)> = self
            .shards
            .iter()
            .filter_map(|(shard, s)| Some((*shard, s.call.as_ref()?)))
            .filter(|(_, c)| c.timeout <= now)
            .map(|(shard, c)| (shard, c.id, c.write.is_some()))
            .collect();
        for (shard, call_id, write) in timed_out {
            verdicts.extend(if write {
                self.on_written(now, call_id, shard, WriteResult::Unavailable, cfg, out)
            } else {
                self.on_read(now, call_id, shard, ReadResult::Unavailable, out)
            });
        }
        for state in self.shards.values_mut() {
            verdicts.extend(drain_as_unavailable(state, |p| p.is_expired(now)));
        }
        if cfg.fail_fast && self.is_platform_down(now) {
            verdicts.extend(self.fail_awaited());
        }
        verdicts
    }

    fn mark_platform_down(&mut self, now: MonoTime, out: &mut Vec<ClaimAction>) -> Vec<DecidedOp> {
        if self.platform_down_until.is_none() {
            out.push(ClaimAction::PlatformAvailable(false));
        }
        self.platform_down_until = Some(now + DOWN_RETRY_INTERVAL);
        Vec::new()
    }

    fn mark_platform_up(&mut self, out: &mut Vec<ClaimAction>) {
        if self.platform_down_until.take().is_some() {
            out.push(ClaimAction::PlatformAvailable(true));
        }
    }

    fn fail_awaited(&mut self) -> Vec<DecidedOp> {
        let states = self.shards.values_mut();
        states
            .flat_map(|s| drain_as_unavailable(s, PendingOp::is_awaited))
            .collect()
    }
}

/// Removes the matching changes from the queue and returns them as unavailable.
fn drain_as_unavailable(
    state: &mut ShardState,
    matches: impl Fn(&PendingOp) -> bool,
) -> Vec<DecidedOp> {
    if !state.queue.iter().any(&matches) {
        return Vec::new();
    }
    let (taken, kept): (Vec<_>, Vec<_>) = state.queue.drain(..).partition(matches);
    state.queue.extend(kept);
    taken
        .into_iter()
        .map(|p| (p, ClaimVerdict::Unavailable))
        .collect()
}

fn next_call_id(last: &mut u64) -> StoreCallId {
    *last = last.wrapping_add(1);
    StoreCallId::from(*last)
}
