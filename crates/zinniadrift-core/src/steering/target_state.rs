use std::time::Duration;

use derive_more::Display;

use crate::units::MonoTime;

use super::cookie::TargetTag;
use super::liveness::Liveness;
use super::tracked_flow::FlowPhase;
use super::{InstanceState, TargetInstance};

/// Tells whether the store still lists a target.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum Presence {
    /// The store lists it.
    #[display("listed")]
    Listed,
    /// The store does not list it any more, but it may live.
    #[display("lapsed")]
    Lapsed {
        /// When it was first missing.
        at: MonoTime,
    },
    /// It has ended.
    #[display("gone")]
    Gone {
        /// When that became certain.
        at: MonoTime,
    },
}

/// Holds what this balancer knows of one target.
#[derive(Clone, Debug)]
pub(crate) struct TargetRecord {
    pub(crate) instance: TargetInstance,
    /// What cookies call the target; it follows from the name and is needed for every packet.
    pub(crate) tag: TargetTag,
    pub(crate) presence: Presence,
    /// When the instance stops being slow from its start.
    pub(crate) warm_up_end: MonoTime,
    /// Opening packets of this balancer's flows that wait for an answer.
    pub(crate) pending_opens: u32,
    /// Requests of this balancer's flows that wait for an answer.
    pub(crate) active_requests: u32,
    /// Flows that this balancer has seen and that have not ended.
    pub(crate) open_flows: u32,
    /// Opening packets in a row that were not answered.
    unanswered_opens: u32,
    /// Until when it gets no new flow.
    suspect_until: MonoTime,
    /// The smoothed time to answer in microseconds, and its number of samples.
    response_us: f32,
    samples: u32,
    last_sample: MonoTime,
    pub(crate) liveness: Liveness,
}

/// The weight of a new sample in the smoothed time to answer: about the last eight count.
const SAMPLE_WEIGHT: f32 = 0.125;
/// The number of samples from which the smoothed time is used.
const MIN_SAMPLES: u32 = 4;
/// The age from which a smoothed time says nothing, so that an avoided target is tried again.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(2);
/// The longest doubling of the time under suspicion.
const MAX_SUSPICION_DOUBLINGS: u32 = 3;

impl TargetRecord {
    pub(crate) fn new(instance: TargetInstance, now: MonoTime) -> Self {
        let warm_up_end = now + instance.warm_up;
        Self {
            tag: TargetTag::from_name(&instance.name),
            instance,
            presence: Presence::Listed,
            warm_up_end,
            pending_opens: 0,
            active_requests: 0,
            open_flows: 0,
            unanswered_opens: 0,
            suspect_until: MonoTime::default(),
            response_us: 0.0,
            samples: 0,
            last_sample: MonoTime::default(),
            liveness: Liveness::default(),
        }
    }

    /// Takes a new registration of the same name; a new start forgets what was observed.
    pub(crate) fn update(&mut self, instance: TargetInstance, now: MonoTime) {
        let restarted = self.instance.started_at_ms != instance.started_at_ms;
        if restarted {
            *self = Self::new(instance, now);
            return;
        }
        self.warm_up_end = now + instance.warm_up;
        self.instance = instance;
        self.presence = Presence::Listed;
    }

    /// Counts a flow that entered `phase`.
    pub(crate) fn enter_phase(&mut self, phase: FlowPhase) {
        match phase {
            FlowPhase::Opening => self.pending_opens += 1,
            FlowPhase::AwaitingResponse { .. } => self.active_requests += 1,
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
            FlowPhase::Idle | FlowPhase::Closed => {}
        }
    }

    /// Returns the work that this balancer has given to the target and that is not done.
    pub(crate) fn outstanding(&self) -> u32 {
        self.pending_opens + self.active_requests
    }

    /// Tells whether the target may get new flows.
    pub(crate) fn accepts_new_flows(&self) -> bool {
        self.presence == Presence::Listed && self.instance.state == InstanceState::Ready
    }

    /// Tells whether the target is avoided because it left opening packets unanswered.
    pub(crate) fn is_suspect(&self, now: MonoTime) -> bool {
        now < self.suspect_until || self.liveness.is_dead()
    }

    /// Records an opening packet that was not answered in time.
    pub(crate) fn record_unanswered_open(&mut self, now: MonoTime, base: Duration) {
        let doublings = self.unanswered_opens.min(MAX_SUSPICION_DOUBLINGS);
        self.unanswered_opens += 1;
        self.liveness.record_retransmission();
        self.suspect_until = now + base * (1 << doublings);
    }

    /// Records that the target answered.
    pub(crate) fn record_response(&mut self) {
        self.unanswered_opens = 0;
        self.suspect_until = MonoTime::default();
        self.liveness.record_response();
    }

    /// Adds one observed time from a request to its answer.
    pub(crate) fn record_response_time(&mut self, now: MonoTime, took: Duration) {
        let us = took.as_micros() as f32;
        self.response_us = if self.samples == 0 {
            us
        } else {
            self.response_us + SAMPLE_WEIGHT * (us - self.response_us)
        };
        self.samples = self.samples.saturating_add(1);
        self.last_sample = now;
    }

    /// Returns the smoothed time to answer in microseconds, if enough answers were seen lately.
    pub(crate) fn response_us(&self, now: MonoTime) -> Option<f32> {
        let current = self.samples >= MIN_SAMPLES && now.since(self.last_sample) <= MAX_SAMPLE_AGE;
        current.then_some(self.response_us)
    }
}
