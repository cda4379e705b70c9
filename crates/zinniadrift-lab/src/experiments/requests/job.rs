use std::time::Duration;

use zinniadrift_core::error::ErrorKind;
use zinniadrift_core::units::MonoTime;

/// Is one piece of work that a caller wants done.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// When the caller first asks.
    pub at: MonoTime,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// The time that it takes on a warm target.
    pub service_time: Duration,
}

/// Is one request of a caller for a piece of work.
#[derive(Clone, Debug)]
pub struct Request {
    /// The index of the work.
    pub job: usize,
    /// The index of the gateway.
    pub gateway: usize,
    /// When it reached the gateway.
    pub arrived_at: MonoTime,
    /// The number of earlier requests for the same work by the same caller.
    pub retry: u32,
    /// When the caller got the answer or stopped waiting.
    pub ended_at: Option<MonoTime>,
    /// What the caller was told.
    pub outcome: Option<CallerOutcome>,
    /// The answers sent to the caller, which must be at most one.
    pub answers: u32,
    /// Why an `unknown` answer was given, as far as the simulation knows.
    pub cause: Option<UnknownCause>,
    /// The times that a target started the work for this request.
    pub runs: u32,
}

/// Is how a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// The response to the work arrived complete.
    Done,
    /// A response arrived that belongs to other work or is incomplete.
    WrongResponse,
    /// The work was reported as not run.
    NotRun(ErrorKind, u64),
    /// The work was reported as possibly run.
    Unknown(ErrorKind),
    /// No answer arrived.
    NoAnswer,
}

/// Lists why a caller does not know whether its work ran.
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
    /// An earlier request for the same work holds the claim.
    Duplicate,
}

impl UnknownCause {
    /// Holds every cause.
    pub const ALL: [Self; 5] = [
        Self::GatewayDeath,
        Self::GatewayPause,
        Self::Connection,
        Self::Deadline,
        Self::Duplicate,
    ];

    /// Returns the name in figures.
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
