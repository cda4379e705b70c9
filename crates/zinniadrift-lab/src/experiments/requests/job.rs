use std::time::Duration;

use zinniadrift_core::error::ErrorKind;
use zinniadrift_core::units::MonoTime;

/// A unit of work that a caller wants a target to run.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The arrival time of the caller's first request.
    pub at: MonoTime,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// The time that a run takes on a warm target.
    pub service_time: Duration,
}

/// A caller's request for a job.
#[derive(Clone, Debug)]
pub struct Request {
    /// The index of the job.
    pub job: usize,
    /// The index of the gateway.
    pub gateway: usize,
    /// The time of arrival at the gateway.
    pub arrived_at: MonoTime,
    /// The number of earlier requests of the same caller for the job; 0 for the first.
    pub retry: u32,
    /// The time at which the caller got the answer or stopped waiting.
    pub ended_at: Option<MonoTime>,
    /// The outcome that the caller observed.
    pub outcome: Option<CallerOutcome>,
    /// The number of answers sent to the caller; more than one is an error.
    pub answers: u32,
    /// The reason why the caller does not know the outcome, as far as the simulation can tell.
    pub cause: Option<UnknownCause>,
    /// The number of runs that targets started for this request.
    pub runs: u32,
}

/// The outcome of a request as observed by its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// The complete response to the job arrived.
    Done,
    /// A response arrived that belongs to another job or is incomplete.
    WrongResponse,
    /// The gateway reported that the job did not run; the number is the retry delay in ms.
    NotRun(ErrorKind, u64),
    /// The gateway reported that the job may have run.
    Unknown(ErrorKind),
    /// No answer arrived.
    NoAnswer,
}

/// The reason why a caller does not know whether its job ran.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum UnknownCause {
    /// The gateway died.
    GatewayDeath,
    /// The gateway was paused.
    GatewayPause,
    /// The connection to the target failed during the attempt.
    Connection,
    /// The deadline passed during the attempt.
    Deadline,
    /// An earlier request for the same job holds the claim.
    Duplicate,
}

impl UnknownCause {
    /// All causes.
    pub const ALL: [Self; 5] = [
        Self::GatewayDeath,
        Self::GatewayPause,
        Self::Connection,
        Self::Deadline,
        Self::Duplicate,
    ];

    /// Returns the cause's name in figures.
    pub const fn name(self) -> &'static str {
        match self {
            Self::GatewayDeath => "gateway_death",
            Self::GatewayPause => "gateway_pause",
            Self::Connection => "connection",
            Self::Deadline => "deadline",
            Self::Duplicate => "duplicate",
        }
    }
}
