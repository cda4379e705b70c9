use zinniadrift_core::gateway::Outcome;
use zinniadrift_core::units::MonoTime;

use super::history::{EntryKind, History};
use super::{CallerOutcome, Job, Request, UnknownCause};

/// The callers' jobs and requests, and the outcomes that the callers observed.
#[derive(Debug, Default)]
pub struct Callers {
    /// The jobs.
    pub jobs: Vec<Job>,
    /// The requests for the jobs.
    pub requests: Vec<Request>,
    /// The number of runs of each job.
    pub runs: Vec<u32>,
    /// The history for the linearizability check.
    pub history: History,
    operations: Vec<Option<usize>>,
}

impl Callers {
    /// Creates callers with the given jobs and no requests.
    pub(super) fn new(jobs: Vec<Job>) -> Self {
        Self {
            runs: vec![0; jobs.len()],
            jobs,
            ..Self::default()
        }
    }

    /// Returns the body of the complete response to a job.
    pub(super) fn body(job: usize) -> String {
        format!("result of work {job}")
    }

    /// Adds a request that arrives at `gateway` at time `at`, and returns its index.
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

    /// Records that a request arrived at its gateway.
    pub(super) fn record_arrival(&mut self, request: usize) {
        let job = self.requests[request].job;
        self.operations[request] =
            Some(self.history.start(job, EntryKind::RequestStarted(request)));
    }

    /// Records that a target started a run for a request, and returns the operation's number.
    pub(super) fn record_run_start(&mut self, request: usize) -> usize {
        let job = self.requests[request].job;
        self.requests[request].runs += 1;
        self.runs[job] += 1;
        self.history.start(job, EntryKind::RunStarted(request))
    }

    /// Records that a run ended at its target.
    pub(super) fn record_run_end(&mut self, operation: usize, request: usize) {
        let job = self.requests[request].job;
        self.history
            .end(operation, job, EntryKind::RunEnded(request));
    }

    /// Records the outcome that a caller observed; returns false if the request had ended before.
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

    /// Returns the outcome that a gateway's answer is for the caller.
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
