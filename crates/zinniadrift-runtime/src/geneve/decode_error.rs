use snafu::Snafu;

/// The reason why a datagram cannot be decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DecodeError {
    /// The datagram is shorter than its headers require.
    #[snafu(display("truncated datagram"))]
    Truncated,
    /// The Geneve version, the protocol type, a control packet or a critical option is not
    /// supported.
    #[snafu(display("unsupported Geneve header"))]
    Unsupported,
    /// The inner packet is not a well-formed IPv4 TCP packet.
    #[snafu(display("inner packet is not IPv4 TCP"))]
    NotTcp,
}
