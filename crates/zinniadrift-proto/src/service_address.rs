use std::net::SocketAddrV4;

use crate::{PeerUpdateError, v1};

impl From<SocketAddrV4> for v1::ServiceAddress {
    fn from(address: SocketAddrV4) -> Self {
        Self {
            ip: address.ip().to_bits(),
            port: address.port().into(),
        }
    }
}

impl TryFrom<v1::ServiceAddress> for SocketAddrV4 {
    type Error = PeerUpdateError;

    fn try_from(address: v1::ServiceAddress) -> Result<Self, PeerUpdateError> {
        let port = u16::try_from(address.port).map_err(|_| PeerUpdateError::OutOfRange("port"))?;
        Ok(Self::new(address.ip.into(), port))
    }
}
