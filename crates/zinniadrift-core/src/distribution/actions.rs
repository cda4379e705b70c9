use std::sync::Arc;
use std::time::Duration;

use crate::ids::MemberId;
use crate::settings::ServiceCatalog;
use crate::units::Version;

/// An output of the distribution's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum DistributionAction {
    /// Make one watch call for the settings object; with a wait of zero it is a conditional read.
    ///
    /// The driver answers each call with exactly one `PlatformAnswer`, also if the call fails or
    /// times out, except a call that `StopWatch` cancelled.
    WatchPlatform {
        /// The object's revision above which the platform answers at once.
        after: u64,
        /// The longest time that the platform may hold the call.
        wait: Duration,
    },
    /// Cancel the pending watch call.
    StopWatch,
    /// Fetch a peer's settings document and answer with `PeerDocument`.
    PullFrom {
        /// The peer that announced a higher version.
        peer: MemberId,
    },
    /// Put a checked catalog in force.
    Install(Arc<ServiceCatalog>),
    /// Send the version in force to all live peers.
    Notify {
        /// The version.
        version: Version,
    },
    /// Write this daemon's status object and answer with `StatusWritten`.
    WriteStatus,
}
