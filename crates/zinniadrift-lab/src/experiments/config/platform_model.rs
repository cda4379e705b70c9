use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use zinniadrift_core::settings::Node;
use zinniadrift_core::units::{MonoTime, Version};

use super::ConfigScenario;
use super::tree::build_document;

/// An odd factor that spreads small seeds, so that consecutive seeds do not share delays.
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;
/// The longest delay with which an update becomes visible to a watch that is not late.
const PROMPT_LAG: Duration = Duration::from_millis(50);

/// A model of the platform's settings object with the history of its states.
#[derive(Debug)]
pub(super) struct PlatformModel {
    tree: Node,
    states: Vec<State>,
    revision: u64,
    edits: u64,
    seed: u64,
    watch_lag: Duration,
    late_every: usize,
    /// The end of the latest outage, during which no call is answered.
    pub(super) down_until: MonoTime,
    /// The latest network partition: the availability zone whose calls are not answered, and its
    /// end.
    pub(super) partition: (usize, MonoTime),
    /// The end of the latest period in which half of the reads return an older state.
    pub(super) stale_until: MonoTime,
    /// The end of the latest period in which half of the answers are lost.
    pub(super) lossy_until: MonoTime,
}

#[derive(Clone, Debug)]
struct State {
    at: MonoTime,
    revision: u64,
    version: Version,
    document: Bytes,
}

impl PlatformModel {
    pub(super) fn new(tree: Node, seed: u64, scenario: &ConfigScenario) -> Self {
        Self {
            tree,
            states: Vec::new(),
            revision: 0,
            edits: 0,
            seed,
            watch_lag: scenario.watch_lag,
            late_every: scenario.late_every,
            down_until: MonoTime::default(),
            partition: (0, MonoTime::default()),
            stale_until: MonoTime::default(),
            lossy_until: MonoTime::default(),
        }
    }

    pub(super) fn version(&self) -> Version {
        self.states
            .last()
            .map_or_else(Version::default, |s| s.version)
    }

    pub(super) fn document_bytes(&self) -> usize {
        self.states.last().map_or(0, |s| s.document.len())
    }

    /// Stores an edit with a version above both the stored version and `floor`, and returns it.
    pub(super) fn edit(&mut self, now: MonoTime, floor: Version) -> Version {
        let version = self.version().max(floor).next();
        self.edits += 1;
        let document = build_document(&self.tree, version, self.edits);
        self.push(now, version, document);
        version
    }

    /// Resets the store to the state before the last `edits` edits, including its revision.
    pub(super) fn restore(&mut self, now: MonoTime, edits: usize) {
        let index = self.states.len().saturating_sub(edits + 1);
        if let Some(older) = self.states.get(index).cloned() {
            self.revision = older.revision;
            self.states.push(State { at: now, ..older });
        }
    }

    fn push(&mut self, at: MonoTime, version: Version, document: Bytes) {
        self.revision += 1;
        let revision = self.revision;
        self.states.push(State {
            at,
            revision,
            version,
            document,
        });
    }

    pub(super) fn is_reachable(&self, now: MonoTime, zone: usize) -> bool {
        let is_partitioned = self.partition.0 == zone && now < self.partition.1;
        now >= self.down_until && !is_partitioned
    }

    /// Returns the delay with which the latest state becomes visible to a daemon's watch.
    pub(super) fn lag_of(&self, daemon: usize) -> Duration {
        self.lag_at(daemon, self.states.len().saturating_sub(1))
    }

    fn lag_at(&self, daemon: usize, state: usize) -> Duration {
        let is_late = (daemon + 1).is_multiple_of(self.late_every);
        let salt = (daemon as u64) << 32 | state as u64;
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(self.seed.wrapping_mul(SEED_FACTOR) ^ salt);
        let longest = if is_late { self.watch_lag } else { PROMPT_LAG };
        longest.mul_f64(rng.random())
    }

    /// Returns the revision and document visible to a daemon's watch if the revision is above
    /// `after`.
    pub(super) fn read_watch(
        &self,
        now: MonoTime,
        daemon: usize,
        after: u64,
    ) -> Option<(u64, Bytes)> {
        let mut states = self.states.iter().enumerate().rev();
        let (_, state) = states.find(|(i, s)| now >= s.at + self.lag_at(daemon, *i))?;
        (state.revision > after).then(|| (state.revision, state.document.clone()))
    }

    /// Returns the revision and document that a read returns if the revision is above `after`.
    pub(super) fn read(
        &self,
        now: MonoTime,
        after: u64,
        rng: &mut impl Rng,
    ) -> Option<(u64, Bytes)> {
        let is_stale = now < self.stale_until && rng.random_bool(0.5);
        let age = if is_stale { rng.random_range(1..=3) } else { 0 };
        let index = self.states.len().saturating_sub(age + 1);
        let state = self.states.get(index)?;
        (state.revision > after).then(|| (state.revision, state.document.clone()))
    }
}
