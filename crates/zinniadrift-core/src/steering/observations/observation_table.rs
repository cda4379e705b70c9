use std::time::Duration;

use crate::ordered_map::OrderedMap;
use crate::steering::directory::cookie::TargetTag;
use crate::steering::observations::observation_report::ObservationReport;
use crate::steering::observations::observed::{MAX_AGE, Observed};
use crate::steering::observations::reporter_id::ReporterId;
use crate::steering::observations::table_entry::{ALARM_INTERVAL, RENEWAL_INTERVAL, TableEntry};
use crate::steering::observations::target_observation::TargetObservation;
use crate::units::MonoTime;

/// What this balancer, those that request updates from it, and its own peer observed of targets.
///
/// The reports of the balancers behind this one, added to its own observations, are the subtree's.
/// A relay adds the subtrees of the other relays; every other balancer takes the sum from its peer.
#[derive(Clone, Debug, Default)]
pub struct ObservationTable {
    id: ReporterId,
    is_relay: bool,
    reports: OrderedMap<ReporterId, Reporter>,
    upstream: Upstream,
    /// This balancer's observations and those of the balancers behind it.
    subtree: OrderedMap<TargetTag, Observed>,
    /// What was last reported of each target.
    reported: OrderedMap<TargetTag, (MonoTime, Observed)>,
    entries: OrderedMap<TargetTag, TableEntry>,
    seq: u64,
    /// The sequence number of the last change for which a waiting peer is answered early.
    alert_seq: u64,
    is_alert_due: bool,
    last_alert: Option<MonoTime>,
    /// The number of times that something had to be reported at once.
    urgent_reports: u64,
    last_urgent: Option<MonoTime>,
    /// When the first of the targets fell silent that are silent now.
    alarm_start: Option<MonoTime>,
    /// Whether a silence was seen or reported since the last merge.
    is_silence_new: bool,
    last_refresh: Option<MonoTime>,
    next_refresh: Option<MonoTime>,
    ignored_reports: u64,
}

/// The last reports of one balancer.
#[derive(Clone, Debug)]
struct Reporter {
    at: MonoTime,
    hops: u8,
    is_relay: bool,
    targets: OrderedMap<TargetTag, Observed>,
}

/// The table of the peer that this balancer requests updates from.
#[derive(Clone, Debug, Default)]
struct Upstream {
    mark: ObservationMark,
    targets: OrderedMap<TargetTag, Observed>,
}

/// A place in the sequence of changes of a balancer's table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ObservationMark {
    /// The process that the table belongs to.
    pub epoch: ReporterId,
    /// The sequence number of the last known change.
    pub seq: u64,
}

/// The shortest time between two merges of all reports: a relay with 48 peers merges 7,000
/// observations in 1 ms.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
/// The same while a target is silent: its death has to pass several balancers.
const URGENT_REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// The time after which observations are merged although nothing came.
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// The shortest time between two reports at once: five a second.
const URGENT_INTERVAL: Duration = Duration::from_millis(200);
/// The same between relays, behind which all balancers wait for a report.
const RELAY_URGENT_INTERVAL: Duration = Duration::from_millis(50);
/// The shortest time between two early answers to waiting peers: just after targets fell silent, and
/// later, when they are only tried again. Each early answer costs a balancer 200 bytes.
const ALERT_INTERVAL: Duration = Duration::from_millis(100);
const LATER_ALERT_INTERVAL: Duration = Duration::from_millis(400);
/// The time for which answers are passed on more often after targets fell silent. Silent targets that
/// are tried again must not keep up the traffic.
const ALARM_DURATION: Duration = Duration::from_millis(1_500);
/// The advance of a target's silence that is reported at once again.
const SILENCE_RENEWAL: Duration = Duration::from_millis(500);
/// The observations in a report of a balancer with and without others behind it: 2,900 and 1,300
/// bytes of base64. Older peers accept 4,096 bytes in all.
const MAX_SUBTREE_REPORT: usize = 196;
const MAX_OWN_REPORT: usize = 88;
/// The observations in a response, 1,500 bytes; a first response holds all.
const MAX_DELTA: usize = 136;
/// The longest way of a report. The tree of 300 balancers has three levels; reports that go round
/// between balancers that request updates from each other end here.
const MAX_HOPS: u8 = 6;
/// The maximum number of reporters; a balancer serves at most 48 peers.
const MAX_REPORTERS: usize = 128;
/// The lowest and the highest speed, whatever reports say.
const SPEED_RANGE: std::ops::RangeInclusive<f32> = 0.25..=8.0;

