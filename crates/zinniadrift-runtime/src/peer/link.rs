use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;

use tokio::net::UdpSocket;

use zinniadrift_core::balancer::PeerMessage;
use zinniadrift_core::ids::{Incarnation, MemberId};
use zinniadrift_proto::v1::Datagram;
use zinniadrift_proto::{DatagramError, MAX_PEER_DATAGRAM_BYTES};

use super::PeerCounters;
use crate::timeline::HybridClock;

/// One byte more than the limit, so that a longer datagram is detected instead of truncated to a
/// valid one.
const BUFFER_BYTES: usize = MAX_PEER_DATAGRAM_BYTES + 1;

/// The datagram socket of one member of a group.
#[derive(Debug)]
pub(crate) struct PeerLink {
    socket: UdpSocket,
    group: Box<str>,
    member: MemberId,
    incarnation: Incarnation,
    relay: Option<SocketAddrV4>,
    clock: Arc<HybridClock>,
    buf: Box<[u8]>,
    counters: PeerCounters,
}

/// An accepted message with its sender.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedMessage {
    /// The sender.
    pub(crate) from: MemberId,
    /// The incarnation of the sender.
    pub(crate) incarnation: Incarnation,
    /// The address on which the sender accepts relayed packets.
    pub(crate) relay: Option<SocketAddr>,
    /// The message.
    pub(crate) msg: PeerMessage,
}

impl PeerLink {
    /// Returns the link of `member` over `socket`.
    ///
    /// `relay` is the address on which the member accepts relayed packets.
    pub(crate) fn new(
        socket: UdpSocket,
        group: &str,
        member: MemberId,
        incarnation: Incarnation,
        relay: Option<SocketAddrV4>,
        clock: Arc<HybridClock>,
    ) -> Self {
        Self {
            socket,
            group: group.into(),
            member,
            incarnation,
            relay,
            clock,
            buf: vec![0; BUFFER_BYTES].into(),
            counters: PeerCounters::default(),
        }
    }

    /// Returns the counters since the start.
    pub(crate) fn counters(&self) -> &PeerCounters {
        &self.counters
    }

    /// Sends a message; without an address it is counted as `unsent`.
    pub(crate) async fn send(&mut self, to: Option<SocketAddr>, msg: PeerMessage) {
        let relay = self
            .relay
            .filter(|_| matches!(msg, PeerMessage::Heartbeat(_)));
        let datagram = Datagram {
            group: self.group.to_string(),
            sender: self.member.get(),
            incarnation: self.incarnation.into(),
            time: self.clock.now(),
            relay_ip: relay.map_or(0, |r| (*r.ip()).into()),
            relay_port: relay.map_or(0, |r| r.port().into()),
            body: Some(msg.into()),
        };
        let (Some(to), Ok(bytes)) = (to, datagram.encode_checked()) else {
            self.counters.unsent += 1;
            return;
        };
        match self.socket.send_to(&bytes, to).await {
            Ok(len) => {
                self.counters.sent += 1;
                self.counters.sent_bytes += len as u64;
            }
            Err(_) => self.counters.unsent += 1,
        }
    }

    /// Waits until a datagram can be read.
    pub(crate) async fn readable(&self) {
        // The next read returns a socket error again.
        let _ = self.socket.readable().await;
    }

    /// Reads the next valid datagram; `None` if no datagram is waiting.
    pub(crate) fn try_receive(&mut self) -> Option<ReceivedMessage> {
        loop {
            match self.socket.try_recv_from(&mut self.buf) {
                Ok((len, _)) => {
                    if let Some(received) = self.accept(len) {
                        return Some(received);
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return None,
                // An ICMP error caused by an earlier send to a dead peer.
                Err(_) => {}
            }
        }
    }

    fn accept(&mut self, len: usize) -> Option<ReceivedMessage> {
        match self.decode(len) {
            Ok(received) => {
                self.counters.received += 1;
                Some(received)
            }
            Err(DatagramError::OtherGroup) => {
                self.counters.other_group += 1;
                None
            }
            Err(DatagramError::Malformed | DatagramError::TooLong) => {
                self.counters.malformed += 1;
                None
            }
        }
    }

    fn decode(&self, len: usize) -> Result<ReceivedMessage, DatagramError> {
        let datagram = Datagram::decode_checked(&self.group, &self.buf[..len])?;
        self.clock.observe(datagram.time);
        let port = u16::try_from(datagram.relay_port).map_err(|_| DatagramError::Malformed)?;
        let relay = SocketAddr::from((Ipv4Addr::from(datagram.relay_ip), port));
        Ok(ReceivedMessage {
            from: MemberId::from(datagram.sender),
            incarnation: Incarnation::from(datagram.incarnation),
            relay: (port != 0).then_some(relay),
            msg: datagram.into_message()?,
        })
    }
}
