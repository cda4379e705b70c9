use bytes::Bytes;
use derive_more::Display;

use crate::ids::{MemberId, ZoneName};
use crate::units::Version;

/// An input of the distribution's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum DistributionEvent {
    /// A `WatchPlatform` call was answered or failed.
    PlatformAnswer {
        /// The object's revision; ignored if there is no document.
        revision: u64,
        /// The document as JSON; `None` if nothing changed or the object does not exist.
        document: Result<Option<Bytes>, PlatformFailure>,
    },
    /// A peer announced its version in a notice or a heartbeat.
    PeerVersion {
        /// The peer.
        from: MemberId,
        /// The version that it has in force.
        version: Version,
    },
    /// A pull from a peer ended.
    PeerDocument {
        /// The peer that was asked.
        from: MemberId,
        /// The document as JSON; `None` if the peer did not answer or has none.
        document: Option<Bytes>,
    },
    /// The set of live peers changed; the daemon itself need not be listed.
    Members(Vec<LiveMember>),
    /// A write of the status object ended.
    StatusWritten {
        /// Whether the platform confirmed the write.
        ok: bool,
    },
    /// A deadline may have passed; see
    /// [`Distribution::next_deadline`](super::Distribution::next_deadline).
    Tick,
}

/// A live daemon of the user's group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LiveMember {
    /// The daemon's id.
    pub id: MemberId,
    /// The daemon's availability zone.
    pub zone: ZoneName,
}

/// A call to the platform that failed or was not answered in time.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("the platform did not answer")]
pub struct PlatformFailure;
