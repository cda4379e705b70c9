use std::time::Duration;

use crate::units::MonoTime;

use crate::steering::Steering;
use crate::steering::placement::choice::Candidate;
use crate::steering::placement::eligibility::FailedOpen;
use crate::steering::routes::route_profile::RouteProfile;
use crate::steering::targets::target_record::TargetRecord;

/// The cost of a new flow at an idle target of the balancer's own zone with two slots, to which the
/// cost of the way to another zone is compared.
const IDLE_COST: f32 = 0.5;
/// The cost of a target in another zone while the balancer's own zone has room: it is chosen only if
/// no target of the zone can take the flow.
const OUT_OF_REACH_COST: f32 = 1e6;
/// The slowdown of a target that was unresponsive until a moment ago: the next flows to it, of any
/// balancer, find out whether it answers again.
const RETRY_SLOWDOWN: f32 = 16.0;
/// The time for which an answer shows that a target is alive.
const ANSWER_VALIDITY: Duration = Duration::from_secs(1);
/// The error of the time of an answer that another balancer got: rounded ages and the way of two or
/// three messages.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);
/// The span of the newest answers, whose targets are tried before those with older ones.
const NEWEST_ANSWERS: Duration = Duration::from_millis(50);

impl Steering {
    /// Makes the candidates' costs such that each target's share of the new flows is proportional to
    /// its speed, if observations are shared.
    pub(in crate::steering) fn spread_by_speed(
        &mut self,
        now: MonoTime,
        profile: &RouteProfile,
        candidates: &mut [&mut Candidate],
    ) {
        if !self.shares_observations() {
            return;
        }
        let mut in_reach: Vec<&mut Candidate> = Vec::with_capacity(candidates.len());
        let is_heavy = |c: &Candidate| !profile.has_long_flows() && c.zone_cost > IDLE_COST;
        let stays_in_zone =
            candidates.iter().any(|c| is_heavy(c)) && self.zone_has_room(now, candidates);
        for candidate in candidates.iter_mut() {
            if is_heavy(candidate) && stays_in_zone {
                candidate.share_cost = OUT_OF_REACH_COST;
                continue;
            }
            if is_heavy(candidate) {
                candidate.zone_cost = 0.0;
            }
            in_reach.push(candidate);
        }
        let candidates = in_reach.as_mut_slice();
        let considered = |index| self.directory.get(index).map(|r| r.share.considered());
        let latest = candidates.iter().filter_map(|c| considered(c.index));
        let latest = latest.max().unwrap_or_default();
        let mean = self.mean_position(candidates);
        for candidate in candidates {
            let Some(record) = self.directory.get_mut(candidate.index) else {
                continue;
            };
            let capacity = capacity(candidate);
            let share = &mut record.share;
            share.level_out(now, latest, mean, capacity, &mut self.rng);
            if profile.has_long_flows() {
                // A nearer target counts for several flows more, not for a fraction of the first.
                let is_far = candidate.remote_factor > 1.0;
                candidate.unit = record.share.phase() + f32::from(u8::from(is_far));
            } else {
                candidate.share_cost = record.share.distance(mean, capacity);
                candidate.share = capacity;
                candidate.slowdown = 1.0;
                candidate.unit = 0.0;
            }
        }
    }

    /// Returns whether at least half of the candidates in the balancer's own zone have a free slot, as
    /// it sees itself and as all balancers see it.
    ///
    /// While it has, a flow whose bytes cost more on the way to another zone than an idle target
    /// saves stays in the zone.
    fn zone_has_room(&self, now: MonoTime, candidates: &[&mut Candidate]) -> bool {
        let near = candidates.iter().filter(|c| c.zone_cost <= 0.0);
        let (mut count, mut with_room) = (0, 0);
        for candidate in near {
            let record = self.directory.get(candidate.index);
            let has_room = record.is_some_and(|r| {
                let is_full = r.active_requests >= u32::from(r.instance.slots);
                !is_full && !self.is_crowded_for_all(now, r)
            });
            count += 1;
            with_room += usize::from(has_room);
        }
        count > 0 && with_room * 2 >= count
    }

