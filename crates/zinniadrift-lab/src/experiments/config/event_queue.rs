use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bytes::Bytes;

use zinniadrift_core::distribution::PlatformFailure;
use zinniadrift_core::units::{MonoTime, Version};

/// Is the answer to a watch call: revision and document, or nothing new.
pub(super) type WatchResult = Result<Option<(u64, Bytes)>, PlatformFailure>;

/// Is something that happens in a simulation.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The operator submits the next edit.
    SubmitEdit,
    /// The next fault begins.
    InjectFault,
    /// The operator replaces a store that went back to an older state.
    Recover,
    /// An update becomes visible to a daemon's watch.
    UpdateVisible { daemon: usize },
    /// A watch call's wait ends.
    WaitEnds { daemon: usize, call: u64 },
    /// The answer to a call arrives.
    CallAnswered {
        daemon: usize,
        call: u64,
        answer: WatchResult,
    },
    /// A daemon's status write ends.
    StatusWritten {
        daemon: usize,
        incarnation: u32,
        ok: bool,
    },
    /// A notice or a heartbeat arrives.
    PeerVersion {
        daemon: usize,
        from: usize,
        version: Version,
    },
    /// A pull request arrives at `from`.
    PullArrives {
        daemon: usize,
        incarnation: u32,
        from: usize,
    },
    /// The answer to a pull arrives.
    PullAnswered {
        daemon: usize,
        incarnation: u32,
        from: usize,
        document: Option<Bytes>,
    },
    /// A daemon sends its heartbeats.
    Heartbeat { daemon: usize, incarnation: u32 },
    /// A daemon's deadline has come.
    Tick { daemon: usize, incarnation: u32 },
    /// A daemon starts again.
    Start { daemon: usize },
}

/// Orders happenings by time; those of the same time keep their order of arrival.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    order: BinaryHeap<Reverse<(MonoTime, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    next_id: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: MonoTime, event: Event) {
        self.order.push(Reverse((at, self.next_id)));
        self.events.insert(self.next_id, event);
        self.next_id += 1;
    }

    pub(super) fn pop(&mut self) -> Option<(MonoTime, Event)> {
        let Reverse((at, id)) = self.order.pop()?;
        let event = self.events.remove(&id)?;
        Some((at, event))
    }
}
