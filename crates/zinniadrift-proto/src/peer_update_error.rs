use derive_more::{Display, Error};

/// The reason why an update from a peer was refused.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerUpdateError {
    /// The bytes are not a message of the expected type.
    #[display("malformed message")]
    Malformed,
    /// A part without which the message has no meaning is missing.
    #[display("{_0} is missing")]
    Missing(#[error(not(source))] &'static str),
    /// A number is outside the range of its field.
    #[display("{_0} is out of range")]
    OutOfRange(#[error(not(source))] &'static str),
    /// A target refers to an availability zone that the message does not name.
    #[display("unknown availability zone")]
    UnknownZone,
}
