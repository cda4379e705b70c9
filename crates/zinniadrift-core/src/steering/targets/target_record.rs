use std::time::Duration;

use derive_more::Display;

use crate::units::MonoTime;

use crate::steering::admission::ConcurrencyLimit;
use crate::steering::directory::cookie::TargetTag;
use crate::steering::flows::tracked_flow::FlowPhase;
use crate::steering::observations::own_observation::OwnObservation;
use crate::steering::placement::share::Share;
use crate::steering::refusals::RefusalHistory;
use crate::steering::targets::liveness::Liveness;
use crate::steering::{InstanceState, TargetInstance};

/// Whether a target is registered, according to the store.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Presence {
    /// The store lists the target.
    #[display("listed")]
    Listed,
    /// The store lists the target again after it had been removed, because the store came back from
    /// an older copy; it gets no new flow before it has registered again.
    #[display("doubtful")]
    Doubtful {
        /// When the older copy was read.
        since: MonoTime,
    },
    /// The store no longer lists the target, but it may be alive.
    #[display("lapsed")]
    Lapsed {
        /// When it was first missing from the store.
        at: MonoTime,
    },
    /// The target has ended.
    #[display("gone")]
    Gone {
        /// When its end became certain.
        at: MonoTime,
        /// When the state that showed its end was current.
        confirmed: MonoTime,
    },
}

impl Presence {
    /// Returns whether the store lists the target.
    pub(crate) const fn is_listed(self) -> bool {
        matches!(self, Self::Listed | Self::Doubtful { .. })
    }
}

/// The state of a target as this balancer knows it.
#[derive(Clone, Debug)]
pub(crate) struct TargetRecord {
    pub(crate) instance: TargetInstance,
    /// The target's tag in cookies; kept because every packet needs it and it is a hash of the
    /// name.
    pub(crate) tag: TargetTag,
    pub(crate) presence: Presence,
    /// When this balancer learned of the instance.
    pub(crate) known_since: MonoTime,
    /// When the instance has warmed up.
    pub(crate) warm_up_end: MonoTime,
    /// When this balancer learned of the instance's start; `None` if the instance was in its first
    /// list.
    pub(crate) start_seen_at: Option<MonoTime>,
    /// The opening packets of this balancer's flows that await a response.
    pub(crate) pending_opens: u32,
    /// The requests of this balancer's flows that await a response.
    pub(crate) active_requests: u32,
    /// The requests that wait in this balancer for room at the target.
    pub(crate) waiting_requests: u32,
    /// The number of this balancer's requests that the target may have at once.
    pub(crate) limit: ConcurrencyLimit,
    /// The flows that this balancer tracks and that are not closed.
    pub(crate) open_flows: u32,
    /// The opening packets in a row without a response.
    unanswered_opens: u32,
    /// The time until which the target gets no new flow.
    suspect_until: MonoTime,
    /// The moving average of the response time in microseconds, over `samples` responses.
    response_us: f32,
    samples: u32,
    last_sample: MonoTime,
    pub(crate) liveness: Liveness,
    /// The refusals among the responses to this balancer's callers.
    pub(crate) refusals: RefusalHistory,
    /// What this balancer tells others of the target.
    pub(crate) observed: OwnObservation,
    /// The new flows that the target got lately, if observations are shared.
    pub(crate) share: Share,
}

/// The weight of a new sample in the average response time: about the last eight samples count.
const SAMPLE_WEIGHT: f32 = 0.125;
/// The number of samples from which the average response time is used.
const MIN_SAMPLES: u32 = 4;
/// The age of the last sample beyond which the average is ignored, so that an avoided target is
/// tried again.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(2);
/// The maximum number of doublings of the suspicion timeout.
const MAX_SUSPICION_DOUBLINGS: u32 = 3;

impl TargetRecord {
    pub(crate) fn new(instance: TargetInstance, now: MonoTime) -> Self {
        let warm_up_end = now + instance.warm_up;
        Self {
            tag: TargetTag::from_name(&instance.name),
            instance,
            known_since: now,
            presence: Presence::Listed,
            warm_up_end,
            start_seen_at: None,
            pending_opens: 0,
            active_requests: 0,
            waiting_requests: 0,
            limit: ConcurrencyLimit::new(),
            open_flows: 0,
            unanswered_opens: 0,
            suspect_until: MonoTime::default(),
            response_us: 0.0,
            samples: 0,
            last_sample: MonoTime::default(),
            liveness: Liveness::default(),
            refusals: RefusalHistory::default(),
            observed: OwnObservation::default(),
            share: Share::default(),
        }
    }

