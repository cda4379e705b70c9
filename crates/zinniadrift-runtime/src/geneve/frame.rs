use std::net::SocketAddrV4;

use bytes::{BufMut, Bytes, BytesMut};
use etherparse::{NetSlice, SlicedPacket, TransportSlice};

use zinniadrift_core::flow::{FlowKey, PacketKind};

use super::DecodeError;

/// The maximum size in bytes of a datagram that is read.
pub const MAX_DATAGRAM_BYTES: usize = 9_216;

const HEADER_BYTES: usize = 8;
/// The EtherType of the inner packet, IPv4.
const PROTOCOL_IPV4: u16 = 0x0800;
/// The class of this project's options, from the experimental range (RFC 8926, section 3.5).
const OPTION_CLASS: u16 = 0xff21;
const OPTION_RELAYED: u8 = 0x01;
/// The bit that marks a control packet, which carries no data for the receiver to forward.
const CONTROL_BIT: u8 = 0x80;
/// The bit that marks a critical option: a receiver that does not support it must drop the packet
/// (RFC 8926, section 3.5).
const CRITICAL_BIT: u8 = 0x80;

/// A decoded Geneve datagram with the caller's IP packet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Frame {
    /// The flow that the inner packet belongs to.
    pub flow: FlowKey,
    /// The kind of the inner packet, from its TCP flags.
    pub kind: PacketKind,
    /// Whether the packet was relayed by another balancer.
    pub relayed: bool,
    /// The inner IP packet.
    pub packet: Bytes,
}

impl Frame {
    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails unless the datagram is a complete Geneve datagram with an IPv4 TCP packet.
    pub fn decode(datagram: &Bytes) -> Result<Self, DecodeError> {
        if datagram.len() < HEADER_BYTES {
            return Err(DecodeError::Truncated);
        }
        let options_bytes = usize::from(datagram[0] & 0x3f) * 4;
        let protocol = u16::from_be_bytes([datagram[2], datagram[3]]);
        let control = datagram[1] & CONTROL_BIT != 0;
        if datagram[0] >> 6 != 0 || control || protocol != PROTOCOL_IPV4 {
            return Err(DecodeError::Unsupported);
        }
        let start = HEADER_BYTES + options_bytes;
        if datagram.len() < start {
            return Err(DecodeError::Truncated);
        }
        let relayed = has_relayed_option(&datagram[HEADER_BYTES..start])?;
        let packet = datagram.slice(start..);
        let (flow, kind) = parse_inner(&packet)?;
        Ok(Self {
            flow,
            kind,
            relayed,
            packet,
        })
    }

    /// Encodes a datagram with the inner packet, marked as relayed if `relayed` is set.
    pub fn encode(packet: &[u8], relayed: bool) -> Bytes {
        let mut buf = BytesMut::with_capacity(HEADER_BYTES + 4 + packet.len());
        buf.put_u8(u8::from(relayed));
        buf.put_u8(0);
        buf.put_u16(PROTOCOL_IPV4);
        buf.put_u32(0);
        if relayed {
            buf.put_u16(OPTION_CLASS);
            buf.put_u8(OPTION_RELAYED);
            buf.put_u8(0);
        }
        buf.put_slice(packet);
        buf.freeze()
    }
}

fn has_relayed_option(mut options: &[u8]) -> Result<bool, DecodeError> {
    let mut relayed = false;
    while !options.is_empty() {
        if options.len() < 4 {
            return Err(DecodeError::Truncated);
        }
        let class = u16::from_be_bytes([options[0], options[1]]);
        let body = usize::from(options[3] & 0x1f) * 4;
        if options.len() < 4 + body {
            return Err(DecodeError::Truncated);
        }
        let known = class == OPTION_CLASS && options[2] == OPTION_RELAYED;
        if !known && options[2] & CRITICAL_BIT != 0 {
            return Err(DecodeError::Unsupported);
        }
        relayed |= known;
        options = &options[4 + body..];
    }
    Ok(relayed)
}

fn parse_inner(packet: &[u8]) -> Result<(FlowKey, PacketKind), DecodeError> {
    let sliced = SlicedPacket::from_ip(packet).map_err(|_| DecodeError::NotTcp)?;
    let (Some(NetSlice::Ipv4(ip)), Some(TransportSlice::Tcp(tcp))) = (sliced.net, sliced.transport)
    else {
        return Err(DecodeError::NotTcp);
    };
    let header = ip.header();
    let caller = SocketAddrV4::new(header.source_addr(), tcp.source_port());
    let service = SocketAddrV4::new(header.destination_addr(), tcp.destination_port());
    let kind = if tcp.rst() {
        PacketKind::Reset
    } else if tcp.syn() {
        PacketKind::Open
    } else if tcp.fin() {
        PacketKind::Close
    } else {
        PacketKind::Established
    };
    Ok((FlowKey { caller, service }, kind))
}
