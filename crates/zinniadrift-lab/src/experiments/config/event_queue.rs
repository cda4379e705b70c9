use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bytes::Bytes;

use zinniadrift_core::distribution::PlatformFailure;
use zinniadrift_core::units::{MonoTime, Version};

/// The result of a watch call: the revision and document, or `None` if there is no newer revision.
pub(super) type WatchResult = Result<Option<(u64, Bytes)>, PlatformFailure>;

/// An event of the simulation. Daemons are given by their index.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// The operator submits an edit.
    SubmitEdit,
    /// A fault begins.
    InjectFault,
    /// The operator repairs a store that was reset to an older state.
    Recover,
    /// An update becomes visible to a daemon's watch.
    UpdateVisible { daemon: usize },
    /// The wait time of a watch call ends.
    WaitEnds { daemon: usize, call: u64 },
    /// The answer to a call of the platform arrives.
    CallAnswered {
        daemon: usize,
        call: u64,
        answer: WatchResult,
    },
    /// A daemon's status write completes or fails.
    StatusWritten {
        daemon: usize,
        incarnation: u32,
        ok: bool,
    },
    /// A notice or heartbeat of `from` arrives at a daemon.
    PeerVersion {
        daemon: usize,
        from: usize,
        version: Version,
    },
    /// A daemon's pull request arrives at its peer `from`.
    PullArrives {
        daemon: usize,
        incarnation: u32,
        from: usize,
    },
    /// The answer to a daemon's pull request arrives.
    PullAnswered {
        daemon: usize,
        incarnation: u32,
        from: usize,
        document: Option<Bytes>,
    },
    /// A daemon sends its heartbeats.
    Heartbeat { daemon: usize, incarnation: u32 },
    /// A daemon's next deadline is due.
    Tick { daemon: usize, incarnation: u32 },
    /// A daemon starts.
    Start { daemon: usize },
}

/// A queue of events ordered by time; events with equal times keep their insertion order.
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