impl ObservationTable {
    /// Returns an empty table of the process `id`.
    pub(crate) fn new(id: ReporterId) -> Self {
        Self {
            id,
            ..Self::default()
        }
    }

    /// Returns the target's speed relative to its service's median, 0.25 to 8; `None` if too few
    /// responses were seen.
    ///
    /// A target that may be unresponsive has the lowest speed.
    pub fn speed_factor(&self, now: MonoTime, target: TargetTag) -> Option<f32> {
        let entry = self.entries.get(&target)?;
        let is_doubtful = entry.suspicion.is_some() || entry.is_doubtful(now) || entry.is_unproven;
        if is_doubtful && !self.is_unresponsive(now, target) {
            return Some(*SPEED_RANGE.start());
        }
        entry.speed
    }

    /// Returns the requests and opening packets of all balancers that await the target's response.
    pub fn outstanding(&self, now: MonoTime, target: TargetTag) -> Option<u32> {
        let observed = self.current(now, target)?;
        Some(observed.outstanding)
    }

    /// Returns whether several balancers have unanswered opening packets at the target and nobody
    /// has got an answer since.
    pub fn is_unresponsive(&self, now: MonoTime, target: TargetTag) -> bool {
        let entry = self.entries.get(&target).filter(|e| !e.is_disbelieved);
        let suspicion = entry.and_then(|e| e.suspicion);
        suspicion.is_some_and(|s| now < s.until)
    }

    /// Returns whether the target was unresponsive, is no longer avoided, and has not answered since.
    pub(crate) fn is_avoidance_over(&self, now: MonoTime, target: TargetTag) -> bool {
        let suspicion = self.entries.get(&target).and_then(|e| e.suspicion);
        suspicion.is_some_and(|s| now >= s.until)
    }

    /// Returns the time since the target last answered any balancer, if that is known.
    pub fn last_answer_age(&self, now: MonoTime, target: TargetTag) -> Option<Duration> {
        let at = self.current(now, target)?.last_answer?;
        Some(now.since(at))
    }

    /// Returns whether some balancer has an opening packet at the target that was sent after its last
    /// answer and is not answered.
    pub(crate) fn is_silent(&self, target: TargetTag) -> bool {
        self.entries.get(&target).is_some_and(TableEntry::is_silent)
    }

    /// Returns the number of targets that are avoided because of reports.
    pub fn unresponsive_count(&self, now: MonoTime) -> usize {
        let targets = self.entries.keys();
        targets.filter(|t| self.is_unresponsive(now, **t)).count()
    }

    /// Returns the number of targets with an observation.
    pub fn len(&self) -> usize {
        self.entries
            .values()
            .filter(|e| e.observed.is_some())
            .count()
    }

    /// Returns whether there is no observation of any target.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of reports that were ignored because they came round or too many
    /// balancers reported.
    pub const fn ignored_reports(&self) -> u64 {
        self.ignored_reports
    }

    /// Returns the place of the last change for which a waiting peer is answered early.
    pub const fn alert(&self) -> ObservationMark {
        ObservationMark {
            epoch: self.id,
            seq: self.alert_seq,
        }
    }

    /// Returns the number of times that something had to be reported at once.
    pub const fn urgent_reports(&self) -> u64 {
        self.urgent_reports
    }

    /// Returns the place in the table of the own peer up to which it is known.
    pub fn known_upstream(&self) -> ObservationMark {
        if self.upstream.targets.is_empty() {
            return ObservationMark::default();
        }
        self.upstream.mark
    }

    fn current(&self, now: MonoTime, target: TargetTag) -> Option<&Observed> {
        let observed = self.entries.get(&target)?.observed.as_ref();
        observed.filter(|o| o.is_current(now))
    }

    pub(crate) fn entry_mut(&mut self, target: TargetTag) -> Option<&mut TableEntry> {
        self.entries.get_mut(&target)
    }

    pub(crate) fn entry(&self, target: TargetTag) -> Option<&TableEntry> {
        self.entries.get(&target)
    }

