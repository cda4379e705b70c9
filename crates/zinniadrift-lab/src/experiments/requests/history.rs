use super::CallerOutcome;

/// Is one entry of a recorded history of asks and runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HistoryEntry {
    /// The operation; all entries of an operation have the same number.
    pub operation: usize,
    /// The work concerned.
    pub job: usize,
    /// What happened.
    pub kind: EntryKind,
}

/// Lists the entries of a history.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryKind {
    /// A request for the work reached a gateway; the number names the request.
    RequestStarted(usize),
    /// The request's caller learnt the outcome.
    RequestEnded(usize, CallerOutcome),
    /// A target started the work for a request.
    RunStarted(usize),
    /// The target ended the work.
    RunEnded(usize),
}

/// Records what callers asked and were told, and what targets ran.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The entries in order of time.
    pub entries: Vec<HistoryEntry>,
    operations: usize,
}

impl History {
    /// Records the start of an operation and returns its number.
    pub(super) fn start(&mut self, job: usize, kind: EntryKind) -> usize {
        let operation = self.operations;
        self.operations += 1;
        self.push(operation, job, kind);
        operation
    }

    /// Records the end of an operation.
    pub(super) fn end(&mut self, operation: usize, job: usize, kind: EntryKind) {
        self.push(operation, job, kind);
    }

    fn push(&mut self, operation: usize, job: usize, kind: EntryKind) {
        self.entries.push(HistoryEntry {
            operation,
            job,
            kind,
        });
    }
}
