use std::collections::HashMap;
use std::time::Duration;

use zinniadrift_core::ids::{TargetId, ZoneName};
use zinniadrift_core::units::MonoTime;

/// A fake target that runs work in a fixed number of slots. `FakeTargets` sheds work when all slots
/// are busy.
#[derive(Debug)]
pub struct FakeTarget {
    /// The target's id in the settings.
    pub id: TargetId,
    /// The availability zone.
    pub zone: ZoneName,
    /// The number of runs that the target executes concurrently.
    pub slots: usize,
    /// The start time; a target runs work more slowly soon after its start.
    pub started: MonoTime,
    /// Whether the target refuses new work.
    pub draining: bool,
    running: HashMap<u64, MonoTime>,
    busy_time: Duration,
    updated: MonoTime,
}

/// The time after its start during which a target is cold.
const COLD_TIME: Duration = Duration::from_secs(10);
/// The factor by which the service time is longer on a target that has just started. It falls
/// linearly to 1 over `COLD_TIME`.
const COLD_FACTOR: f64 = 3.0;

impl FakeTarget {
    /// Creates an idle target.
    pub fn new(id: TargetId, zone: ZoneName, slots: usize, started: MonoTime) -> Self {
        Self {
            id,
            zone,
            slots,
            started,
            draining: false,
            running: HashMap::new(),
            busy_time: Duration::ZERO,
            updated: started,
        }
    }

    /// Returns whether a slot is free.
    pub fn has_slot(&self) -> bool {
        self.running.len() < self.slots
    }

    /// Returns the number of busy slots.
    pub fn busy(&self) -> usize {
        self.running.len()
    }

    /// Starts a run and returns the time at which it ends.
    pub fn start(&mut self, now: MonoTime, run: u64, service_time: Duration) -> MonoTime {
        self.account(now);
        self.running.insert(run, now);
        let age = now.since(self.started);
        let cold = 1.0 - (age.as_secs_f64() / COLD_TIME.as_secs_f64()).min(1.0);
        let is_first = self.started == MonoTime::default();
        let factor = if is_first {
            1.0
        } else {
            1.0 + (COLD_FACTOR - 1.0) * cold
        };
        now + service_time.mul_f64(factor)
    }

    /// Ends a run; returns false if it had ended before.
    pub fn end(&mut self, now: MonoTime, run: u64) -> bool {
        self.account(now);
        self.running.remove(&run).is_some()
    }

    /// Returns the busy time summed over all slots since the last call, and resets it.
    pub fn take_busy_time(&mut self, now: MonoTime) -> Duration {
        self.account(now);
        std::mem::take(&mut self.busy_time)
    }

    fn account(&mut self, now: MonoTime) {
        let busy = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        self.busy_time += now.since(self.updated) * busy;
        self.updated = now;
    }
}
