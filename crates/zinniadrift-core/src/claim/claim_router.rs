use std::collections::BTreeMap;
use std::time::Duration;

use super::claim_writer::{ClaimWriter, DecidedOp};
use super::{
    BatchId, ClaimAction, ClaimChange, ClaimKey, ClaimOp, ClaimSettings, ClaimVerdict, Origin,
    PendingOp, ReadResult, RemoteBatch, ShardId, StoreCallId, WriteResult, WriterSelector,
};
use crate::ids::MemberId;
use crate::units::MonoTime;

/// The claims of one gateway, which it writes itself or forwards to the writer of the shard.
#[derive(Debug)]
pub struct ClaimRouter {
    cfg: ClaimSettings,
    writer: ClaimWriter,
    selector: WriterSelector,
    forwarded: BTreeMap<BatchId, ForwardedBatch>,
    remote_batches: BTreeMap<(MemberId, BatchId), RemoteBatch>,
    last_batch: u64,
}

/// A batch that was forwarded to another gateway and is not answered yet.
#[derive(Debug)]
struct ForwardedBatch {
    to: MemberId,
    ops: Vec<PendingOp>,
    timeout: MonoTime,
}

/// The time for which a gateway that failed to write gets no further changes.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// Failed attempts to get a change written after which a waiting request gets `Unavailable`.
const MAX_WRITE_FAILURES: u8 = 2;
/// The largest number of other gateways' batches that wait for their verdicts at the same time.
const MAX_REMOTE_BATCHES: usize = 16_384;

impl ClaimRouter {
    /// Returns a router without any shard in memory.
    pub fn new(cfg: ClaimSettings) -> Self {
        let mut selector = WriterSelector::default();
        selector.set_members(vec![cfg.member]);
        Self {
            writer: ClaimWriter::new(cfg.id_base),
            selector,
            forwarded: BTreeMap::new(),
            remote_batches: BTreeMap::new(),
            last_batch: cfg.id_base,
            cfg,
        }
    }

    /// Returns the configuration, to be changed by a new settings version.
    pub fn settings_mut(&mut self) -> &mut ClaimSettings {
        &mut self.cfg
    }

