use std::error::Error;
use std::fmt;

/// The reason why a peer datagram was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DatagramError {
    /// The datagram or an answer in it exceeds its size limit.
    TooLong,
    /// The bytes are not a message with a body, or a field is outside its range.
    Malformed,
    /// The datagram belongs to another user's group.
    OtherGroup,
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "datagram exceeds 1,400 bytes",
            Self::Malformed => "malformed datagram",
            Self::OtherGroup => "datagram of another group",
        })
    }
}

impl Error for DatagramError {}
