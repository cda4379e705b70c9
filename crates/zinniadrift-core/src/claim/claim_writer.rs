use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::shard_state::{Cached, Call, ShardState, WriteCall};
use super::{
    ClaimAction, ClaimSettings, ClaimVerdict, PendingOp, ReadResult, ShardId, StoreCallId,
    WritePacer, WriteResult,
};
use crate::units::MonoTime;

/// Writes the changes of a shard in groups, one call at a time per shard.
#[derive(Debug)]
pub(crate) struct ClaimWriter {
    shards: BTreeMap<ShardId, ShardState>,
    pacer: WritePacer,
    paced_until: Option<MonoTime>,
    down_until: Option<MonoTime>,
    last_call_id: u64,
    flushing: bool,
    /// Whether something changed since the last call of `pump`.
    dirty: bool,
    wake: Option<MonoTime>,
}

/// Is a verdict on a change.
pub(crate) type Verdict = (PendingOp, ClaimVerdict);

/// The time that completions and releases wait for a claim to share the write with.
const COMPLETION_DELAY: Duration = Duration::from_millis(500);
/// The time between two attempts to reach a platform that does not answer.
const DOWN_RETRY: Duration = Duration::from_secs(1);
/// The time by which repeated failures of writes to a shard delay the next write.
const BACKOFF: Duration = Duration::from_millis(20);
/// Failures after which the delay no longer grows.
const MAX_BACKOFF: u32 = 50;
/// The age up to which a cached value may refuse a claim; an older one is read again first.
const REFUSE_AGE: Duration = Duration::from_secs(1);
/// Completions and releases of a shard that are kept while the platform is down.
const BACKLOG_CAPACITY: usize = 4_096;
/// Shards above which idle values are not cached, to bound memory.
const CACHED_SHARDS: u32 = 256;

impl ClaimWriter {
    /// Returns a writer without any shard in memory, whose call ids follow `base`.
    pub(crate) fn new(base: u64) -> Self {
        Self {
            shards: BTreeMap::new(),
            pacer: WritePacer::new(),
            paced_until: None,
            down_until: None,
            last_call_id: base,
            flushing: false,
            dirty: false,
            wake: None,
        }
    }

    /// Tells whether the platform is considered down.
    pub(crate) fn is_down(&self, now: MonoTime) -> bool {
        self.down_until.is_some_and(|t| now < t)
    }

    /// Tells whether nothing waits to be written.
    pub(crate) fn is_idle(&self) -> bool {
        self.shards.values().all(ShardState::is_idle)
    }

    /// Writes completions and releases without waiting for a claim from now on.
    pub(crate) fn flush(&mut self) {
        self.flushing = true;
        self.dirty = true;
    }

    /// Queues a change.
    pub(crate) fn submit(&mut self, shard: ShardId, op: PendingOp) {
        self.dirty = true;
        let state = self.shards.entry(shard).or_default();
        state.queue.push_back(op);
        if state.queue.len() > BACKLOG_CAPACITY {
            // The dropped change is a completion or release; without it the claim stays held,
            // which is always safe.
            if let Some(i) = state.queue.iter().position(|p| !p.is_urgent()) {
                state.queue.remove(i);
            }
        }
    }

    /// Takes the result of a read.
    pub(crate) fn on_read(
        &mut self,
        now: MonoTime,
        call_id: StoreCallId,
        shard: ShardId,
        result: ReadResult,
        out: &mut Vec<ClaimAction>,
    ) -> Vec<Verdict> {
        self.dirty = true;
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        if state.finish(call_id).is_none() {
            return Vec::new();
        }
        let (revision, value) = match result {
            ReadResult::Found { revision, value } => (Some(revision), value),
            ReadResult::Absent => (None, Arc::default()),
            ReadResult::Unavailable => return self.set_down(now, out),
        };
        state.cached = Some(Cached {
            revision,
            value,
            confirmed: now,
        });
        self.set_up(out);
        Vec::new()
    }

    /// Takes the result of a write.
    pub(crate) fn on_written(
        &mut self,
        now: MonoTime,
        call_id: StoreCallId,
        shard: ShardId,
        result: WriteResult,
        cfg: &ClaimSettings,
        out: &mut Vec<ClaimAction>,
    ) -> Vec<Verdict> {
        self.dirty = true;
        let Some(state) = self.shards.get_mut(&shard) else {
            return Vec::new();
        };
        let Some(write) = state.finish(call_id).and_then(|c| c.write) else {
            return Vec::new();
        };
        state.cached = None;
        match result {
            WriteResult::Written { revision } => {
                state.cached = Some(Cached {
                    revision: Some(revision),
                    value: write.value,
                    confirmed: now,
                });
                state.failures = 0;
                self.set_up(out);
                write.ops
            }
            WriteResult::Unavailable if !cfg.token_read_back => write.ops,
            WriteResult::Unavailable => {
                // The value is read back at once, and written again only later if that repeats.
                state.write_after = now + BACKOFF * state.failures.min(MAX_BACKOFF);
                state.failures += 1;
                state.requeue(write.ops);
                Vec::new()
            }
            WriteResult::Conflict => {
                state.requeue(write.ops);
                self.set_up(out);
                Vec::new()
            }
        }
    }

