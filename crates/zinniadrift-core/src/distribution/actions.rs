use std::sync::Arc;
use std::time::Duration;

use crate::ids::MemberId;
use crate::settings::ServiceCatalog;
use crate::units::Version;

/// Is an output of the distribution's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum DistributionAction {
    /// Make one watch call for the settings object; a wait of zero is a plain conditional read.
    ///
    /// The driver answers each call with one `PlatformAnswer`, also when the call fails or times
    /// out, and gives no answer to a call that `StopWatch` ended.
    WatchPlatform {
        /// The object's revision above which the platform answers at once.
        after: u64,
        /// The longest time that the platform may hold the call.
        wait: Duration,
    },
    /// Abandon the pending watch call.
    StopWatch,
    /// Fetch a peer's settings document and answer with `PeerDocument`.
    PullFrom {
        /// The peer that announced a higher version.
        peer: MemberId,
    },
    /// Put a checked catalog in force.
    Install(Arc<ServiceCatalog>),
    /// Tell all live peers the version in force.
    Notify {
        /// The version.
        version: Version,
    },
    /// Write this daemon's status object and answer with `StatusWritten`.
    WriteStatus,
}
