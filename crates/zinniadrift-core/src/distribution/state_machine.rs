use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use super::call_budget::CallBudget;
use super::candidate::Candidate;
use super::pulls::Pulls;
use super::{
    DistributionAction, DistributionCounters, DistributionEvent, DistributionSettings, LiveMember,
    PlatformFailure, select_watchers,
};
use crate::ids::MemberId;
use crate::settings::ServiceCatalog;
use crate::units::{MonoTime, Version};

/// The state machine that obtains the settings of one daemon from the platform and from peers.
///
/// A document is put in force only if its version is above the one in force, whatever its source,
/// so that settings never revert.
#[derive(Debug)]
pub struct Distribution {
    cfg: DistributionSettings,
    in_force: Option<Candidate>,
    /// The document with the highest version so far, while a joining daemon waits for the versions
    /// of its peers.
    join_candidate: Option<Candidate>,
    started: Option<MonoTime>,
    members: Vec<LiveMember>,
    is_watcher: bool,
    pulls: Pulls,
    call: CallState,
    after_revision: u64,
    resync_at: MonoTime,
    call_failures: u32,
    budget: CallBudget,
    status_due: Option<MonoTime>,
    status_written: Option<MonoTime>,
    status_failures: u32,
    rng: Xoshiro256PlusPlus,
    counters: DistributionCounters,
}

/// The state of the call for the settings object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallState {
    Idle { next: MonoTime },
    Watching,
    Reading,
}

/// The source of a document.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Source {
    Platform,
    Peer,
}

impl Distribution {
    /// Returns the state machine of a daemon that has no settings yet.
    pub fn new(cfg: DistributionSettings) -> Self {
        let budget = CallBudget::new(cfg.calls_per_s, cfg.call_burst);
        let rng = Xoshiro256PlusPlus::seed_from_u64(cfg.seed);
        let mut new = Self {
            cfg,
            in_force: None,
            join_candidate: None,
            started: None,
            members: Vec::new(),
            is_watcher: false,
            pulls: Pulls::default(),
            call: CallState::Idle {
                next: MonoTime::default(),
            },
            after_revision: 0,
            resync_at: MonoTime::default(),
            call_failures: 0,
            budget,
            status_due: None,
            status_written: None,
            status_failures: 0,
            rng,
            counters: DistributionCounters::default(),
        };
        new.set_members(Vec::new());
        new
    }

    /// Returns the version in force, or zero before the first one.
    pub fn version(&self) -> Version {
        self.in_force
            .as_ref()
            .map_or_else(Version::default, Candidate::version)
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> Option<&Arc<ServiceCatalog>> {
        self.in_force.as_ref().map(|c| &c.catalog)
    }

    /// Returns the document in force as JSON, for peers that pull it.
    pub fn document(&self) -> Option<&Bytes> {
        self.in_force.as_ref().map(|c| &c.document)
    }

    /// Returns whether this daemon is one of the watchers of its availability zone.
    pub fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Returns the counters.
    pub fn counters(&self) -> &DistributionCounters {
        &self.counters
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(
        &mut self,
        now: MonoTime,
        event: DistributionEvent,
        out: &mut Vec<DistributionAction>,
    ) {
        self.started.get_or_insert(now);
        match event {
            DistributionEvent::PlatformAnswer { revision, document } => {
                self.on_platform_answer(now, revision, document, out);
            }
            DistributionEvent::PeerVersion { from, version } => self.pulls.offer(from, version),
            DistributionEvent::PeerDocument { from, document } => {
                self.on_peer_document(now, from, document, out);
            }
            DistributionEvent::Members(members) => self.set_members(members),
            DistributionEvent::StatusWritten { ok: true } => self.status_failures = 0,
            DistributionEvent::StatusWritten { ok: false } => self.schedule_status_retry(now),
            DistributionEvent::Tick => {}
        }
        self.start_pull(now, out);
        self.end_join_wait(now, out);
        self.poll_call(now, out);
        self.write_status_if_due(now, out);
    }

    /// Returns the next time at which a `Tick` is needed.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let call = match self.call {
            CallState::Idle { next } => Some(next),
            CallState::Watching | CallState::Reading => None,
        };
        let wait = self.join_candidate.as_ref().and(self.started).map(|t| {
            if self.pulls.highest_announced() > self.join_candidate_version() {
                t + self.cfg.join_timeout
            } else {
                t + self.cfg.join_wait
            }
        });
        let deadlines = [call, self.pulls.next_deadline(), wait, self.status_due];
        deadlines.into_iter().flatten().min()
    }

