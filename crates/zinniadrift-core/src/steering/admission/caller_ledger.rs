use std::net::Ipv4Addr;
use std::time::Duration;

use hashbrown::HashMap;

use crate::units::MonoTime;

/// The recent admissions and refusals of the callers of a route, by address.
///
/// It holds at most [`CAPACITY`] addresses; those beyond are treated as new.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerLedger {
    callers: HashMap<Ipv4Addr, CallerRecord>,
    generation_start: MonoTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct CallerRecord {
    /// The admissions in this and in the previous generation.
    admitted: [u32; 2],
    /// The first refusal since the last admission, and the latest one.
    refused: Option<(MonoTime, MonoTime)>,
}

impl CallerRecord {
    fn admissions(&self) -> u32 {
        self.admitted.iter().sum()
    }
}

/// The maximum number of addresses.
const CAPACITY: usize = 1_024;
/// The length of a generation of counts.
const GENERATION: Duration = Duration::from_secs(1);
/// The time for which a refused caller has precedence.
pub(crate) const REFUSAL_MEMORY: Duration = Duration::from_secs(2);

impl CallerLedger {
    pub(crate) fn record_admitted(&mut self, now: MonoTime, caller: Ipv4Addr) {
        if let Some(record) = self.entry(now, caller) {
            record.admitted[0] += 1;
            record.refused = None;
        }
    }

    pub(crate) fn record_refused(&mut self, now: MonoTime, caller: Ipv4Addr) {
        if let Some(record) = self.entry(now, caller) {
            let first = record.refused.map_or(now, |(first, _)| first);
            record.refused = Some((first, now));
        }
    }

    /// Returns the admissions that are a fair number for a caller relative to those that this one
    /// had; at most 1.
    ///
    /// The average is exceeded by chance too, by about its square root.
    pub(crate) fn fair_part(&mut self, now: MonoTime, caller: Ipv4Addr) -> f32 {
        self.advance(now);
        let Some(own) = self.callers.get(&caller).map(CallerRecord::admissions) else {
            return 1.0;
        };
        let total: u32 = self.callers.values().map(CallerRecord::admissions).sum();
        let average = total as f32 / self.callers.len() as f32;
        let fair = (average + average.sqrt()).max(1.0);
        (fair / own.max(1) as f32).min(1.0)
    }

    /// Returns the time since the caller was first refused, if it was refused lately and not
    /// admitted since; at most [`REFUSAL_MEMORY`].
    pub(crate) fn refused_for(&mut self, now: MonoTime, caller: Ipv4Addr) -> Option<Duration> {
        self.advance(now);
        let (first, last) = self.callers.get(&caller)?.refused?;
        let is_recent = now.since(last) <= REFUSAL_MEMORY;
        is_recent.then(|| now.since(first).min(REFUSAL_MEMORY))
    }

    fn entry(&mut self, now: MonoTime, caller: Ipv4Addr) -> Option<&mut CallerRecord> {
        self.advance(now);
        let is_full = self.callers.len() >= CAPACITY;
        if is_full && !self.callers.contains_key(&caller) {
            return None;
        }
        Some(self.callers.entry(caller).or_default())
    }

    fn advance(&mut self, now: MonoTime) {
        let age = now.since(self.generation_start);
        if age < GENERATION {
            return;
        }
        self.generation_start = now;
        let is_next = age < GENERATION * 2;
        self.callers.retain(|_, record| {
            record.admitted = [0, if is_next { record.admitted[0] } else { 0 }];
            record.refused = record
                .refused
                .filter(|(_, last)| now.since(*last) <= REFUSAL_MEMORY);
            record.admissions() > 0 || record.refused.is_some()
        });
    }
}
