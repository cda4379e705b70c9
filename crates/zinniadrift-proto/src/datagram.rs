use prost::Message;

use zinniadrift_core::balancer::PeerMessage;
use zinniadrift_core::units::Version;

use crate::DatagramError;
use crate::pin_group::{group_pins, ungroup_pins};
use crate::v1::datagram::Body;
use crate::v1::{self, Datagram};

/// The largest datagram between members, in bytes; it fits into an Ethernet frame without IP
/// fragmentation.
pub const MAX_PEER_DATAGRAM_BYTES: usize = 1_400;

impl Datagram {
    /// Decodes a datagram and checks that it belongs to `group`.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is too long, malformed, without a body or of another group.
    pub fn decode_checked(group: &str, bytes: &[u8]) -> Result<Self, DatagramError> {
        if bytes.len() > MAX_PEER_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong);
        }
        let datagram = Self::decode(bytes).map_err(|_| DatagramError::Malformed)?;
        if datagram.group != group {
            return Err(DatagramError::OtherGroup);
        }
        if datagram.body.is_none() {
            return Err(DatagramError::Malformed);
        }
        Ok(datagram)
    }

    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram exceeds [`MAX_PEER_DATAGRAM_BYTES`].
    pub fn encode_checked(&self) -> Result<Vec<u8>, DatagramError> {
        if self.encoded_len() > MAX_PEER_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong);
        }
        Ok(self.encode_to_vec())
    }

    /// Converts the datagram to the message that it contains.
    ///
    /// # Errors
    ///
    /// Fails if a field has a value outside its range or the body is missing.
    pub fn into_message(self) -> Result<PeerMessage, DatagramError> {
        Ok(match self.body.ok_or(DatagramError::Malformed)? {
            Body::Heartbeat(h) => PeerMessage::Heartbeat(h.try_into()?),
            Body::Publish(p) => PeerMessage::Publish {
                number: p.number,
                pins: ungroup_pins(p.groups)?,
            },
            Body::PublishAck(a) => PeerMessage::PublishAck { number: a.number },
            Body::SettingsNotice(n) => PeerMessage::SettingsNotice {
                version: Version::from(n.version),
            },
            Body::SnapshotRequest(r) => PeerMessage::SnapshotRequest {
                id: r.id,
                index: r.index,
            },
            Body::SnapshotPart(p) => p.try_into()?,
            Body::Handover(h) => PeerMessage::Handover {
                number: h.number,
                pins: ungroup_pins(h.groups)?,
            },
            Body::HandoverAck(a) => PeerMessage::HandoverAck { number: a.number },
            Body::Goodbye(_) => PeerMessage::Goodbye,
        })
    }
}

impl From<PeerMessage> for Body {
    fn from(msg: PeerMessage) -> Self {
        match msg {
            PeerMessage::Heartbeat(h) => Self::Heartbeat(h.into()),
            PeerMessage::Publish { number, pins } => Self::Publish(v1::Publish {
                number,
                groups: group_pins(&pins),
            }),
            PeerMessage::PublishAck { number } => Self::PublishAck(v1::PublishAck { number }),
            PeerMessage::SettingsNotice { version } => {
                let version = version.get();
                Self::SettingsNotice(v1::SettingsNotice { version })
            }
            PeerMessage::SnapshotRequest { id, index } => {
                Self::SnapshotRequest(v1::SnapshotRequest { id, index })
            }
            PeerMessage::SnapshotPart {
                id,
                index,
                total,
                publication,
                pins,
                bases,
                marks,
            } => Self::SnapshotPart(v1::SnapshotPart {
                id,
                index,
                total,
                publication,
                groups: group_pins(&pins),
                bases: bases.into_iter().map(Into::into).collect(),
                marks: marks.into_iter().map(Into::into).collect(),
            }),
            PeerMessage::Handover { number, pins } => Self::Handover(v1::Handover {
                number,
                groups: group_pins(&pins),
            }),
            PeerMessage::HandoverAck { number } => Self::HandoverAck(v1::HandoverAck { number }),
            PeerMessage::Goodbye => Self::Goodbye(v1::Goodbye {}),
        }
    }
}