    fn set_members(&mut self, members: Vec<LiveMember>) {
        let gone = self.members.iter().map(|m| m.id);
        for id in gone.filter(|id| !members.iter().any(|m| m.id == *id)) {
            self.pulls.forget(id);
        }
        self.members = members;
        self.members.retain(|m| m.id != self.cfg.member);
        self.members.push(LiveMember {
            id: self.cfg.member,
            zone: self.cfg.zone.clone(),
        });
        let watchers = select_watchers(&self.members, &self.cfg.zone, self.cfg.watchers_per_zone);
        self.is_watcher = watchers.contains(&self.cfg.member);
    }

    fn peers(&self) -> impl Iterator<Item = &LiveMember> {
        self.members.iter().filter(|m| m.id != self.cfg.member)
    }

    fn on_platform_answer(
        &mut self,
        now: MonoTime,
        revision: u64,
        document: Result<Option<Bytes>, PlatformFailure>,
        out: &mut Vec<DistributionAction>,
    ) {
        let Ok(document) = document else {
            self.counters.platform_failures += 1;
            // The store may come back in an older state, with lower revisions.
            self.after_revision = 0;
            let delay = self.retry_delay();
            self.call_failures += 1;
            self.call = CallState::Idle { next: now + delay };
            return;
        };
        if self.call_failures > 0 && self.in_force.is_some() {
            // The status may have changed during the outage without being written.
            self.schedule_status_write(now);
        }
        self.call_failures = 0;
        if let Some(document) = document {
            self.after_revision = revision;
            self.consider(now, document, Source::Platform, out);
        }
        let next = if self.is_watcher {
            now
        } else {
            now + self.jitter(self.cfg.poll_interval)
        };
        self.call = CallState::Idle { next };
    }

    fn on_peer_document(
        &mut self,
        now: MonoTime,
        from: MemberId,
        document: Option<Bytes>,
        out: &mut Vec<DistributionAction>,
    ) {
        let held = self.version().max(self.join_candidate_version());
        let invalid = self.counters.invalid_documents;
        if let Some(document) = document {
            self.consider(now, document, Source::Peer, out);
        }
        if self.counters.invalid_documents > invalid {
            // Otherwise the peer's heartbeats would cause a pull each second.
            self.pulls.defer(from, now + self.cfg.poll_interval);
        }
        if self.version().max(self.join_candidate_version()) > held {
            self.pulls.finish(from);
        } else {
            self.counters.failed_pulls += 1;
            self.pulls.forget(from);
        }
    }

    /// Puts a document in force if it is valid and newer than the one in force.
    ///
    /// Before the first document is in force, the newest one is kept until the wait for the peers'
    /// versions ends.
    fn consider(
        &mut self,
        now: MonoTime,
        document: Bytes,
        source: Source,
        out: &mut Vec<DistributionAction>,
    ) {
        let Some(candidate) = Candidate::parse(document) else {
            self.counters.invalid_documents += 1;
            return;
        };
        if let Some(held) = &self.in_force {
            let differs = candidate.edit_id != held.edit_id;
            if self.cfg.refuse_lower_versions && candidate.version() <= held.version() {
                if candidate.version() < held.version() {
                    self.counters.lower_versions += 1;
                } else if differs {
                    self.counters.conflicting_versions += 1;
                }
                if differs && source == Source::Platform {
                    // The status object shows editors that the store is behind.
                    self.schedule_status_write(now);
                }
                return;
            }
            if differs || candidate.version() != held.version() {
                self.install(now, candidate, out);
            }
            return;
        }
        if candidate.version() > self.join_candidate_version() {
            self.join_candidate = Some(candidate);
        }
    }

    /// Ends a joining daemon's wait once no peer is known to have a higher version.
    ///
    /// Without the wait, a restarted daemon could put in force an older state of the platform's
    /// store and serve with it until the first heartbeat of a peer.
    fn end_join_wait(&mut self, now: MonoTime, out: &mut Vec<DistributionAction>) {
        let Some(started) = self.started else { return };
        let has_peers = self.peers().next().is_some();
        let all_peers_heard = has_peers && self.peers().all(|m| self.pulls.has_offer(m.id));
        let alone = !has_peers && !self.cfg.expects_peers;
        let join_wait_over = alone || all_peers_heard || now >= started + self.cfg.join_wait;
        let is_best = self.join_candidate_version() >= self.pulls.highest_announced();
        let expired = now >= started + self.cfg.join_timeout;
        let ready = !self.cfg.refuse_lower_versions || (join_wait_over && is_best) || expired;
        if let Some(candidate) = self.join_candidate.take_if(|_| ready) {
            self.install(now, candidate, out);
        }
    }