    /// Applies a new registration under the same name; a restart of the target resets all
    /// observations.
    pub(crate) fn update(&mut self, instance: TargetInstance, now: MonoTime) {
        let restarted = self.instance.started_at_ms != instance.started_at_ms;
        if restarted {
            *self = Self::new(instance, now);
            self.start_seen_at = Some(now);
            return;
        }
        self.warm_up_end = now + instance.warm_up;
        self.instance = instance;
        self.presence = Presence::Listed;
    }

    /// Applies an entry of an older copy of the store, from before what is already known of this
    /// target.
    pub(crate) fn update_from_copy(&mut self, instance: TargetInstance, now: MonoTime) {
        if instance.started_at_ms > self.instance.started_at_ms {
            self.update(instance, now);
            return;
        }
        if !self.presence.is_listed() {
            self.presence = Presence::Doubtful { since: now };
        }
        // The copy may hold an earlier instance, and one that began to drain never takes new flows
        // again.
        let is_same = instance.started_at_ms == self.instance.started_at_ms;
        if is_same && self.instance.state != InstanceState::Draining {
            self.instance = instance;
        }
    }

    /// Returns whether `other`, which is registered at the same address, has taken it over.
    ///
    /// That takes an entry that is known to be later, and no response of this target since.
    pub(crate) fn is_replaced_by(&self, other: &Self) -> bool {
        let starts = self
            .instance
            .started_at_ms
            .zip(other.instance.started_at_ms);
        let is_later = match starts {
            // The first list has entries of any age.
            Some((own, others)) => others > own && other.known_since >= self.known_since,
            None => other.known_since > self.known_since,
        };
        let responded = self.liveness.last_response();
        is_later && responded.is_none_or(|at| at <= other.known_since)
    }

    /// Counts a flow that entered `phase`.
    pub(crate) fn enter_phase(&mut self, phase: FlowPhase) {
        match phase {
            FlowPhase::Opening => self.pending_opens += 1,
            FlowPhase::AwaitingResponse { .. } => self.active_requests += 1,
            FlowPhase::Waiting => self.waiting_requests += 1,
            FlowPhase::Idle | FlowPhase::Closed => {}
        }
    }

    /// Counts a flow that left `phase`.
    pub(crate) fn leave_phase(&mut self, phase: FlowPhase) {
        match phase {
            FlowPhase::Opening => self.pending_opens = self.pending_opens.saturating_sub(1),
            FlowPhase::AwaitingResponse { .. } => {
                self.active_requests = self.active_requests.saturating_sub(1);
            }
            FlowPhase::Waiting => self.waiting_requests = self.waiting_requests.saturating_sub(1),
            FlowPhase::Idle | FlowPhase::Closed => {}
        }
    }

    /// Returns the number of this balancer's opening packets and requests that await a response,
    /// those included that wait in the balancer.
    pub(crate) fn outstanding(&self) -> u32 {
        self.pending_opens + self.active_requests + self.waiting_requests
    }

    /// Returns whether the target may get new flows.
    pub(crate) fn accepts_new_flows(&self) -> bool {
        self.presence == Presence::Listed && self.instance.state == InstanceState::Ready
    }

    /// Returns whether the target is avoided because it did not respond to opening packets or is
    /// dead.
    pub(crate) fn is_suspect(&self, now: MonoTime) -> bool {
        now < self.suspect_until || self.liveness.is_dead()
    }

    /// Records an opening packet without a response in time; `base` is the first suspicion timeout.
    pub(crate) fn record_unanswered_open(&mut self, now: MonoTime, base: Duration) {
        let doublings = self.unanswered_opens.min(MAX_SUSPICION_DOUBLINGS);
        self.unanswered_opens += 1;
        self.suspect_until = now + base * (1 << doublings);
    }

    /// Records that the target responded.
    pub(crate) fn record_response(&mut self, now: MonoTime) {
        self.unanswered_opens = 0;
        self.suspect_until = MonoTime::default();
        self.liveness.record_response(now);
        self.observed.record_answer(now);
    }

    /// Records the time from a request to its response.
    pub(crate) fn record_response_time(&mut self, now: MonoTime, took: Duration) {
        self.observed.record_response_time(now, took);
        let us = took.as_micros() as f32;
        self.response_us = if self.samples == 0 {
            us
        } else {
            self.response_us + SAMPLE_WEIGHT * (us - self.response_us)
        };
        self.samples = self.samples.saturating_add(1);
        self.last_sample = now;
    }

    /// Returns the average response time in microseconds if there are enough recent samples.
    pub(crate) fn response_us(&self, now: MonoTime) -> Option<f32> {
        let current = self.samples >= MIN_SAMPLES && now.since(self.last_sample) <= MAX_SAMPLE_AGE;
        current.then_some(self.response_us)
    }
}
