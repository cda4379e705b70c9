use std::collections::HashSet;
use std::net::SocketAddrV4;

use bytes::Bytes;
use etherparse::{NetSlice, PacketBuilder, SlicedPacket, TransportSlice};
use parking_lot::Mutex;
use tokio::net::UdpSocket;

use zinniadrift_core::flow::{FlowKey, PacketKind};
use zinniadrift_runtime::geneve::{Frame, MAX_DATAGRAM_BYTES};

const TTL: u8 = 64;
const WINDOW: u16 = 1_024;

/// The flows that are open on a target double.
#[derive(Debug, Default)]
pub(super) struct FlowTable {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    flows: HashSet<FlowKey>,
    opened: u64,
}

impl FlowTable {
    /// Returns the number of open flows.
    pub(super) fn open(&self) -> usize {
        self.inner.lock().flows.len()
    }

    /// Returns the number of flows opened since the start.
    pub(super) fn opened(&self) -> u64 {
        self.inner.lock().opened
    }

    fn insert(&self, flow: FlowKey) {
        let mut inner = self.inner.lock();
        inner.opened += u64::from(inner.flows.insert(flow));
    }

    fn remove(&self, flow: &FlowKey) {
        self.inner.lock().flows.remove(flow);
    }

    fn contains(&self, flow: &FlowKey) -> bool {
        self.inner.lock().flows.contains(flow)
    }
}

/// Answers packets of flows; answers are sent to `caller_port` at the caller's IP address.
pub(super) async fn serve_flows(
    name: &str,
    caller_port: u16,
    socket: &UdpSocket,
    flows: &FlowTable,
) -> std::io::Result<()> {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, _) = socket.recv_from(&mut buf).await?;
        let Ok(frame) = Frame::decode(&Bytes::copy_from_slice(&buf[..len])) else {
            continue;
        };
        if let Some(answer) = answer_packet(name, flows, &frame) {
            let to = SocketAddrV4::new(*frame.flow.caller.ip(), caller_port);
            // Send errors are ignored: a caller that has exited must not stop the target.
            let _ = socket.send_to(&Frame::encode(&answer, false), to).await;
        }
    }
}

/// Returns the target's answer to a packet: a SYN-ACK, data with the target's name, a FIN-ACK or a
/// reset. A reset is not answered.
fn answer_packet(name: &str, flows: &FlowTable, frame: &Frame) -> Option<Vec<u8>> {
    let sliced = SlicedPacket::from_ip(&frame.packet).ok()?;
    let (Some(NetSlice::Ipv4(_)), Some(TransportSlice::Tcp(tcp))) = (sliced.net, sliced.transport)
    else {
        return None;
    };
    let (caller, service) = (frame.flow.caller, frame.flow.service);
    let base = PacketBuilder::ipv4(service.ip().octets(), caller.ip().octets(), TTL).tcp(
        service.port(),
        caller.port(),
        tcp.acknowledgment_number(),
        WINDOW,
    );
    let builder = match frame.kind {
        PacketKind::Open => {
            flows.insert(frame.flow);
            base.syn().ack(tcp.sequence_number().wrapping_add(1))
        }
        PacketKind::Established if flows.contains(&frame.flow) => base.psh().ack(
            tcp.sequence_number()
                .wrapping_add(tcp.payload().len() as u32),
        ),
        PacketKind::Established => base.rst(),
        PacketKind::Close => {
            flows.remove(&frame.flow);
            base.fin().ack(tcp.sequence_number().wrapping_add(1))
        }
        PacketKind::Reset => {
            flows.remove(&frame.flow);
            return None;
        }
    };
    let payload = if frame.kind == PacketKind::Established {
        name.as_bytes()
    } else {
        &[]
    };
    let mut packet = Vec::with_capacity(builder.size(payload.len()));
    builder.write(&mut packet, payload).ok()?;
    Some(packet)
}
