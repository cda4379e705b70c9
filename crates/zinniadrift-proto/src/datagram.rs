use prost::Message;

use crate::DatagramError;
use crate::v1::Datagram;

/// The largest datagram between members, in bytes; it fits an Ethernet frame without fragments.
pub const MAX_PEER_DATAGRAM_BYTES: usize = 1_400;

impl Datagram {
    /// Decodes a datagram of `group`.
    ///
    /// # Errors
    ///
    /// Fails on datagrams that are too long, malformed, without a body or of another group.
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
    /// Fails if the datagram exceeds the limit.
    pub fn encode_checked(&self) -> Result<Vec<u8>, DatagramError> {
        if self.encoded_len() > MAX_PEER_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong);
        }
        Ok(self.encode_to_vec())
    }
}
