use hashbrown::HashMap;

use super::cx::{Cx, not_run};
use super::request::{Request, Stage};
use super::request_table::{Attempt, RequestTable};
use super::{
    AttemptId, AttemptResult, GatewayAction, HedgeStop, Outcome, Pools, RequestId, TimelineEvent,
};
use crate::claim::{ClaimChange, ClaimToken, ClaimVerdict, StoredAnswer};
use crate::error::ErrorKind;
use crate::ids::{ServiceId, TargetId};
use crate::units::MonoTime;

mod hedges;

/// The dispatcher of requests, which takes each request through claim, queue and attempts to its
/// answer.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    table: RequestTable,
    pools: Pools,
    /// Ended attempts with their requests; filled only while `Mechanisms::attempt_matching` is off.
    ended_attempts: HashMap<AttemptId, RequestId>,
}

/// The number of failed attempts after which a request is not retried even if the retry budget
/// allows it.
const MAX_FAILURES: usize = 3;

impl Dispatcher {
    /// Returns a dispatcher without settings, whose attempt ids start after `base`.
    pub(crate) fn new(base: u64) -> Self {
        Self {
            table: RequestTable::new(base),
            pools: Pools::default(),
            ended_attempts: HashMap::new(),
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.table.is_empty()
    }

    /// Returns the state of the services.
    pub(crate) fn pools_mut(&mut self) -> &mut Pools {
        &mut self.pools
    }

    pub(crate) fn on_arrived(&mut self, cx: &mut Cx<'_>, id: RequestId, req: Request) {
        let refusal = match self.pools.get_mut(req.service) {
            None => Some(ErrorKind::NotFound),
            Some(_) if cx.mechanisms.deadline_check && req.deadline <= cx.now => {
                Some(ErrorKind::DeadlineBeforeStart)
            }
            Some(pool) if !pool.targets.has_active() => Some(ErrorKind::NoTarget),
            Some(pool) => {
                pool.retry_budget
                    .deposit(pool.policies.requests.retry_budget);
                if let Some(hedging) = &mut pool.hedging {
                    hedging.record_request(cx.now);
                }
                None
            }
        };
        if let Some(kind) = refusal {
            return cx.answer(id, not_run(kind));
        }
        let claim = req.claim;
        let remaining = req.deadline.since(cx.now);
        self.table.insert(id, req);
        match claim {
            Some(claim) => cx.submit_claim_change(claim, ClaimChange::Take { remaining }),
            None => self.send_or_enqueue(cx, id),
        }
    }

    pub(crate) fn on_claim(
        &mut self,
        cx: &mut Cx<'_>,
        token: ClaimToken,
        is_start: bool,
        verdict: ClaimVerdict,
    ) {
        let Some(id) = self.table.request_of(token) else {
            return;
        };
        let Some(req) = self
            .table
            .get_mut(id)
            .filter(|r| r.stage == Stage::Claiming)
        else {
            return;
        };
        let late = cx.mechanisms.deadline_check && req.deadline <= cx.now;
        match verdict {
            ClaimVerdict::Granted if late => self.give_up(cx, id, ErrorKind::DeadlineBeforeStart),
            ClaimVerdict::Granted if cx.mechanisms.start_write && !is_start => {
                if let Some(claim) = req.claim {
                    let remaining = req.deadline.since(cx.now);
                    cx.submit_claim_change(claim, ClaimChange::Start { remaining });
                }
            }
            ClaimVerdict::Granted => {
                req.stage = Stage::Waiting;
                self.send_or_enqueue(cx, id);
            }
            // The claim was not marked as started, so this request did not send the work, and
            // another request now holds the claim.
            ClaimVerdict::Taken | ClaimVerdict::Answered(_) if is_start => {
                self.table.remove(id);
                cx.answer(id, not_run(ErrorKind::Conflict));
            }
            ClaimVerdict::Taken => {
                self.table.remove(id);
                let kind = ErrorKind::DuplicateRequest;
                cx.answer(id, Outcome::Unknown { kind });
            }
            ClaimVerdict::Answered(StoredAnswer { status, body }) => {
                self.table.remove(id);
                let body = String::from(body).into();
                cx.answer(id, Outcome::Done { status, body });
            }
            ClaimVerdict::Full => {
                self.table.remove(id);
                cx.answer(id, not_run(ErrorKind::Overloaded));
            }
            ClaimVerdict::Unavailable => self.give_up(cx, id, ErrorKind::PlatformUnavailable),
        }
    }

    pub(crate) fn on_finished(&mut self, cx: &mut Cx<'_>, id: AttemptId, result: AttemptResult) {
        let Some(attempt) = self.table.end_attempt(id) else {
            return self.on_late_result(cx, id, result);
        };
        if !cx.mechanisms.attempt_matching {
            self.ended_attempts.insert(id, attempt.req);
        }
        let Some(service) = self.table.get_mut(attempt.req).map(|r| r.service) else {
            return;
        };
        self.pools.record_result(cx, service, &attempt, &result);
        self.drop_candidate(attempt.req, id);
        match result {
            AttemptResult::Complete { echo, .. }
                if cx.mechanisms.attempt_matching && echo.is_some_and(|e| e != id) =>
            {
                cx.counters.mismatched_responses += 1;
                cx.out.push(GatewayAction::RetireConnection { attempt: id });
                self.on_ambiguous(cx, id, &attempt);
            }
            AttemptResult::Complete { status, body, .. } => {
                self.record_completion(cx, id, &attempt);
                self.finish(cx, attempt.req, status, body);
                self.serve_waiting(cx, service, attempt.target);
            }
            AttemptResult::Shed { .. } => self.on_shed(cx, id, attempt.req),
            AttemptResult::RefusedBeforeStart | AttemptResult::ConnectFailed => {
                self.retry(cx, id, &attempt, ErrorKind::NoTarget);
            }
            AttemptResult::Truncated if !cx.mechanisms.framing_check => {
                self.finish(cx, attempt.req, 200, bytes::Bytes::new());
            }
            AttemptResult::ConnectionLost => self.on_ambiguous(cx, id, &attempt),
            AttemptResult::Truncated | AttemptResult::NoProgress => {
                if cx.mechanisms.connection_retirement {
                    cx.out.push(GatewayAction::RetireConnection { attempt: id });
                }
                self.on_ambiguous(cx, id, &attempt);
            }
        }
    }

    pub(crate) fn on_cancelled(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(req) = self.remove_request(cx, id) else {
            return;
        };
        if let (Some(claim), false) = (req.claim, req.may_have_run) {
            cx.submit_claim_change(claim, ClaimChange::Release);
        }
    }

    pub(crate) fn on_tick(&mut self, cx: &mut Cx<'_>) {
        while let Some(id) = self.table.overdue(cx.now) {
            self.give_up(cx, id, ErrorKind::DeadlineBeforeStart);
        }
        for service in self.pools.services() {
            self.tick_pool(cx, service);
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let table = self.table.next_deadline();
        self.pools.next_deadline().into_iter().chain(table).min()
    }

    fn tick_pool(&mut self, cx: &mut Cx<'_>, service: ServiceId) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        while let Some(target) = pool.targets.restore_one(cx.now) {
            let event = TimelineEvent::TargetRestored(target);
            cx.out.push(GatewayAction::Timeline(event));
        }
        let overloaded = pool.queue.is_overloaded(cx.now);
        if overloaded != pool.overloaded {
            pool.overloaded = overloaded;
            cx.out.push(GatewayAction::Timeline(if overloaded {
                TimelineEvent::OverloadStarted(service)
            } else {
                TimelineEvent::OverloadEnded(service)
            }));
        }
        let mut shed = Vec::new();
        while let Some(id) = pool.queue.pop_expired(cx.now) {
            shed.push(id);
        }
        for id in shed {
            self.give_up(cx, id, ErrorKind::Overloaded);
        }
        self.probe(cx, service);
        self.send_hedges(cx, service);
    }

    /// Sends the next waiting request to a target that may have a free slot.
    fn probe(&mut self, cx: &mut Cx<'_>, service: ServiceId) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if !pool.try_start_probe(cx.now) {
            return;
        }
        let Some(target) = pool.targets.choose(cx.now, &[], &cx.mechanisms, cx.rng) else {
            return;
        };
        if let Some(id) = pool.queue.pop(cx.now) {
            self.send(cx, id, target);
        }
    }