    /// Replaces the set of live gateways; this gateway is always added.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = MemberId>) {
        let mut members: Vec<MemberId> = peers.into_iter().collect();
        if !members.contains(&self.cfg.member) {
            members.push(self.cfg.member);
        }
        self.selector.set_members(members);
    }

    /// Returns whether no change waits to be written.
    pub fn is_idle(&self) -> bool {
        self.writer.is_idle() && self.forwarded.is_empty()
    }

    /// Writes all changes without delay from now on, because the process is about to stop.
    pub fn flush(&mut self) {
        self.writer.flush();
    }

    /// Returns the shard of a key.
    pub fn shard_of(&self, key: ClaimKey) -> ShardId {
        key.shard(self.cfg.shards)
    }

    /// Submits a change on behalf of a request of this gateway.
    pub fn submit(&mut self, now: MonoTime, op: ClaimOp, out: &mut Vec<ClaimAction>) {
        let shard = self.shard_of(op.key);
        self.route(
            now,
            shard,
            vec![PendingOp::new(op, Origin::Local, now)],
            out,
        );
        self.start_due_calls(now, out);
    }

    /// Handles a batch that another gateway forwarded.
    pub fn on_forwarded(
        &mut self,
        now: MonoTime,
        from: MemberId,
        batch: BatchId,
        shard: ShardId,
        ops: Vec<ClaimOp>,
        out: &mut Vec<ClaimAction>,
    ) {
        let unavailable = self.cfg.fail_fast && self.writer.is_platform_down(now);
        if ops.is_empty() || unavailable || self.remote_batches.len() >= MAX_REMOTE_BATCHES {
            out.push(ClaimAction::Reply {
                to: from,
                batch,
                verdicts: vec![ClaimVerdict::Unavailable; ops.len()],
            });
            return;
        }
        self.remote_batches
            .insert((from, batch), RemoteBatch::new(ops.len()));
        for (index, op) in ops.into_iter().enumerate() {
            let origin = Origin::Remote { from, batch, index };
            self.writer.submit(shard, PendingOp::new(op, origin, now));
        }
        self.start_due_calls(now, out);
    }

    /// Handles the answer to a forwarded batch; `verdicts` is `None` if the call failed.
    pub fn on_answered(
        &mut self,
        now: MonoTime,
        batch: BatchId,
        verdicts: Option<Vec<ClaimVerdict>>,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(forward) = self.forwarded.remove(&batch) else {
            return;
        };
        let verdicts = verdicts
            .filter(|v| v.len() == forward.ops.len())
            .unwrap_or_else(|| vec![ClaimVerdict::Unavailable; forward.ops.len()]);
        let verdicts = forward.ops.into_iter().zip(verdicts).collect();
        self.handle_verdicts(now, forward.to, verdicts, out);
        self.start_due_calls(now, out);
    }

    /// Handles the result of a read.
    pub fn on_read(
        &mut self,
        now: MonoTime,
        call_id: StoreCallId,
        shard: ShardId,
        result: ReadResult,
        out: &mut Vec<ClaimAction>,
    ) {
        let verdicts = self.writer.on_read(now, call_id, shard, result, out);
        self.handle_verdicts(now, self.cfg.member, verdicts, out);
        self.start_due_calls(now, out);
    }

    /// Handles the result of a write.
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
        self.handle_verdicts(now, self.cfg.member, verdicts, out);
        self.start_due_calls(now, out);
    }

    /// Ends forwarded batches that timed out and starts the calls that are due.
    pub fn on_tick(&mut self, now: MonoTime, out: &mut Vec<ClaimAction>) {
        let timed_out: Vec<BatchId> = self
            .forwarded
            .iter()
            .filter(|(_, f)| f.timeout <= now)
            .map(|(batch, _)| *batch)
            .collect();
        for batch in timed_out {
            self.on_answered(now, batch, None, out);
        }
        self.start_due_calls(now, out);
    }

    /// Returns the next time at which `on_tick` is needed.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let forwarded = self.forwarded.values().map(|f| f.timeout).min();
        forwarded
            .into_iter()
            .chain(self.writer.next_deadline())
            .min()
    }

    /// Gives changes of this gateway to the writer of their shard, which may be this gateway.
    fn route(
        &mut self,
        now: MonoTime,
        shard: ShardId,
        ops: Vec<PendingOp>,
        out: &mut Vec<ClaimAction>,
    ) {
        if self.writer.is_platform_down(now) {
            self.selector.avoid(self.cfg.member, now + AVOID_TIME);
        }
        match self.selector.choose(now, shard) {
            Some(to) if to != self.cfg.member => self.forward(now, to, shard, ops, out),
            Some(_) => ops.into_iter().for_each(|op| self.writer.submit(shard, op)),
            None => self.queue_or_fail(shard, ops, out),
        }
    }

    /// Handles changes that no gateway can write now: those that a request waits for fail at once
    /// if `fail_fast` is on, all others are queued.
    fn queue_or_fail(&mut self, shard: ShardId, ops: Vec<PendingOp>, out: &mut Vec<ClaimAction>) {
        for pending in ops {
            if pending.is_awaited() && self.cfg.fail_fast {
                self.report_verdict((pending, ClaimVerdict::Unavailable), out);
            } else {
                self.writer.submit(shard, pending);
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
            claims: ops.iter().map(|p| with_remaining_time(now, p)).collect(),
        });
        let awaited = ops.iter().any(PendingOp::is_awaited);
        // The writer delays a completion so that it can share the write of a claim.
        let timeout = self.cfg.store_timeout * if awaited { 2 } else { 10 };
        self.forwarded.insert(
            batch,
            ForwardedBatch {
                to,
                ops,
                timeout: now + timeout,
            },
        );
    }

    fn start_due_calls(&mut self, now: MonoTime, out: &mut Vec<ClaimAction>) {
        let verdicts = self.writer.start_due_calls(now, &self.cfg, out);
        self.handle_verdicts(now, self.cfg.member, verdicts, out);
    }

    /// Reports verdicts, and routes changes to another gateway if `writer` could not reach the
    /// platform.
    fn handle_verdicts(
        &mut self,
        now: MonoTime,
        writer: MemberId,
        verdicts: Vec<DecidedOp>,
        out: &mut Vec<ClaimAction>,
    ) {
        for (mut pending, verdict) in verdicts {
            let unavailable = verdict == ClaimVerdict::Unavailable && !pending.is_expired(now);
            if pending.origin != Origin::Local || !unavailable {
                self.report_verdict((pending, verdict), out);
                continue;
            }
            self.selector.avoid(writer, now + AVOID_TIME);
            pending.failures += 1;
            if pending.is_awaited() && pending.failures >= MAX_WRITE_FAILURES {
                self.report_verdict((pending, verdict), out);
                continue;
            }
            // Changes are idempotent, so the change may be repeated even if it has taken effect.
            let shard = self.shard_of(pending.op.key);
            self.route(now, shard, vec![pending], out);
        }
    }

    fn report_verdict(&mut self, (pending, verdict): DecidedOp, out: &mut Vec<ClaimAction>) {
        match pending.origin {
            Origin::Local if pending.is_awaited() => out.push(ClaimAction::Decided {
                token: pending.op.token,
                is_start: matches!(pending.op.change, ClaimChange::Start { .. }),
                verdict,
            }),
            Origin::Local => {}
            Origin::Remote { from, batch, index } => {
                let Some(remote) = self.remote_batches.get_mut(&(from, batch)) else {
                    return;
                };
                if let Some(verdicts) = remote.record(index, verdict) {
                    self.remote_batches.remove(&(from, batch));
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

/// Returns the change with the remaining time at `now`.
fn with_remaining_time(now: MonoTime, pending: &PendingOp) -> ClaimOp {
    let mut op = pending.op.clone();
    let left = pending.deadline.map(|d| d.since(now)).unwrap_or_default();
    match &mut op.change {
        ClaimChange::Take { remaining } | ClaimChange::Start { remaining } => *remaining = left,
        ClaimChange::Complete { .. } | ClaimChange::Release => {}
    }
    op
}
