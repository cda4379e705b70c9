use snafu::Snafu;

/// Tells why a datagram was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum DecodeError {
    /// The datagram is shorter than its headers say.
    #[snafu(display("truncated datagram"))]
    Truncated,
    /// The Geneve version or the protocol type is not supported.
    #[snafu(display("unsupported Geneve header"))]
    Unsupported,
    /// The inner packet is not a well-formed IPv4 TCP packet.
    #[snafu(display("inner packet is not IPv4 TCP"))]
    NotTcp,
}
