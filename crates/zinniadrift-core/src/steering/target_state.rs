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
    pub(crate) warm_at: MonoTime,
    /// Opening packets of this balancer's flows that wait for an answer.
    pub(crate) opening: u32,
    /// Requests of this balancer's flows that wait for an answer.
    pub(crate) busy: u32,
    /// Flows that this balancer has seen and that have not ended.
    pub(crate) flows: u32,
    /// Opening packets in a row that were not answered.
    unanswered: u32,
    /// Until when it gets no new flow.
    suspect_until: MonoTime,
    /// The smoothed time to answer in microseconds, and its number of samples.
    answer_us: f32,
    samples: u32,
    last_sample: MonoTime,
    pub(crate) liveness: Liveness,
}

/// The weight of a new sample in the smoothed time to answer: about the last eight count.
const SAMPLE_WEIGHT: f32 = 0.125;
/// The number of samples from which the smoothed time is used.
const MIN_SAMPLES: u32 = 4;
/// The age from which a smoothed time says nothing, so that an avoided target is tried again.
const SAMPLE_LIFE: Duration = Duration::from_secs(2);
/// The longest doubling of the time under suspicion.
const MAX_SUSPECT_DOUBLINGS: u32 = 3;

impl TargetRecord {
    pub(crate) fn new(instance: TargetInstance, now: MonoTime) -> Self {
        let warm_at = now + instance.warm_up;
        Self {
            tag: TargetTag::from_name(&instance.name),
            instance,
            presence: Presence::Listed,
            warm_at,
            opening: 0,
            busy: 0,
            flows: 0,
            unanswered: 0,
            suspect_until: MonoTime::default(),
            answer_us: 0.0,
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
        self.warm_at = now + instance.warm_up;
        self.instance = instance;
        self.presence = Presence::Listed;
    }

    /// Counts a flow that entered `phase`.
    pub(crate) fn enter(&mut self, phase: FlowPhase) {
        match phase {
            FlowPhase::Opening => self.opening += 1,
            FlowPhase::Busy { .. } => self.busy += 1,
            FlowPhase::Idle | FlowPhase::Closed => {}
        }
    }

    /// Counts a flow that left `phase`.
    pub(crate) fn leave(&mut self, phase: FlowPhase) {
        match phase {
            FlowPhase::Opening => self.opening = self.opening.saturating_sub(1),
            FlowPhase::Busy { .. } => self.busy = self.busy.saturating_sub(1),
            FlowPhase::Idle | FlowPhase::Closed => {}
        }
    }

    /// Returns the work that this balancer has given to the target and that is not done.
    pub(crate) fn load(&self) -> u32 {
        self.opening + self.busy
    }

    /// Tells whether the target may get new flows.
    pub(crate) fn is_open(&self) -> bool {
        self.presence == Presence::Listed && self.instance.state == InstanceState::Ready
    }

    /// Tells whether the target is avoided because it left opening packets unanswered.
    pub(crate) fn is_suspect(&self, now: MonoTime) -> bool {
        now < self.suspect_until || self.liveness.is_dead()
    }

    /// Records an opening packet that was not answered in time.
    pub(crate) fn note_silence(&mut self, now: MonoTime, base: Duration) {
        let doublings = self.unanswered.min(MAX_SUSPECT_DOUBLINGS);
        self.unanswered += 1;
        self.liveness.note_repeat();
        self.suspect_until = now + base * (1 << doublings);
    }

    /// Records that the target answered.
    pub(crate) fn note_answer(&mut self) {
        self.unanswered = 0;
        self.suspect_until = MonoTime::default();
        self.liveness.note_answer();
    }

    /// Adds one observed time from a request to its answer.
    pub(crate) fn note_answer_time(&mut self, now: MonoTime, took: Duration) {
        let us = took.as_micros() as f32;
        self.answer_us = if self.samples == 0 {
            us
        } else {
            self.answer_us + SAMPLE_WEIGHT * (us - self.answer_us)
        };
        self.samples = self.samples.saturating_add(1);
        self.last_sample = now;
    }

    /// Returns the smoothed time to answer in microseconds, if enough answers were seen lately.
    pub(crate) fn answer_us(&self, now: MonoTime) -> Option<f32> {
        let current = self.samples >= MIN_SAMPLES && now.since(self.last_sample) <= SAMPLE_LIFE;
        current.then_some(self.answer_us)
    }
}