    /// Sends a request that holds its claim or needs none, or queues it if no target can take it.
    fn send_or_enqueue(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(req) = self.table.get_mut(id) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(req.service) else {
            return self.give_up(cx, id, ErrorKind::NotFound);
        };
        let target = if pool.queue.is_empty() {
            pool.targets
                .choose(cx.now, &req.failed, &cx.mechanisms, cx.rng)
        } else {
            None
        };
        match target {
            Some(target) => self.send(cx, id, target),
            None => self.enqueue(cx, id),
        }
    }

    fn enqueue(&mut self, cx: &mut Cx<'_>, id: RequestId) {
        let Some(req) = self.table.get_mut(id) else {
            return;
        };
        req.stage = Stage::Waiting;
        let Some(pool) = self.pools.get_mut(req.service) else {
            return;
        };
        let capacity = pool.policies.requests.queue_capacity;
        pool.queue.push(cx.now, req.arrived, id);
        pool.stop_hedging(cx.now, HedgeStop::Congestion);
        if pool.queue.len() <= capacity {
            return;
        }
        if let Some(oldest) = pool.queue.pop_oldest() {
            self.give_up(cx, oldest, ErrorKind::Overloaded);
        }
    }

    fn send(&mut self, cx: &mut Cx<'_>, id: RequestId, target: TargetId) {
        let Some(req) = self.table.get_mut(id) else {
            return;
        };
        if cx.mechanisms.deadline_check && req.deadline <= cx.now {
            return self.give_up(cx, id, ErrorKind::DeadlineBeforeStart);
        }
        let service = req.service;
        let Some(attempt) = self.start_attempt(cx, id, service, target) else {
            return;
        };
        if let Some(req) = self.table.get_mut(id) {
            req.stage = Stage::Running(attempt);
        }
        self.add_candidate(cx, id, attempt);
    }

