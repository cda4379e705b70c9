use super::CallerOutcome;

/// An entry of a recorded history of requests and runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HistoryEntry {
    /// The operation's number, which its start and its end share.
    pub operation: usize,
    /// The index of the job.
    pub job: usize,
    /// The kind of the entry.
    pub kind: EntryKind,
}

/// The kinds of history entries; the number is the index of the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryKind {
    /// A request arrived at a gateway.
    RequestStarted(usize),
    /// The request's caller observed the outcome.
    RequestEnded(usize, CallerOutcome),
    /// A target started a run for the request.
    RunStarted(usize),
    /// The run ended at the target.
    RunEnded(usize),
}

/// A history of requests and runs, which a linearizability checker can verify.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The entries in chronological order.
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