    /// Returns the mean position of the candidates, weighted by their capacities.
    fn mean_position(&mut self, candidates: &[&mut Candidate]) -> f64 {
        let (mut sum, mut total) = (0.0, 0.0);
        for candidate in candidates {
            if let Some(record) = self.directory.get_mut(candidate.index) {
                let capacity = f64::from(capacity(candidate));
                sum += capacity * record.share.prepare(&mut self.rng);
                total += capacity;
            }
        }
        sum / total
    }

    /// Records a new flow at the target of `candidate`.
    pub(in crate::steering) fn count_share(&mut self, candidate: &Candidate) {
        if !self.shares_observations() {
            return;
        }
        if let Some(record) = self.directory.get_mut(candidate.index) {
            record.share.place(candidate.share, &mut self.rng);
        }
    }

    /// Returns the factor by which the target processes requests more slowly than the median one,
    /// as all balancers see it; `slowdown` is what this balancer alone knows.
    pub(in crate::steering) fn shared_slowdown(
        &self,
        now: MonoTime,
        record: &TargetRecord,
        slowdown: f32,
    ) -> f32 {
        if self.observations.is_avoidance_over(now, record.tag) {
            return RETRY_SLOWDOWN;
        }
        let speed = self.observations.speed_factor(now, record.tag);
        speed.map_or(slowdown, f32::recip)
    }

    /// Returns whether the slots of the target are all at work for some balancers.
    pub(in crate::steering) fn is_crowded_for_all(
        &self,
        now: MonoTime,
        record: &TargetRecord,
    ) -> bool {
        let outstanding = self.observations.outstanding(now, record.tag);
        outstanding.is_some_and(|n| n >= u32::from(record.instance.slots))
    }

    /// Keeps those candidates for a retransmitted opening packet that are known to be alive: that
    /// answered after the failed packet was sent, or else in the last second, and of these those in
    /// another zone than the target that did not answer. After a loss of many targets the newest
    /// answers are those of living ones.
    pub(in crate::steering) fn prefer_answering(
        &self,
        now: MonoTime,
        failed: Option<FailedOpen>,
        candidates: Vec<Candidate>,
    ) -> Vec<Candidate> {
        let Some(failed) = failed.filter(|_| self.shares_observations()) else {
            return candidates;
        };
        let zone = self.directory.get(failed.target).map(|r| &r.instance.zone);
        let answer = |c: &Candidate| {
            let record = self.directory.get(c.index)?;
            let is_silent = self.observations.is_silent(record.tag);
            let answer = self.last_answer(now, record).filter(|_| !is_silent);
            answer.filter(|at| now.since(*at) <= ANSWER_VALIDITY)
        };
        let newest = candidates.iter().filter_map(answer).max();
        let newest = newest.unwrap_or(now) - NEWEST_ANSWERS;
        for since in [failed.sent + CLOCK_MARGIN, newest, now - ANSWER_VALIDITY] {
            let answering = |c: &&Candidate| answer(c) >= Some(since);
            let alive: Vec<Candidate> = candidates.iter().filter(answering).copied().collect();
            let is_elsewhere = |c: &&Candidate| {
                let record = self.directory.get(c.index);
                record.map(|r| &r.instance.zone) != zone
            };
            let elsewhere: Vec<Candidate> = alive.iter().filter(is_elsewhere).copied().collect();
            for list in [elsewhere, alive] {
                if !list.is_empty() {
                    return list;
                }
            }
        }
        candidates
    }
}

/// Returns the part of the new flows that the target should get, in slots of a target of median
/// speed in the balancer's zone.
fn capacity(candidate: &Candidate) -> f32 {
    candidate.slots / candidate.slowdown / (1.0 + candidate.zone_cost / IDLE_COST)
}