    /// Sends an attempt of a request to a target; returns `None` if the request is not known.
    fn start_attempt(
        &mut self,
        cx: &mut Cx<'_>,
        id: RequestId,
        service: ServiceId,
        target: TargetId,
    ) -> Option<AttemptId> {
        let deadline = self.table.get_mut(id)?.deadline;
        let attempt = self.table.start_attempt(Attempt {
            req: id,
            target,
            sent: cx.now,
        });
        if let Some(state) = self.pools.target(service, target) {
            state.in_flight += 1;
        }
        cx.counters.attempts += 1;
        cx.out.push(GatewayAction::Send {
            req: id,
            attempt,
            target,
            deadline,
        });
        Some(attempt)
    }

    fn on_shed(&mut self, cx: &mut Cx<'_>, attempt: AttemptId, id: RequestId) {
        if self.continue_with_other(id, attempt) {
            return;
        }
        if !cx.mechanisms.slot_limits {
            return self.give_up(cx, id, ErrorKind::Overloaded);
        }
        self.send_or_enqueue(cx, id);
    }

    /// Handles an attempt that ended without proof that the work was not run.
    fn on_ambiguous(&mut self, cx: &mut Cx<'_>, id: AttemptId, attempt: &Attempt) {
        let Some(req) = self.table.get_mut(attempt.req) else {
            return;
        };
        req.may_have_run = cx.mechanisms.proof_of_not_run;
        if req.idempotent {
            return self.retry(cx, id, attempt, ErrorKind::NoTarget);
        }
        self.give_up(cx, attempt.req, ErrorKind::NoTarget);
    }

