use zinniadrift_core::gateway::Outcome;
use zinniadrift_core::units::MonoTime;

use super::history::{EntryKind, History};
use super::{CallerOutcome, Job, Request, UnknownCause};

/// Holds what callers asked and were told.
#[derive(Debug, Default)]
pub struct Callers {
    /// The pieces of work.
    pub jobs: Vec<Job>,
    /// The requests for them.
    pub requests: Vec<Request>,
    /// The runs of each piece of work.
    pub runs: Vec<u32>,
    /// The history for the linearizability check.
    pub history: History,
    operations: Vec<Option<usize>>,
}

impl Callers {
    /// Returns callers with the given work and no requests.
    pub(super) fn new(jobs: Vec<Job>) -> Self {
        Self {
            runs: vec![0; jobs.len()],
            jobs,
            ..Self::default()
        }
    }

    /// Returns the complete response to a piece of work.
    pub(super) fn body(job: usize) -> String {
        format!("result of work {job}")
    }

    /// Adds a request that reaches `gateway` at `arrived`.
    pub(super) fn add(&mut self, job: usize, gateway: usize, at: MonoTime, retry: u32) -> usize {
        self.requests.push(Request {
            job,
            gateway,
            arrived_at: at,
            retry,
            ended_at: None,
            outcome: None,
            answers: 0,
            cause: None,
            runs: 0,
        });
        self.operations.push(None);
        self.requests.len() - 1
    }

    /// Records that a request reached its gateway.
    pub(super) fn record_arrival(&mut self, request: usize) {
        let job = self.requests[request].job;
        self.operations[request] =
            Some(self.history.start(job, EntryKind::RequestStarted(request)));
    }

    /// Records that a target started the work for a request, and returns the operation.
    pub(super) fn record_run_start(&mut self, request: usize) -> usize {
        let job = self.requests[request].job;
        self.requests[request].runs += 1;
        self.runs[job] += 1;
        self.history.start(job, EntryKind::RunStarted(request))
    }

    /// Records that a target ended the work.
    pub(super) fn record_run_end(&mut self, operation: usize, request: usize) {
        let job = self.requests[request].job;
        self.history
            .end(operation, job, EntryKind::RunEnded(request));
    }

    /// Records what a caller learnt; returns false if it had stopped waiting.
    pub(super) fn record_outcome(
        &mut self,
        request: usize,
        now: MonoTime,
        outcome: CallerOutcome,
    ) -> bool {
        let r = &mut self.requests[request];
        if r.outcome.is_some() {
            return false;
        }
        r.outcome = Some(outcome);
        r.ended_at = Some(now);
        if let (CallerOutcome::Unknown(kind), None) = (outcome, r.cause) {
            r.cause = Some(match kind {
                zinniadrift_core::error::ErrorKind::DuplicateRequest => UnknownCause::Duplicate,
                _ => UnknownCause::Deadline,
            });
        }
        let job = r.job;
        if let Some(operation) = self.operations[request] {
            let kind = EntryKind::RequestEnded(request, outcome);
            self.history.end(operation, job, kind);
        }
        true
    }

    /// Judges an answer from the caller's point of view.
    pub(super) fn classify_answer(&self, request: usize, answer: &Outcome) -> CallerOutcome {
        match answer {
            Outcome::Done { body, .. } => {
                if **body == *Self::body(self.requests[request].job).as_bytes() {
                    CallerOutcome::Done
                } else {
                    CallerOutcome::WrongResponse
                }
            }
            Outcome::NotRun {
                kind,
                retry_after_ms,
            } => CallerOutcome::NotRun(*kind, *retry_after_ms),
            Outcome::Unknown { kind } => CallerOutcome::Unknown(*kind),
        }
    }
}
