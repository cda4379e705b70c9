use zinniadrift_core::gateway::Outcome;
use zinniadrift_core::units::MonoTime;

use super::history::{EntryKind, History};
use super::{Ask, Cause, Ending, Work};

/// Holds what callers asked and were told.
#[derive(Debug, Default)]
pub struct Callers {
    /// The pieces of work.
    pub work: Vec<Work>,
    /// The requests for them.
    pub asks: Vec<Ask>,
    /// The runs of each piece of work.
    pub runs: Vec<u32>,
    /// The history for the linearizability check.
    pub history: History,
    operations: Vec<Option<usize>>,
}

impl Callers {
    /// Returns callers with the given work and no requests.
    pub(super) fn new(work: Vec<Work>) -> Self {
        Self {
            runs: vec![0; work.len()],
            work,
            ..Self::default()
        }
    }

    /// Returns the complete response to a piece of work.
    pub(super) fn body(work: usize) -> String {
        format!("result of work {work}")
    }

    /// Adds a request that reaches `gateway` at `arrived`.
    pub(super) fn add(&mut self, work: usize, gateway: usize, at: MonoTime, earlier: u32) -> usize {
        self.asks.push(Ask {
            work,
            gateway,
            arrived: at,
            earlier,
            ended: None,
            ending: None,
            answers: 0,
            cause: None,
            runs: 0,
        });
        self.operations.push(None);
        self.asks.len() - 1
    }

    /// Records that a request reached its gateway.
    pub(super) fn called(&mut self, ask: usize) {
        let work = self.asks[ask].work;
        self.operations[ask] = Some(self.history.call(work, EntryKind::AskCalled(ask)));
    }

    /// Records that a target started the work for a request, and returns the operation.
    pub(super) fn ran(&mut self, ask: usize) -> usize {
        let work = self.asks[ask].work;
        self.asks[ask].runs += 1;
        self.runs[work] += 1;
        self.history.call(work, EntryKind::RunCalled(ask))
    }

    /// Records that a target ended the work.
    pub(super) fn run_ended(&mut self, operation: usize, ask: usize) {
        let work = self.asks[ask].work;
        self.history.end(operation, work, EntryKind::RunEnded(ask));
    }

    /// Records what a caller learnt; returns false if it had stopped waiting.
    pub(super) fn end(&mut self, ask: usize, now: MonoTime, ending: Ending) -> bool {
        let a = &mut self.asks[ask];
        if a.ending.is_some() {
            return false;
        }
        a.ending = Some(ending);
        a.ended = Some(now);
        if let (Ending::Unknown(kind), None) = (ending, a.cause) {
            a.cause = Some(match kind {
                zinniadrift_core::error::ErrorKind::DuplicateRequest => Cause::Duplicate,
                _ => Cause::Deadline,
            });
        }
        let work = a.work;
        if let Some(operation) = self.operations[ask] {
            let kind = EntryKind::AskEnded(ask, ending);
            self.history.end(operation, work, kind);
        }
        true
    }

    /// Judges an answer from the caller's point of view.
    pub(super) fn judge(&self, ask: usize, outcome: &Outcome) -> Ending {
        match outcome {
            Outcome::Done { body, .. } => {
                if **body == *Self::body(self.asks[ask].work).as_bytes() {
                    Ending::Done
                } else {
                    Ending::WrongResponse
                }
            }
            Outcome::NotRun {
                kind,
                retry_after_ms,
            } => Ending::NotRun(*kind, *retry_after_ms),
            Outcome::Unknown { kind } => Ending::Unknown(*kind),
        }
    }
}