    /// Sets the speed of a target whose requests take 2^`log2` microseconds, where the service's
    /// median is 2^`median_log2`.
    pub(crate) fn set_speed(&mut self, target: TargetTag, log2: Option<f32>, median_log2: f32) {
        if let Some(entry) = self.entries.get_mut(&target) {
            let speed = log2.map(|log2| (median_log2 - log2).exp2());
            entry.speed = speed.map(|s| s.clamp(*SPEED_RANGE.start(), *SPEED_RANGE.end()));
        }
    }

    /// Forgets everything that was received, because its age is no longer known.
    pub(crate) fn clear_received(&mut self) {
        self.reports.clear();
        self.upstream = Upstream::default();
        self.request_refresh_at(MonoTime::default());
    }

    /// Takes a report of another balancer.
    pub(crate) fn on_report(&mut self, now: MonoTime, report: &ObservationReport) {
        let is_own_peer = report.from == self.upstream.mark.epoch;
        let is_round = report.from == self.id || is_own_peer || report.hops > MAX_HOPS;
        let is_known = self.reports.contains_key(&report.from);
        let has_room = is_known || self.reports.len() < MAX_REPORTERS;
        if report.from.is_none() || is_round || !has_room {
            self.ignored_reports += 1;
            return;
        }
        let reporter = self.reports.entry(report.from).or_insert_with(|| Reporter {
            at: now,
            hops: report.hops,
            is_relay: report.relay,
            targets: OrderedMap::default(),
        });
        reporter.at = now;
        reporter.hops = report.hops;
        reporter.is_relay = report.relay;
        for message in &report.targets {
            let Some(mut observed) = Observed::from_message(now, message) else {
                continue;
            };
            if !report.relay {
                // Two witnesses have to be two balancers, whatever one of them claims.
                observed.witnesses = observed.witnesses.min(1);
            }
            self.is_silence_new |= observed.is_silent();
            reporter.targets.insert(message.target, observed);
        }
        self.request_refresh_at(now);
    }

    /// Takes a part of the table of the own peer.
    pub(crate) fn on_update(
        &mut self,
        now: MonoTime,
        mark: ObservationMark,
        targets: &[TargetObservation],
    ) {
        if mark.epoch.is_none() || mark.epoch == self.id {
            return;
        }
        if mark.epoch != self.upstream.mark.epoch {
            self.upstream.targets.clear();
        }
        self.upstream.mark = mark;
        for message in targets {
            if let Some(observed) = Observed::from_message(now, message) {
                self.is_silence_new |= observed.is_silent();
                self.upstream.targets.insert(message.target, observed);
            }
        }
        self.request_refresh_at(now);
    }

    /// Records that an opening packet of this balancer has no answer.
    pub(crate) fn on_own_silence(&mut self, now: MonoTime) {
        self.is_silence_new = true;
        self.request_refresh_at(now);
    }

    /// Merges everything at the next opportunity.
    pub(crate) fn request_refresh_at(&mut self, at: MonoTime) {
        let interval = if self.is_silence_new {
            URGENT_REFRESH_INTERVAL
        } else {
            REFRESH_INTERVAL
        };
        let earliest = self.last_refresh.map(|last| last + interval);
        let at = at.max(earliest.unwrap_or_default());
        self.next_refresh = Some(self.next_refresh.map_or(at, |next| next.min(at)));
    }

    /// Returns when the reports are to be merged, if any came.
    pub(crate) const fn next_refresh(&self) -> Option<MonoTime> {
        self.next_refresh
    }

    /// Returns whether the last merge is too old for a report or a response.
    pub(crate) fn is_outdated(&self, now: MonoTime) -> bool {
        self.last_refresh
            .is_none_or(|last| now >= last + REFRESH_INTERVAL)
    }