    fn install(&mut self, now: MonoTime, candidate: Candidate, out: &mut Vec<DistributionAction>) {
        let version = candidate.version();
        out.push(DistributionAction::Install(Arc::clone(&candidate.catalog)));
        out.push(DistributionAction::Notify { version });
        self.in_force = Some(candidate);
        self.schedule_status_write(now);
    }

    fn start_pull(&mut self, now: MonoTime, out: &mut Vec<DistributionAction>) {
        if self.pulls.expire(now).is_some() {
            self.counters.failed_pulls += 1;
        }
        let held = self.version().max(self.join_candidate_version());
        let members = &self.members;
        let zone = &self.cfg.zone;
        let in_same_zone = |id| members.iter().any(|m| m.id == id && m.zone == *zone);
        let timeout = self.cfg.pull_timeout;
        if let Some(peer) = self.pulls.start(now, held, timeout, in_same_zone) {
            self.counters.pulls += 1;
            out.push(DistributionAction::PullFrom { peer });
        }
    }

    fn poll_call(&mut self, now: MonoTime, out: &mut Vec<DistributionAction>) {
        match self.call {
            CallState::Watching if !self.is_watcher => {
                out.push(DistributionAction::StopWatch);
                let next = now + self.jitter(self.cfg.poll_interval);
                self.call = CallState::Idle { next };
            }
            CallState::Idle { next } => {
                // A daemon that becomes a watcher makes its first call before the next poll is due,
                // unless it waits to retry a failed call.
                let due = now >= next || (self.is_watcher && self.call_failures == 0);
                if due {
                    self.call_platform(now, out);
                }
            }
            CallState::Watching | CallState::Reading => {}
        }
    }

    fn call_platform(&mut self, now: MonoTime, out: &mut Vec<DistributionAction>) {
        if let Err(next) = self.budget.take(now) {
            self.call = CallState::Idle { next };
            return;
        }
        if now >= self.resync_at {
            let bytes = self.document().map_or(0, Bytes::len) as f64;
            let spread = Duration::from_secs_f64(bytes / self.cfg.resync_bytes_per_s);
            self.resync_at = now + self.cfg.resync_interval.max(spread);
            self.after_revision = 0;
        }
        self.counters.platform_calls += 1;
        let wait = if self.is_watcher {
            self.call = CallState::Watching;
            self.cfg.watch_wait
        } else {
            self.call = CallState::Reading;
            Duration::ZERO
        };
        let after = self.after_revision;
        out.push(DistributionAction::WatchPlatform { after, wait });
    }

    fn schedule_status_write(&mut self, now: MonoTime) {
        let earliest = self
            .status_written
            .map_or(now, |t| now.max(t + self.cfg.status_interval));
        self.status_due = Some(earliest);
    }

    /// Schedules the retry of a failed write of the status, with exponential back-off up to a mean
    /// of one poll interval; after an outage, the first answered call causes a write anyway.
    fn schedule_status_retry(&mut self, now: MonoTime) {
        self.counters.platform_failures += 1;
        self.status_failures += 1;
        let delay = self.cfg.status_interval * 2_u32.saturating_pow(self.status_failures.min(16));
        let delay = self.jitter(delay.min(self.cfg.poll_interval));
        self.status_due = Some(now + delay);
    }

    fn write_status_if_due(&mut self, now: MonoTime, out: &mut Vec<DistributionAction>) {
        if self.status_due.is_none_or(|due| now < due) {
            return;
        }
        if let Err(next) = self.budget.take(now) {
            self.status_due = Some(next);
            return;
        }
        self.counters.platform_calls += 1;
        self.status_due = None;
        self.status_written = Some(now);
        out.push(DistributionAction::WriteStatus);
    }

    fn join_candidate_version(&self) -> Version {
        self.join_candidate
            .as_ref()
            .map_or_else(Version::default, Candidate::version)
    }

    fn retry_delay(&mut self) -> Duration {
        let delay = self.cfg.retry_delay * 2_u32.saturating_pow(self.call_failures.min(16));
        self.jitter(delay.min(self.cfg.retry_delay_max))
    }

    /// Returns a random duration from 0.5 to 1.5 times `mean`, so that daemons do not make calls at
    /// the same time.
    fn jitter(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(self.rng.random_range(0.5..1.5))
    }
}
