use std::time::Duration;

use crate::ids::ServiceId;
use crate::ordered_map::OrderedMap;
use crate::units::MonoTime;

use crate::steering::directory::cookie::TargetTag;
use crate::steering::flows::tracked_flow::FlowPhase;
use crate::steering::observations::observation_report::ObservationReport;
use crate::steering::observations::observation_table::{ObservationMark, ObservationTable};
use crate::steering::observations::observed::Observed;
use crate::steering::observations::reporter_id::ReporterId;
use crate::steering::targets::target_record::TargetRecord;
use crate::steering::{Decision, PeerUpdate, Steering};

/// The time for which an answer that this balancer got outweighs all reports.
const OWN_ANSWER_WEIGHT: Duration = Duration::from_millis(500);
/// One in so many targets of a service has to fall silent within the window for a mass loss.
const MASS_LOSS_DIVISOR: usize = 10;
const MASS_LOSS_WINDOW: Duration = Duration::from_secs(3);

impl Steering {
    /// Returns what is known of targets from all balancers; empty unless observations are enabled.
    pub const fn observations(&self) -> &ObservationTable {
        &self.observations
    }

    /// Returns whether observations are shared.
    pub const fn shares_observations(&self) -> bool {
        self.cfg.observations.enabled
    }

    /// Starts an empty table under the number of this process.
    pub fn set_reporter(&mut self, id: ReporterId) {
        self.observations = ObservationTable::new(id);
    }

    /// Returns what this balancer reports to the peer that it requests updates from, or as a relay
    /// to the other relays; `None` if there is nothing to report.
    pub fn observation_report(
        &mut self,
        now: MonoTime,
        is_relay: bool,
    ) -> Option<ObservationReport> {
        if !self.shares_observations() {
            return None;
        }
        self.refresh_if_outdated(now);
        self.observations.report(now, is_relay)
    }

    /// Takes a report of a balancer that requests updates from this one, or of another relay.
    pub fn on_observation_report(&mut self, now: MonoTime, report: &ObservationReport) {
        if self.shares_observations() {
            self.observations.on_report(now, report);
        }
    }

    /// Adds to a response the observations that the peer is missing, which knows those of this
    /// balancer up to `known`.
    pub fn add_observations(
        &mut self,
        now: MonoTime,
        known: ObservationMark,
        update: &mut PeerUpdate,
    ) {
        if !self.shares_observations() {
            return;
        }
        self.refresh_if_outdated(now);
        let (mark, targets) = self.observations.delta(now, known);
        // Without a change nothing is sent; a peer that missed only what has expired gets the place.
        if targets.is_empty() && (known.epoch != mark.epoch || known.seq == mark.seq) {
            return;
        }
        update.observations = targets;
        update.observations_epoch = mark.epoch;
        update.observations_seq = mark.seq;
    }

    /// Takes the observations in a peer's response.
    pub(in crate::steering) fn take_observations(&mut self, now: MonoTime, update: &PeerUpdate) {
        if !self.shares_observations() {
            return;
        }
        let mark = ObservationMark {
            epoch: update.observations_epoch,
            seq: update.observations_seq,
        };
        self.observations.on_update(now, mark, &update.observations);
    }

    /// Returns when observations need maintenance.
    pub(in crate::steering) fn next_observation(&self) -> Option<MonoTime> {
        if !self.shares_observations() {
            return None;
        }
        let (open, refresh) = (self.opens.next_due(), self.observations.next_refresh());
        open.into_iter().chain(refresh).min()
    }

    /// Records opening packets without an answer, and merges reports if that is due.
    pub(in crate::steering) fn maintain_observations(&mut self, now: MonoTime) {
        if !self.shares_observations() {
            return;
        }
        while let Some((sent, key)) = self.opens.pop_due(now) {
            let flow = self.flows.get(&key);
            let is_pending = |f: &FlowPhase| *f == FlowPhase::Opening;
            let Some(flow) = flow.filter(|f| is_pending(&f.phase) && f.last_seen == sent) else {
                continue;
            };
            if let Some(record) = self.directory.get_mut(flow.target) {
                record.observed.record_unanswered_open(sent);
                self.observations.on_own_silence(now);
            }
        }
        if self.observations.next_refresh().is_some_and(|at| now >= at) {
            self.refresh_observations(now);
        }
    }

    fn refresh_if_outdated(&mut self, now: MonoTime) {
        if self.observations.is_outdated(now) {
            self.refresh_observations(now);
        }
    }

    fn refresh_observations(&mut self, now: MonoTime) {
        let mut own: OrderedMap<TargetTag, Observed> = OrderedMap::default();
        let mut services: OrderedMap<ServiceId, Vec<(TargetTag, u16)>> = OrderedMap::default();
        for record in self.directory.records_mut() {
            let outstanding = record.pending_opens + record.active_requests;
            if let Some(observed) = record.observed.observe(now, outstanding) {
                own.insert(record.tag, observed);
            }
            let service = services.entry(record.instance.service).or_default();
            service.push((record.tag, record.instance.slots));
        }
        let base = self.cfg.placement.suspicion_timeout;
        let before = self.reported_unresponsive(now);
        self.observations.refresh(now, own, base);
        for targets in services.values() {
            let tags: Vec<TargetTag> = targets.iter().map(|(tag, _)| *tag).collect();
            self.mark_unproven(now, &tags);
            self.update_speeds(targets);
        }
        self.limit_belief(now);
        self.record_unresponsive(now, &before);
    }