    /// Merges the balancer's own observations with everything received.
    pub(crate) fn refresh(
        &mut self,
        now: MonoTime,
        own: OrderedMap<TargetTag, Observed>,
        suspicion_base: Duration,
    ) {
        self.last_refresh = Some(now);
        self.next_refresh = None;
        self.is_silence_new = false;
        self.expire(now);
        self.subtree = own;
        add_reports(&mut self.subtree, &self.reports, false);
        let mut total = self.subtree.clone();
        add_reports(&mut total, &self.reports, true);
        self.add_upstream(&mut total);
        for target in total.keys() {
            self.entries.entry(*target).or_default();
        }
        for (target, entry) in &mut self.entries {
            let observed = total.get(target).copied();
            self.is_alert_due |= entry.update(now, observed, suspicion_base);
        }
        self.entries.retain(|_, entry| entry.is_current(now));
        let is_any_silent = self.entries.values().any(TableEntry::is_silent);
        let alarm_start = self.alarm_start.filter(|_| is_any_silent);
        self.alarm_start = alarm_start.or(is_any_silent.then_some(now));
        let is_alarmed = self.is_alarmed(now);
        for entry in self.entries.values_mut() {
            if entry.publish(now, is_alarmed, self.seq + 1) {
                self.seq += 1;
            }
        }
        self.raise_alerts(now);
        if self.entries.values().any(|e| e.observed.is_some()) {
            // Without peers nothing else makes old observations expire.
            self.request_refresh_at(now + IDLE_REFRESH_INTERVAL);
        }
    }

    fn expire(&mut self, now: MonoTime) {
        for reporter in self.reports.values_mut() {
            reporter.targets.retain(|_, o| o.is_current(now));
        }
        self.reports.retain(|_, r| now.since(r.at) <= MAX_AGE);
        self.upstream.targets.retain(|_, o| o.is_current(now));
        self.reported.retain(|_, (at, _)| now.since(*at) <= MAX_AGE);
    }

    /// Replaces the subtree's observations by the peer's sums, which include what the subtree
    /// reported last.
    fn add_upstream(&self, total: &mut OrderedMap<TargetTag, Observed>) {
        for (target, above) in &self.upstream.targets {
            let Some(below) = total.get_mut(target) else {
                total.insert(*target, *above);
                continue;
            };
            let reported = self.reported.get(target);
            let reported = reported.map_or(0, |(_, o)| o.outstanding);
            let others = above.outstanding.saturating_sub(reported);
            let last_answer = above.last_answer.max(below.last_answer);
            let counted = |o: &Observed| {
                let is_silent = o.last_silence > last_answer;
                if is_silent {
                    (o.witnesses, o.unanswered)
                } else {
                    (0, 0)
                }
            };
            let (witnesses, unanswered) = counted(above).max(counted(below));
            let has_samples = above.samples > 0;
            *below = Observed {
                at: above.at.max(below.at),
                log2_micros: above
                    .log2_micros
                    .filter(|_| has_samples)
                    .or(below.log2_micros),
                samples: if has_samples {
                    above.samples
                } else {
                    below.samples
                },
                outstanding: others + below.outstanding,
                unanswered,
                witnesses,
                last_answer,
                last_silence: above.last_silence.max(below.last_silence),
            };
        }
    }

    /// Returns whether targets have fallen silent a moment ago, so that answers matter.
    fn is_alarmed(&self, now: MonoTime) -> bool {
        let start = self.alarm_start;
        start.is_some_and(|start| now.since(start) <= ALARM_DURATION)
    }

    fn raise_alerts(&mut self, now: MonoTime) {
        let is_urgent = self.subtree.iter().any(|(t, o)| self.is_urgent(*t, o));
        let interval = if self.is_alarmed(now) {
            ALERT_INTERVAL
        } else {
            LATER_ALERT_INTERVAL
        };
        let next_alert = self.last_alert.map_or(now, |at| at + interval);
        let interval = if self.is_relay {
            RELAY_URGENT_INTERVAL
        } else {
            URGENT_INTERVAL
        };
        let next_urgent = self.last_urgent.map_or(now, |at| at + interval);
        for (is_due, last) in [(self.is_alert_due, next_alert), (is_urgent, next_urgent)] {
            if is_due && last > now {
                self.request_refresh_at(last);
            }
        }
        if self.is_alert_due && next_alert <= now {
            self.is_alert_due = false;
            self.last_alert = Some(now);
            self.alert_seq = self.seq;
        }
        if is_urgent && next_urgent <= now {
            self.last_urgent = Some(now);
            self.urgent_reports += 1;
        }
    }