    /// Starts every call that is due and returns the verdicts that need none.
    pub(crate) fn pump(
        &mut self,
        now: MonoTime,
        cfg: &ClaimSettings,
        out: &mut Vec<ClaimAction>,
    ) -> Vec<Verdict> {
        if !self.dirty && self.wake.is_none_or(|t| now < t) {
            return Vec::new();
        }
        let mut done = self.expire(now, cfg, out);
        self.paced_until = None;
        let mut due: Vec<(MonoTime, ShardId)> = Vec::new();
        for (shard, state) in &self.shards {
            if let Some(since) = self.due_since(now, state) {
                due.push((since, *shard));
            }
        }
        due.sort_unstable();
        for (_, shard) in due {
            self.pump_shard(now, shard, cfg, out, &mut done);
            if self.paced_until.is_some() {
                break;
            }
        }
        if cfg.shards > CACHED_SHARDS {
            self.shards.retain(|_, s| !s.is_idle());
        }
        self.dirty = false;
        self.wake = self.find_wake();
        done
    }

    /// Returns the next time at which `pump` has something to do.
    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        if self.dirty {
            return Some(MonoTime::default());
        }
        self.wake
    }

    fn find_wake(&self) -> Option<MonoTime> {
        let shards = self.shards.values().filter_map(|s| {
            if let Some(call) = &s.call {
                return Some(call.timeout);
            }
            let first = s.queue.front()?;
            let due = if s.queue.iter().any(PendingOp::is_urgent) || self.flushing {
                first.since
            } else {
                first.since + COMPLETION_DELAY
            };
            let mut gate = self.down_until.max(self.paced_until);
            if s.cached.is_some() {
                gate = gate.max(Some(s.write_after));
            }
            Some(gate.map_or(due, |g| g.max(due)))
        });
        shards.min()
    }

    /// Returns since when a shard has had something to write, if it may be written now.
    fn due_since(&self, now: MonoTime, state: &ShardState) -> Option<MonoTime> {
        let delayed = state.cached.is_some() && now < state.write_after;
        if state.call.is_some() || delayed || self.is_down(now) {
            return None;
        }
        let urgent = state.queue.iter().find(|p| p.is_urgent());
        if let Some(op) = urgent {
            return Some(op.since);
        }
        let first = state.queue.front()?;
        (self.flushing || now >= first.since + COMPLETION_DELAY).then_some(first.since)
    }

    fn pump_shard(
        &mut self,
        now: MonoTime,
        shard: ShardId,
        cfg: &ClaimSettings,
        out: &mut Vec<ClaimAction>,
        done: &mut Vec<Verdict>,
    ) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let Some(mut cached) = state.cached.clone() else {
            let call_id = next_call_id(&mut self.last_call_id);
            state.call = Some(Call {
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
        // The cached value is given up for the write, so that a driver that keeps no reference to
        // it spares the copy of thousands of claims.
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
            if refused && now.since(cached.confirmed) > REFUSE_AGE {
                state.requeue(ops);
                return self.pump_shard(now, shard, cfg, out, done);
            }
            state.cached = Some(cached);
            done.extend(ops);
            return;
        }
        let Cached {
            revision, value, ..
        } = cached;
        let call_id = next_call_id(&mut self.last_call_id);
        state.call = Some(Call {
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

    /// Ends calls that took too long and changes that nobody waits for any more.
    fn expire(
        &mut self,
        now: MonoTime,
        cfg: &ClaimSettings,
        out: &mut Vec<ClaimAction>,
    ) -> Vec<Verdict> {
        let mut done = Vec::new();
        let late: Vec<(ShardId, StoreCallId, bool)> = self
            .shards
            .iter()
            .filter_map(|(shard, s)| Some((*shard, s.call.as_ref()?)))
            .filter(|(_, c)| c.timeout <= now)
            .map(|(shard, c)| (shard, c.id, c.write.is_some()))
            .collect();
        for (shard, call_id, write) in late {
            done.extend(if write {
                self.on_written(now, call_id, shard, WriteResult::Unavailable, cfg, out)
            } else {
                self.on_read(now, call_id, shard, ReadResult::Unavailable, out)
            });
        }
        for state in self.shards.values_mut() {
            done.extend(take_all(state, |p| p.is_late(now)));
        }
        if cfg.fail_fast && self.is_down(now) {
            done.extend(self.fail_urgent());
        }
        done
    }

    fn set_down(&mut self, now: MonoTime, out: &mut Vec<ClaimAction>) -> Vec<Verdict> {
        if self.down_until.is_none() {
            out.push(ClaimAction::PlatformAvailable(false));
        }
        self.down_until = Some(now + DOWN_RETRY);
        Vec::new()
    }

    fn set_up(&mut self, out: &mut Vec<ClaimAction>) {
        if self.down_until.take().is_some() {
            out.push(ClaimAction::PlatformAvailable(true));
        }
    }

    fn fail_urgent(&mut self) -> Vec<Verdict> {
        let states = self.shards.values_mut();
        states
            .flat_map(|s| take_all(s, PendingOp::is_urgent))
            .collect()
    }
}

/// Removes the matching changes and answers them as unavailable.
fn take_all(state: &mut ShardState, matches: impl Fn(&PendingOp) -> bool) -> Vec<Verdict> {
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
