use std::net::SocketAddr;

use crate::units::MonoTime;

/// A peer's wish for a part of the interval.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareRequest {
    /// The address at which the peer serves others, by which it is known.
    pub peer: SocketAddr,
    /// The number of balancers behind the peer, itself included.
    pub subtree: u32,
    /// When the request arrived.
    pub arrived: MonoTime,
}
