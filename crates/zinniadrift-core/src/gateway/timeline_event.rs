use derive_more::Display;

use super::HedgeStop;
use crate::ids::{ServiceId, TargetId};
use crate::units::Version;

/// A state change that a gateway reports to the time line.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TimelineEvent {
    /// New settings are in force.
    #[display("settings version {_0} in force")]
    SettingsInForce(Version),
    /// A target failed repeatedly and is ejected: it gets no requests for a while.
    #[display("target {_0} ejected")]
    TargetEjected(TargetId),
    /// An ejected target gets requests again.
    #[display("target {_0} restored")]
    TargetRestored(TargetId),
    /// A service's queue has not been empty for a while; the newest requests are now served first.
    #[display("service {_0} overloaded")]
    OverloadStarted(ServiceId),
    /// The service's queue became empty.
    #[display("service {_0} no longer overloaded")]
    OverloadEnded(ServiceId),
    /// A slow request got no second attempt for a reason other than the budget.
    #[display("service {_0}: second attempts stopped, {_1}")]
    HedgingStopped(ServiceId, HedgeStop),
    /// A slow request got a second attempt again.
    #[display("service {_0}: second attempts resumed")]
    HedgingResumed(ServiceId),
    /// The platform does not answer; non-idempotent requests with an idempotency key are not run.
    #[display("platform unavailable for claims")]
    PlatformDown,
    /// The platform answers again.
    #[display("platform available for claims")]
    PlatformUp,
    /// The gateway accepts no new requests.
    #[display("leaving")]
    Leaving,
}
