use std::collections::BTreeMap;
use std::time::Duration;

use super::claim_writer::{ClaimWriter, Verdict};
use super::{
    BatchId, ClaimAction, ClaimChange, ClaimKey, ClaimOp, ClaimSettings, ClaimVerdict, Origin,
    PendingOp, ReadResult, RemoteBatch, ShardId, StoreCallId, WriteResult, WriterChoice,
};
use crate::ids::MemberId;
use crate::units::MonoTime;

/// Gets claims of one gateway written, by itself or by the writer of the shard.
#[derive(Debug)]
pub struct ClaimRouter {
    cfg: ClaimSettings,
    writer: ClaimWriter,
    choice: WriterChoice,
    forwards: BTreeMap<BatchId, Forward>,
    remotes: BTreeMap<(MemberId, BatchId), RemoteBatch>,
    last_batch: u64,
}

#[derive(Debug)]
struct Forward {
    to: MemberId,
    ops: Vec<PendingOp>,
    timeout: MonoTime,
}

/// The time for which a gateway that failed to write is not asked again.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Gateways that may fail to write a claim before its request is told.
const MAX_FAILURES: u8 = 2;
/// Batches of other gateways that wait for their verdicts at the same time.
const REMOTE_CAPACITY: usize = 16_384;

impl ClaimRouter {
    /// Returns claims without any shard in memory.
    pub fn new(cfg: ClaimSettings) -> Self {
        let mut choice = WriterChoice::default();
        choice.set_members(vec![cfg.member]);
        Self {
            writer: ClaimWriter::new(cfg.id_base),
            choice,
            forwards: BTreeMap::new(),
            remotes: BTreeMap::new(),
            last_batch: cfg.id_base,
            cfg,
        }
    }

    /// Returns the configuration, for changes by a new settings version.
    pub fn settings_mut(&mut self) -> &mut ClaimSettings {
        &mut self.cfg
    }

