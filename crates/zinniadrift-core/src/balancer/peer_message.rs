use super::BaseSet;
use crate::flow::Pin;
use crate::membership::{Heartbeat, PublicationMark};
use crate::units::Version;

/// The largest datagram between members, in bytes of UDP payload.
pub const MAX_PEER_DATAGRAM_BYTES: usize = 1_400;

/// The most pins in one message; with every pin in a group of its own, and 24 bytes for the
/// message's other fields, they still fit the largest datagram.
pub const MAX_PINS: usize = 36;

/// IPv4 and UDP headers, and the envelope with group name, sender and incarnation.
const ENVELOPE_BYTES: usize = 28 + 28;
/// Service, target, time and length prefixes of a group of pins.
const GROUP_BYTES: usize = 5 + 5 + 9 + 2 + 4;
/// Address and port of a pin.
const PIN_BYTES: usize = 4 + 3;
/// The time difference of a pin; a group of equal times has none.
const TIME_BYTES: usize = 3;
/// Bytes of one publication of old flows, well below [`MAX_PEER_DATAGRAM_BYTES`].
const OLD_FLOWS_BYTES: usize = 1_200;
const STATUS_BYTES: usize = 2 + 5 + 2 + 9 + 9 + 4;
const BASE_TARGET_BYTES: usize = 2 + 5 + 3;
const MARK_BYTES: usize = 2 + 5 + 9 + 5;

/// Is a message between two balancers of a user's group.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Tells that the sender is alive and what it holds.
    Heartbeat(Heartbeat),
    /// Tells where flows go; the receiver acknowledges it.
    Publish {
        /// The number within the sender's incarnation.
        number: u64,
        /// The assigned flows; as many as fit a datagram.
        pins: Vec<Pin>,
    },
    /// Confirms that the receiver stored a publication.
    PublishAck {
        /// The confirmed publication.
        number: u64,
    },
    /// Tells that the sender holds this version of the settings.
    SettingsNotice {
        /// The sender's version.
        version: Version,
    },
    /// Asks for all pins and base sets.
    SnapshotRequest {
        /// Chosen by the requester and repeated in the parts.
        id: u32,
        /// The part that the requester lacks; a request for part 0 starts a new snapshot.
        index: u32,
    },
    /// Is one part of a snapshot.
    SnapshotPart {
        /// The request that it answers.
        id: u32,
        /// The part's position.
        index: u32,
        /// The number of parts.
        total: u32,
        /// The sender's last publication when the snapshot was taken.
        publication: u64,
        /// Up to which publications of other members the snapshot is complete; in part 0 only.
        marks: Vec<PublicationMark>,
        /// Some of the sender's pins, at most [`MAX_PINS`].
        pins: Vec<Pin>,
        /// Some of the sender's base sets.
        bases: Vec<BaseSet>,
    },
    /// Passes flows that follow the base table to one peer, from a member that leaves.
    Handover {
        /// The number within the sender's handover.
        number: u64,
        /// The flows, at most [`MAX_PINS`]; their times have no meaning.
        pins: Vec<Pin>,
    },
    /// Confirms that the receiver stored flows of a leaving member.
    HandoverAck {
        /// The confirmed message.
        number: u64,
    },
    /// Tells that the sender stops.
    Goodbye,
}

impl PeerMessage {
    /// Estimates the message's bytes on the wire, including IP and UDP headers.
    ///
    /// Pins of equal service and target that follow each other share a group.
    pub fn encoded_len(&self) -> usize {
        ENVELOPE_BYTES + self.body_len()
    }

    fn body_len(&self) -> usize {
        match self {
            Self::Heartbeat(h) => {
                let text = h.name.len() + AsRef::<str>::as_ref(&h.zone).len();
                text + 50 + h.rebases.len() * STATUS_BYTES
            }
            Self::Publish { pins, .. } | Self::Handover { pins, .. } => 4 + pins_len(pins),
            Self::PublishAck { .. } | Self::HandoverAck { .. } | Self::SettingsNotice { .. } => 4,
            Self::SnapshotRequest { .. } => 8,
            Self::SnapshotPart {
                pins, bases, marks, ..
            } => {
                let targets: usize = bases
                    .iter()
                    .map(|b| b.targets.len() + b.previous.len())
                    .sum();
                16 + pins_len(pins)
                    + marks.len() * MARK_BYTES
                    + bases.len() * 12
                    + targets * BASE_TARGET_BYTES
            }
            Self::Goodbye => 0,
        }
    }
}

/// Tells whether another old flow fits a publication; all pins have the same time.
pub(super) fn has_room(pins: usize, targets: usize) -> bool {
    (targets + 1) * GROUP_BYTES + (pins + 1) * PIN_BYTES <= OLD_FLOWS_BYTES
}

fn pins_len(pins: &[Pin]) -> usize {
    let groups = pins.chunk_by(|a, b| (a.service, a.target) == (b.service, b.target));
    groups.map(group_len).sum()
}

fn group_len(pins: &[Pin]) -> usize {
    let equal = pins.iter().all(|p| p.time == pins[0].time);
    let pin = if equal {
        PIN_BYTES
    } else {
        PIN_BYTES + TIME_BYTES
    };
    GROUP_BYTES + pins.len() * pin
}