    fn update_speeds(&mut self, targets: &[(TargetTag, u16)]) {
        let table = &mut self.observations;
        let level = |(target, slots): &(TargetTag, u16)| {
            let entry = table.entry(*target);
            (*target, entry.and_then(|e| e.smoothed.service_log2(*slots)))
        };
        let targets: Vec<(TargetTag, Option<f32>)> = targets.iter().map(level).collect();
        // A target that has died is no measure for the others, whose load has grown.
        let is_answering = |t: TargetTag| {
            let observed = table.entry(t).and_then(|e| e.observed);
            observed.is_some_and(|o| o.samples > 0 && !o.is_silent())
        };
        let levels = targets.iter().filter(|(t, _)| is_answering(*t));
        let mut levels: Vec<f32> = levels.filter_map(|(_, level)| *level).collect();
        if levels.is_empty() {
            return;
        }
        levels.sort_by(f32::total_cmp);
        let median = levels[levels.len() / 2];
        for (target, level) in targets {
            table.set_speed(target, level, median);
        }
    }

    /// Marks the targets that have not answered since many of the service's targets fell silent.
    ///
    /// After a loss of many targets at once, an answer tells sooner who is alive than silence tells
    /// who is dead.
    fn mark_unproven(&mut self, now: MonoTime, targets: &[TargetTag]) {
        let table = &mut self.observations;
        let silent_since = |t: &TargetTag| {
            let since = table.entry(*t).and_then(|e| e.silent_since);
            since.filter(|at| now.since(*at) <= MASS_LOSS_WINDOW)
        };
        let silent: Vec<MonoTime> = targets.iter().filter_map(silent_since).collect();
        let is_mass_loss = silent.len() * MASS_LOSS_DIVISOR >= targets.len();
        let start = silent.into_iter().min().filter(|_| is_mass_loss);
        for target in targets {
            if let Some(entry) = table.entry_mut(*target) {
                let answer = entry.observed.and_then(|o| o.last_answer);
                entry.is_unproven = start.is_some_and(|at| answer < Some(at));
            }
        }
    }

    /// Chooses the reports of unresponsive targets that are believed: of each service at most half
    /// of the listed targets, those with the most witnesses.
    fn limit_belief(&mut self, now: MonoTime) {
        let mut services: OrderedMap<ServiceId, (usize, Vec<(u32, TargetTag)>)> =
            OrderedMap::default();
        for record in self.directory.records_mut() {
            if !record.accepts_new_flows() {
                continue;
            }
            let (listed, reported) = services.entry(record.instance.service).or_default();
            *listed += 1;
            let Some(entry) = self.observations.entry_mut(record.tag) else {
                continue;
            };
            entry.is_disbelieved = false;
            if entry.suspicion.is_some_and(|s| now < s.until) && !record.is_suspect(now) {
                let witnesses = entry.observed.map_or(0, |o| o.witnesses);
                reported.push((witnesses, record.tag));
            }
        }
        for (listed, mut reported) in services.into_values() {
            reported.sort_unstable_by(|a, b| b.cmp(a));
            for (_, target) in reported.into_iter().skip(listed / 2) {
                if let Some(entry) = self.observations.entry_mut(target) {
                    entry.is_disbelieved = true;
                }
            }
        }
    }

    /// Returns whether other balancers found the target unresponsive, and this one has no answer of
    /// its own that says otherwise.
    pub(in crate::steering) fn is_reported_unresponsive(
        &self,
        now: MonoTime,
        record: &TargetRecord,
    ) -> bool {
        let answer = record.observed.last_answer();
        self.shares_observations()
            && self.observations.is_unresponsive(now, record.tag)
            && answer.is_none_or(|at| now.since(at) > OWN_ANSWER_WEIGHT)
    }

    /// Returns when the target last answered this or another balancer.
    pub(in crate::steering) fn last_answer(
        &self,
        now: MonoTime,
        record: &TargetRecord,
    ) -> Option<MonoTime> {
        let age = self.observations.last_answer_age(now, record.tag);
        record.observed.last_answer().max(age.map(|age| now - age))
    }

    fn reported_unresponsive(&mut self, now: MonoTime) -> Vec<Box<str>> {
        let table = &self.observations;
        let records = self.directory.records_mut();
        let reported = records.filter(|r| table.is_unresponsive(now, r.tag));
        reported.map(|r| r.instance.name.clone()).collect()
    }

    fn record_unresponsive(&mut self, now: MonoTime, before: &[Box<str>]) {
        let after = self.reported_unresponsive(now);
        let table = &self.observations;
        let changes = before.iter().filter(|name| !after.contains(name));
        let ended = changes.map(|name| (name, false));
        let begun = after.iter().filter(|name| !before.contains(name));
        let begun = begun.map(|name| (name, true));
        let decisions: Vec<Decision> = begun
            .chain(ended)
            .map(|(name, avoided)| {
                let observed = table.entry(TargetTag::from_name(name));
                let observed = observed.and_then(|e| e.observed);
                Decision::Reported {
                    target: name.clone(),
                    avoided,
                    witnesses: observed.map_or(0, |o| o.witnesses),
                }
            })
            .collect();
        for decision in decisions {
            self.record_decision(decision);
        }
    }
}
