use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bytes::Bytes;

use zinniadrift_core::distribution::PlatformFailure;
use zinniadrift_core::units::{MonoTime, Version};

/// Is the answer to a watch call: revision and document, or nothing new.
pub(super) type WatchAnswer = Result<Option<(u64, Bytes)>, PlatformFailure>;

/// Is something that happens in a simulation.
#[derive(Clone, Debug)]
pub(super) enum Happening {
    /// The operator submits the next edit.
    Edit,
    /// The next fault begins.
    Fault,
    /// The operator replaces a store that went back to an older state.
    Recover,
    /// An update becomes visible to a daemon's watch.
    Visible { daemon: usize },
    /// A watch call's wait ends.
    WaitEnds { daemon: usize, call: u64 },
    /// The answer to a call arrives.
    Answer {
        daemon: usize,
        call: u64,
        answer: WatchAnswer,
    },
    /// A daemon's status write ends.
    StatusWritten { daemon: usize, run: u32, ok: bool },
    /// A notice or a heartbeat arrives.
    PeerVersion {
        daemon: usize,
        from: usize,
        version: Version,
    },
    /// A pull request arrives at `from`.
    PullArrives {
        daemon: usize,
        run: u32,
        from: usize,
    },
    /// The answer to a pull arrives.
    Pulled {
        daemon: usize,
        run: u32,
        from: usize,
        document: Option<Bytes>,
    },
    /// A daemon sends its heartbeats.
    Heartbeat { daemon: usize, run: u32 },
    /// A daemon's deadline has come.
    Tick { daemon: usize, run: u32 },
    /// A daemon starts again.
    Start { daemon: usize },
}

/// Orders happenings by time; those of the same time keep their order of arrival.
#[derive(Debug, Default)]
pub(super) struct Timeline {
    queue: BinaryHeap<Reverse<(MonoTime, u64)>>,
    happenings: std::collections::HashMap<u64, Happening>,
    next: u64,
}

impl Timeline {
    pub(super) fn push(&mut self, at: MonoTime, happening: Happening) {
        self.queue.push(Reverse((at, self.next)));
        self.happenings.insert(self.next, happening);
        self.next += 1;
    }

    pub(super) fn pop(&mut self) -> Option<(MonoTime, Happening)> {
        let Reverse((at, number)) = self.queue.pop()?;
        let happening = self.happenings.remove(&number)?;
        Some((at, happening))
    }
}