    /// Retries a request after a failed attempt, on another target if possible. Gives up after
    /// [`MAX_FAILURES`] failures, or if the retry budget is used up. A request whose other attempt is
    /// in progress waits for that one.
    fn retry(&mut self, cx: &mut Cx<'_>, id: AttemptId, attempt: &Attempt, kind: ErrorKind) {
        let Some(req) = self.table.get_mut(attempt.req) else {
            return;
        };
        req.failed.push(attempt.target);
        if self.continue_with_other(attempt.req, id) {
            return;
        }
        let Some(req) = self.table.get_mut(attempt.req) else {
            return;
        };
        req.stage = Stage::Waiting;
        let may_retry = req.failed.len() < MAX_FAILURES;
        let pool = self.pools.get_mut(req.service);
        if may_retry && pool.is_some_and(|p| p.retry_budget.try_withdraw()) {
            cx.counters.retries += 1;
            self.send_or_enqueue(cx, attempt.req);
        } else {
            self.give_up(cx, attempt.req, kind);
        }
    }

    fn finish(&mut self, cx: &mut Cx<'_>, id: RequestId, status: u16, body: bytes::Bytes) {
        let Some(req) = self.table.remove(id) else {
            return;
        };
        self.cancel_loser(cx, &req);
        if let Some(claim) = req.claim {
            let answer = StoredAnswer::new(status, &body);
            cx.submit_claim_change(claim, ClaimChange::Complete { answer });
        }
        cx.answer(id, Outcome::Done { status, body });
    }

    /// Answers a request that will not be attempted again.
    fn give_up(&mut self, cx: &mut Cx<'_>, id: RequestId, kind: ErrorKind) {
        let Some(req) = self.remove_request(cx, id) else {
            return;
        };
        if req.may_have_run {
            let kind = ErrorKind::OutcomeUnknown;
            return cx.answer(id, Outcome::Unknown { kind });
        }
        if let Some(claim) = req.claim {
            cx.submit_claim_change(claim, ClaimChange::Release);
        }
        cx.answer(id, not_run(kind));
    }

    /// Removes a request and cancels its attempts in progress, which may have run.
    fn remove_request(&mut self, cx: &mut Cx<'_>, id: RequestId) -> Option<Request> {
        let mut req = self.table.remove(id)?;
        if let Some(pool) = self.pools.get_mut(req.service) {
            pool.queue.remove(id);
        }
        if let Some(candidate) = req.candidate
            && let Some(hedging) = self.hedging(req.service)
        {
            hedging.remove(candidate);
        }
        for attempt in req.attempts() {
            req.may_have_run |= self.cancel(cx, req.service, attempt).is_some();
        }
        Some(req)
    }

    /// Cancels an attempt and returns it; `None` if it has ended.
    fn cancel(&mut self, cx: &mut Cx<'_>, service: ServiceId, id: AttemptId) -> Option<Attempt> {
        let ended = self.table.end_attempt(id)?;
        self.pools.release_slot(service, ended.target);
        cx.out.push(GatewayAction::CancelAttempt { attempt: id });
        Some(ended)
    }

    /// Sends a waiting request to a target on which an attempt of this gateway just freed a slot.
    fn serve_waiting(&mut self, cx: &mut Cx<'_>, service: ServiceId, target: TargetId) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        let eligible = pool
            .targets
            .get_mut(target)
            .is_some_and(|s| s.is_eligible());
        if !eligible {
            return;
        }
        if let Some(id) = pool.queue.pop(cx.now) {
            self.send(cx, id, target);
        }
    }

    fn on_late_result(&mut self, cx: &mut Cx<'_>, id: AttemptId, result: AttemptResult) {
        cx.counters.late_results += 1;
        if let (Some(req), AttemptResult::Complete { status, body, .. }) =
            (self.ended_attempts.remove(&id), result)
        {
            cx.answer(req, Outcome::Done { status, body });
        }
    }
}