    /// Returns whether a silence in the subtree has to be reported at once: nobody got an answer
    /// since, and the peer does not know it yet.
    fn is_urgent(&self, target: TargetTag, observed: &Observed) -> bool {
        if !observed.is_silent() || !self.entries.get(&target).is_some_and(TableEntry::is_silent) {
            return false;
        }
        self.reported.get(&target).is_none_or(|(_, before)| {
            let renewed = before.last_silence.map(|at| at + SILENCE_RENEWAL);
            !before.is_silent()
                || observed.witnesses > before.witnesses
                || observed.last_silence > renewed
        })
    }

    /// Returns the report to send now; `None` if there is nothing to report.
    pub(crate) fn report(&mut self, now: MonoTime, is_relay: bool) -> Option<ObservationReport> {
        self.is_relay = is_relay;
        let is_alarmed = self.is_alarmed(now);
        let is_due = |target: &TargetTag, observed: &Observed| {
            self.reported.get(target).is_none_or(|(at, before)| {
                let answered = before.last_answer.map(|at| at + ALARM_INTERVAL);
                let is_answer_new = is_alarmed && observed.last_answer > answered;
                now >= *at + RENEWAL_INTERVAL || is_answer_new
            })
        };
        let mut due: Vec<(bool, Option<MonoTime>, TargetTag, Observed)> = Vec::new();
        for (target, observed) in &self.subtree {
            let is_urgent = self.is_urgent(*target, observed);
            if is_urgent || is_due(target, observed) {
                let last = self.reported.get(target).map(|(at, _)| *at);
                due.push((!is_urgent, last, *target, *observed));
            }
        }
        due.sort_unstable_by_key(|(is_later, last, target, _)| (*is_later, *last, *target));
        let is_leaf = self.reports.is_empty();
        due.truncate(if is_leaf {
            MAX_OWN_REPORT
        } else {
            MAX_SUBTREE_REPORT
        });
        if due.is_empty() {
            return None;
        }
        let below = self.reports.values().filter(|r| !r.is_relay);
        let hops = below.map(|r| r.hops).max().unwrap_or(0);
        for (_, _, target, observed) in &due {
            self.reported.insert(*target, (now, *observed));
        }
        let targets = due.iter().map(|(_, _, t, o)| o.to_message(now, *t));
        Some(ObservationReport {
            from: self.id,
            hops: hops.saturating_add(1),
            relay: is_relay,
            targets: targets.collect(),
        })
    }

    /// Returns the observations that changed since `known`, and the place up to which the peer
    /// knows the table then.
    ///
    /// If `known` is of another table, the whole table is returned.
    pub(crate) fn delta(
        &self,
        now: MonoTime,
        known: ObservationMark,
    ) -> (ObservationMark, Vec<TargetObservation>) {
        let is_same = known.epoch == self.id;
        let since = if is_same { known.seq } else { 0 };
        let mut changed: Vec<(u64, bool, TargetObservation)> = Vec::new();
        for (target, entry) in &self.entries {
            let observed = entry.observed.filter(|o| o.is_current(now));
            if let Some(observed) = observed.filter(|_| entry.changed > since) {
                let message = observed.to_message(now, *target);
                changed.push((entry.changed, entry.is_silent(), message));
            }
        }
        changed.sort_unstable_by_key(|(seq, ..)| *seq);
        let mut seq = self.seq;
        if is_same && changed.len() > MAX_DELTA {
            // Silence goes first; what is left follows with the next response.
            let is_silent = |c: &(u64, bool, TargetObservation)| c.1;
            let silent = changed.iter().copied().filter(is_silent).take(MAX_DELTA);
            let silent: Vec<_> = silent.collect();
            changed.retain(|c| !c.1);
            let rest = changed.split_off(MAX_DELTA - silent.len());
            seq = rest.first().map_or(seq, |(next, ..)| next - 1);
            changed.extend(silent);
        }
        let mark = ObservationMark {
            epoch: self.id,
            seq,
        };
        (mark, changed.into_iter().map(|(_, _, m)| m).collect())
    }
}

/// Adds the reports of the relays, or those of the balancers behind this one.
fn add_reports(
    sums: &mut OrderedMap<TargetTag, Observed>,
    reports: &OrderedMap<ReporterId, Reporter>,
    of_relays: bool,
) {
    for reporter in reports.values().filter(|r| r.is_relay == of_relays) {
        for (target, observed) in &reporter.targets {
            sums.entry(*target)
                .and_modify(|sum| sum.add(observed))
                .or_insert(*observed);
        }
    }
}
