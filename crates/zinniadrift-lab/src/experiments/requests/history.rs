use super::Ending;

/// Is one entry of a recorded history of asks and runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HistoryEntry {
    /// The operation; all entries of an operation have the same number.
    pub operation: usize,
    /// The work concerned.
    pub work: usize,
    /// What happened.
    pub kind: EntryKind,
}

/// Lists the entries of a history.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryKind {
    /// A request for the work reached a gateway; the number names the request.
    AskCalled(usize),
    /// The request's caller learnt the outcome.
    AskEnded(usize, Ending),
    /// A target started the work for a request.
    RunCalled(usize),
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
    pub(super) fn call(&mut self, work: usize, kind: EntryKind) -> usize {
        let operation = self.operations;
        self.operations += 1;
        self.push(operation, work, kind);
        operation
    }

    /// Records the end of an operation.
    pub(super) fn end(&mut self, operation: usize, work: usize, kind: EntryKind) {
        self.push(operation, work, kind);
    }

    fn push(&mut self, operation: usize, work: usize, kind: EntryKind) {
        self.entries.push(HistoryEntry {
            operation,
            work,
            kind,
        });
    }
}
