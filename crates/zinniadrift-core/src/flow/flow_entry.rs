use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::units::{HybridTime, MonoTime};

/// The resolution of the time at which a flow was last seen; 32 bits of it last 13 years.
const SEEN_UNIT: Duration = Duration::from_millis(100);

const PINNED: u8 = 1;
const PENDING: u8 = 2;
const CLOSING: u8 = 4;
const HANDED_OVER: u8 = 8;

/// Remembers one flow in 24 bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowEntry {
    time: HybridTime,
    ip: u32,
    seen: u32,
    port: u16,
    target: u16,
    flags: u8,
}

impl FlowEntry {
    /// Returns an entry of a flow that follows the base table.
    pub(crate) fn new(caller: SocketAddrV4, target: u16, now: MonoTime) -> Self {
        Self {
            time: HybridTime::default(),
            ip: caller.ip().to_bits(),
            seen: seen(now),
            port: caller.port(),
            target,
            flags: 0,
        }
    }

    /// Returns the caller's address.
    pub(crate) fn caller(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(self.ip), self.port)
    }

    /// Tells whether the entry is of this caller.
    pub(crate) fn belongs_to(&self, caller: &SocketAddrV4) -> bool {
        self.ip == caller.ip().to_bits() && self.port == caller.port()
    }

    /// Returns the index of the target in its service.
    pub(crate) fn target(&self) -> u16 {
        self.target
    }

    /// Returns the time of the pin, or zero.
    pub(crate) fn pin_time(&self) -> HybridTime {
        self.time
    }

    /// Tells whether the assignment was published.
    pub(crate) fn is_pinned(&self) -> bool {
        self.flags & PINNED != 0
    }

    /// Tells whether packets wait for the publication.
    pub(crate) fn is_pending(&self) -> bool {
        self.flags & PENDING != 0
    }

    /// Tells whether the flow ended.
    pub(crate) fn is_closing(&self) -> bool {
        self.flags & CLOSING != 0
    }

    /// Tells whether a leaving member has passed the flow on.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.flags & HANDED_OVER != 0
    }

    /// Records that a leaving member has passed the flow on.
    pub(crate) fn set_handed_over(&mut self) {
        self.flags |= HANDED_OVER;
    }

    /// Assigns the flow to a target by a publication.
    pub(crate) fn pin(&mut self, target: u16, time: HybridTime) {
        self.target = target;
        self.time = time;
        self.flags |= PINNED;
    }

    /// Forgets that the assignment was published; the base table now reproduces it.
    pub(crate) fn unpin(&mut self) {
        self.flags &= !PINNED;
        self.time = HybridTime::default();
    }

    /// Sets whether packets wait for the publication.
    pub(crate) fn set_pending(&mut self, pending: bool) {
        self.set(PENDING, pending);
    }

    /// Sets whether the flow ended.
    pub(crate) fn set_closing(&mut self, closing: bool) {
        self.set(CLOSING, closing);
    }

    /// Records a packet or a publication of the flow.
    pub(crate) fn touch(&mut self, now: MonoTime) {
        self.seen = seen(now);
    }

    /// Returns the time since the flow was last seen.
    pub(crate) fn idle_time(&self, now: MonoTime) -> Duration {
        SEEN_UNIT * seen(now).saturating_sub(self.seen)
    }

    /// Tells whether the entry was last seen before `other`.
    pub(crate) fn is_older_than(&self, other: &Self) -> bool {
        self.seen < other.seen
    }

    fn set(&mut self, flag: u8, on: bool) {
        if on {
            self.flags |= flag;
        } else {
            self.flags &= !flag;
        }
    }
}

fn seen(now: MonoTime) -> u32 {
    (now.as_micros() / SEEN_UNIT.as_micros() as u64) as u32
}
