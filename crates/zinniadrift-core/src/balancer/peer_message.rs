use super::BaseSet;
use crate::flow::Pin;
use crate::membership::{Heartbeat, PublicationMark};
use crate::units::Version;

/// The largest datagram between members, in bytes of UDP payload.
pub const MAX_PEER_DATAGRAM_BYTES: usize = 1_400;

/// The most pins in one message. They fit the largest datagram even if each pin has a group of its
/// own and the message's other fields take 24 bytes.
pub const MAX_PINS: usize = 36;

/// Bytes of the IPv4 and UDP headers, and of the envelope with group name, sender and incarnation.
const ENVELOPE_BYTES: usize = 28 + 28;
/// Bytes of service, target, time and length prefixes of a group of pins.
const GROUP_BYTES: usize = 5 + 5 + 9 + 2 + 4;
/// Bytes of the address and port of a pin.
const PIN_BYTES: usize = 4 + 3;
/// Bytes of the time difference of a pin, which a group of equal times omits.
const TIME_BYTES: usize = 3;
/// The most bytes of pins in one publication of a rebase, well below [`MAX_PEER_DATAGRAM_BYTES`].
const OLD_FLOWS_BYTES: usize = 1_200;
const STATUS_BYTES: usize = 2 + 5 + 2 + 9 + 9 + 4;
const BASE_TARGET_BYTES: usize = 2 + 5 + 3;
const MARK_BYTES: usize = 2 + 5 + 9 + 5;

/// A message between two balancers of a user's group.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Reports that the sender is alive, and its state.
    Heartbeat(Heartbeat),
    /// Publishes the targets of flows; the receiver acknowledges the message.
    Publish {
        /// The number of the publication within the sender's incarnation.
        number: u64,
        /// The assignments, at most as many as fit a datagram.
        pins: Vec<Pin>,
    },
    /// Acknowledges that the sender stored a publication.
    PublishAck {
        /// The number of the publication.
        number: u64,
    },
    /// Reports the version of the sender's settings.
    SettingsNotice {
        /// The sender's version.
        version: Version,
    },
    /// Requests a snapshot of all exceptions and base sets.
    SnapshotRequest {
        /// The id of the snapshot, which the parts repeat; a new id requests a new snapshot.
        id: u32,
        /// The first part that the requester lacks; the answer is a window of parts from there.
        index: u32,
    },
    /// Carries one part of a snapshot.
    SnapshotPart {
        /// The id from the request.
        id: u32,
        /// The position of the part.
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
    /// Hands over unpinned flows from a leaving member to one peer.
    Handover {
        /// The number of the message within the sender's handover.
        number: u64,
        /// The flows, at most [`MAX_PINS`]; their times are unused.
        pins: Vec<Pin>,
    },
    /// Acknowledges that the sender stored the flows of a handover message.
    HandoverAck {
        /// The number of the handover message.
        number: u64,
    },
    /// Reports that the sender stops.
    Goodbye,
}

impl PeerMessage {
    /// Returns an estimate of the message's bytes on the wire, including IP and UDP headers.
    ///
    /// Consecutive pins of equal service and target share a group.
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

/// Returns whether another flow of a new target fits a publication whose pins have equal times.
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