    /// Replaces the live gateways; this one is always among them.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = MemberId>) {
        let mut members: Vec<MemberId> = peers.into_iter().collect();
        if !members.contains(&self.cfg.member) {
            members.push(self.cfg.member);
        }
        self.choice.set_members(members);
    }

    /// Tells whether nothing waits to be written.
    pub fn is_idle(&self) -> bool {
        self.writer.is_idle() && self.forwards.is_empty()
    }

    /// Writes everything without delay from now on, before the process stops.
    pub fn flush(&mut self) {
        self.writer.flush();
    }

    /// Returns the shard of a key.
    pub fn shard_of(&self, key: ClaimKey) -> ShardId {
        key.shard(self.cfg.shards)
    }

    /// Asks for a change on behalf of a request of this gateway.
    pub fn submit(&mut self, now: MonoTime, op: ClaimOp, out: &mut Vec<ClaimAction>) {
        let shard = self.shard_of(op.key);
        self.route(
            now,
            shard,
            vec![PendingOp::new(op, Origin::Local, now)],
            out,
        );
        self.pump(now, out);
    }

    /// Takes a batch of another gateway.
    pub fn on_forwarded(
        &mut self,
        now: MonoTime,
        from: MemberId,
        batch: BatchId,
        shard: ShardId,
        ops: Vec<ClaimOp>,
        out: &mut Vec<ClaimAction>,
    ) {
        let unavailable = self.cfg.fail_fast && self.writer.is_down(now);
        if ops.is_empty() || unavailable || self.remotes.len() >= REMOTE_CAPACITY {
            out.push(ClaimAction::Reply {
                to: from,
                batch,
                verdicts: vec![ClaimVerdict::Unavailable; ops.len()],
            });
            return;
        }
        self.remotes
            .insert((from, batch), RemoteBatch::new(ops.len()));
        for (index, op) in ops.into_iter().enumerate() {
            let origin = Origin::Remote { from, batch, index };
            self.writer.submit(shard, PendingOp::new(op, origin, now));
        }
        self.pump(now, out);
    }

    /// Takes the answer to a forwarded batch.
    pub fn on_answered(
        &mut self,
        now: MonoTime,
        batch: BatchId,
        verdicts: Option<Vec<ClaimVerdict>>,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(forward) = self.forwards.remove(&batch) else {
            return;
        };
        let verdicts = verdicts
            .filter(|v| v.len() == forward.ops.len())
            .unwrap_or_else(|| vec![ClaimVerdict::Unavailable; forward.ops.len()]);
        let verdicts = forward.ops.into_iter().zip(verdicts).collect();
        self.settle(now, forward.to, verdicts, out);
        self.pump(now, out);
    }

    /// Takes the result of a read.
    pub fn on_read(
        &mut self,
        now: MonoTime,
        call_id: StoreCallId,
        shard: ShardId,
        result: ReadResult,
        out: &mut Vec<ClaimAction>,
    ) {
        let verdicts = self.writer.on_read(now, call_id, shard, result, out);
        self.settle(now, self.cfg.member, verdicts, out);
        self.pump(now, out);
    }

    /// Takes the result of a write.
    pub fn on_written(
        &mut self,
        now: MonoTime,
        call_id: StoreCallId,
        shard: ShardId,
        result: WriteResult,
        out: &mut Vec<ClaimAction>,
    ) {
        let verdicts = self
            .writer
            .on_written(now, call_id, shard, result, &self.cfg, out);
        self.settle(now, self.cfg.member, verdicts, out);
        self.pump(now, out);
    }

    /// Does what is due.
    pub fn on_tick(&mut self, now: MonoTime, out: &mut Vec<ClaimAction>) {
        let late: Vec<BatchId> = self
            .forwards
            .iter()
            .filter(|(_, f)| f.timeout <= now)
            .map(|(batch, _)| *batch)
            .collect();
        for batch in late {
            self.on_answered(now, batch, None, out);
        }
        self.pump(now, out);
    }

    /// Returns the next time at which `on_tick` is needed.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let forwards = self.forwards.values().map(|f| f.timeout).min();
        forwards
            .into_iter()
            .chain(self.writer.next_deadline())
            .min()
    }

    fn route(
        &mut self,
        now: MonoTime,
        shard: ShardId,
        ops: Vec<PendingOp>,
        out: &mut Vec<ClaimAction>,
    ) {
        if self.writer.is_down(now) {
            self.choice.avoid(self.cfg.member, now + AVOID_TIME);
        }
        match self.choice.choose(now, shard) {
            Some(to) if to != self.cfg.member => self.forward(now, to, shard, ops, out),
            Some(_) => ops.into_iter().for_each(|op| self.writer.submit(shard, op)),
            None => self.keep_or_fail(shard, ops, out),
        }
    }

    /// Handles changes that no gateway can write now: requests are told at once, the rest waits.
    fn keep_or_fail(&mut self, shard: ShardId, ops: Vec<PendingOp>, out: &mut Vec<ClaimAction>) {
        for op in ops {
            if op.is_urgent() && self.cfg.fail_fast {
                self.report((op, ClaimVerdict::Unavailable), out);
            } else {
                self.writer.submit(shard, op);
            }
        }
    }

    fn forward(
        &mut self,
        now: MonoTime,
        to: MemberId,
        shard: ShardId,
        ops: Vec<PendingOp>,
        out: &mut Vec<ClaimAction>,
    ) {
        self.last_batch = self.last_batch.wrapping_add(1);
        let batch = BatchId::from(self.last_batch);
        out.push(ClaimAction::Forward {
            to,
            batch,
            shard,
            claims: ops.iter().map(|p| current(now, p)).collect(),
        });
        let urgent = ops.iter().any(PendingOp::is_urgent);
        // A completion waits at the writer for a claim to share the write with.
        let patience = self.cfg.store_timeout * if urgent { 2 } else { 10 };
        self.forwards.insert(
            batch,
            Forward {
                to,
                ops,
                timeout: now + patience,
            },
        );
    }

    fn pump(&mut self, now: MonoTime, out: &mut Vec<ClaimAction>) {
        let verdicts = self.writer.pump(now, &self.cfg, out);
        self.settle(now, self.cfg.member, verdicts, out);
    }

    /// Reports verdicts, and asks another gateway where `writer` could not reach the platform.
    fn settle(
        &mut self,
        now: MonoTime,
        writer: MemberId,
        verdicts: Vec<Verdict>,
        out: &mut Vec<ClaimAction>,
    ) {
        for (mut op, verdict) in verdicts {
            let unavailable = verdict == ClaimVerdict::Unavailable && !op.is_late(now);
            if op.origin != Origin::Local || !unavailable {
                self.report((op, verdict), out);
                continue;
            }
            self.choice.avoid(writer, now + AVOID_TIME);
            op.failures += 1;
            if op.is_urgent() && op.failures >= MAX_FAILURES {
                self.report((op, verdict), out);
                continue;
            }
            // A repeated change is harmless, so it does not matter whether the first took effect.
            let shard = self.shard_of(op.op.key);
            self.route(now, shard, vec![op], out);
        }
    }

    fn report(&mut self, (pending, verdict): Verdict, out: &mut Vec<ClaimAction>) {
        match pending.origin {
            Origin::Local if pending.is_urgent() => out.push(ClaimAction::Decided {
                token: pending.op.token,
                start: matches!(pending.op.change, ClaimChange::Start { .. }),
                verdict,
            }),
            Origin::Local => {}
            Origin::Remote { from, batch, index } => {
                let Some(remote) = self.remotes.get_mut(&(from, batch)) else {
                    return;
                };
                if let Some(verdicts) = remote.record(index, verdict) {
                    self.remotes.remove(&(from, batch));
                    out.push(ClaimAction::Reply {
                        to: from,
                        batch,
                        verdicts,
                    });
                }
            }
        }
    }
}

/// Returns the change with the time that is left to it now.
fn current(now: MonoTime, pending: &PendingOp) -> ClaimOp {
    let mut op = pending.op.clone();
    let left = pending.deadline.map(|d| d.since(now)).unwrap_or_default();
    match &mut op.change {
        ClaimChange::Take { remaining } | ClaimChange::Start { remaining } => *remaining = left,
        ClaimChange::Complete { .. } | ClaimChange::Release => {}
    }
    op
}
