use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use crate::units::{HybridTime, MonoTime};

/// The resolution of the last-seen time; a 32-bit count of this unit covers 13 years.
const LAST_SEEN_RESOLUTION: Duration = Duration::from_millis(100);

const PINNED: u8 = 1;
const PENDING: u8 = 2;
const CLOSING: u8 = 4;
const HANDED_OVER: u8 = 8;

/// The state of one flow, in 24 bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FlowEntry {
    pin_time: HybridTime,
    ip: u32,
    last_seen: u32,
    port: u16,
    target: u16,
    flags: u8,
}

impl FlowEntry {
    /// Returns an entry for a flow that follows the base table.
    pub(crate) fn new(caller: SocketAddrV4, target: u16, now: MonoTime) -> Self {
        Self {
            pin_time: HybridTime::default(),
            ip: caller.ip().to_bits(),
            last_seen: last_seen_units(now),
            port: caller.port(),
            target,
            flags: 0,
        }
    }

    /// Returns the caller's address.
    pub(crate) fn caller(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(self.ip), self.port)
    }

    /// Returns whether the entry belongs to `caller`.
    pub(crate) fn belongs_to(&self, caller: &SocketAddrV4) -> bool {
        self.ip == caller.ip().to_bits() && self.port == caller.port()
    }

    /// Returns the index of the target within its service.
    pub(crate) fn target(&self) -> u16 {
        self.target
    }

    /// Returns the time of the pin, or zero if the flow is not pinned.
    pub(crate) fn pin_time(&self) -> HybridTime {
        self.pin_time
    }

    /// Returns whether the assignment was published as a pin.
    pub(crate) fn is_pinned(&self) -> bool {
        self.flags & PINNED != 0
    }

    /// Returns whether packets are held until the assignment is published.
    pub(crate) fn is_pending(&self) -> bool {
        self.flags & PENDING != 0
    }

    /// Returns whether the flow ended.
    pub(crate) fn is_closing(&self) -> bool {
        self.flags & CLOSING != 0
    }

    /// Returns whether a leaving member has handed the flow over.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.flags & HANDED_OVER != 0
    }

    /// Records that a leaving member has handed the flow over.
    pub(crate) fn set_handed_over(&mut self) {
        self.flags |= HANDED_OVER;
    }

    /// Pins the flow to `target` as published at `time`.
    pub(crate) fn pin(&mut self, target: u16, time: HybridTime) {
        self.target = target;
        self.pin_time = time;
        self.flags |= PINNED;
    }

    /// Removes the pin, because the base table now yields the same target.
    pub(crate) fn unpin(&mut self) {
        self.flags &= !PINNED;
        self.pin_time = HybridTime::default();
    }

    /// Sets whether packets are held until the assignment is published.
    pub(crate) fn set_pending(&mut self, pending: bool) {
        self.set_flag(PENDING, pending);
    }

    /// Sets whether the flow ended.
    pub(crate) fn set_closing(&mut self, closing: bool) {
        self.set_flag(CLOSING, closing);
    }

    /// Sets the last-seen time, on a packet or a publication of the flow.
    pub(crate) fn touch(&mut self, now: MonoTime) {
        self.last_seen = last_seen_units(now);
    }

    /// Returns the time since the flow was last seen, at a resolution of 100 ms.
    pub(crate) fn idle_time(&self, now: MonoTime) -> Duration {
        LAST_SEEN_RESOLUTION * last_seen_units(now).saturating_sub(self.last_seen)
    }

    /// Returns whether the entry was last seen before `other`.
    pub(crate) fn is_older_than(&self, other: &Self) -> bool {
        self.last_seen < other.last_seen
    }

    fn set_flag(&mut self, flag: u8, on: bool) {
        if on {
            self.flags |= flag;
        } else {
            self.flags &= !flag;
        }
    }
}

fn last_seen_units(now: MonoTime) -> u32 {
    (now.as_micros() / LAST_SEEN_RESOLUTION.as_micros() as u64) as u32
}
