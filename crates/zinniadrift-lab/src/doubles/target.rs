use std::collections::HashSet;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::response::IntoResponse;
use bytes::Bytes;
use etherparse::{NetSlice, PacketBuilder, SlicedPacket, TransportSlice};
use tokio::net::{TcpListener, UdpSocket};

use zinniadrift_core::flow::{FlowKey, PacketKind};
use zinniadrift_runtime::geneve::{Frame, MAX_DATAGRAM_BYTES};

const TTL: u8 = 64;
const WINDOW: u16 = 1_024;

/// Configures a target double.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// The name that the target puts into every answer.
    pub name: Box<str>,
    /// The address for flows (UDP) and requests (TCP).
    pub listen: SocketAddr,
    /// The UDP port on which every caller receives answers.
    pub caller_port: u16,
}

/// Serves flows and requests until `stop` completes.
///
/// A packet of a flow that the target did not see opened is answered by a reset, as a TCP host does.
///
/// # Errors
///
/// Fails if a socket cannot be opened.
pub async fn serve_target(
    cfg: TargetSettings,
    stop: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(cfg.listen).await?;
    let socket = UdpSocket::bind(cfg.listen).await?;
    let name: Arc<str> = cfg.name.as_ref().into();
    let app = Router::new().fallback(answer_request).with_state(name);
    tokio::select! {
        result = axum::serve(listener, app).into_future() => result,
        result = serve_flows(&cfg, &socket) => result,
        () = stop => Ok(()),
    }
}

async fn answer_request(State(name): State<Arc<str>>, body: Bytes) -> impl IntoResponse {
    format!("{name} received {} bytes", body.len())
}

async fn serve_flows(cfg: &TargetSettings, socket: &UdpSocket) -> std::io::Result<()> {
    let mut flows = HashSet::new();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, _) = socket.recv_from(&mut buf).await?;
        let Ok(frame) = Frame::decode(&Bytes::copy_from_slice(&buf[..len])) else {
            continue;
        };
        if let Some(answer) = answer_packet(&cfg.name, &mut flows, &frame) {
            let to = SocketAddrV4::new(*frame.flow.caller.ip(), cfg.caller_port);
            socket.send_to(&Frame::encode(&answer, false), to).await?;
        }
    }
}

/// Builds the target's answer: SYN-ACK, data with the target's name, or a reset.
fn answer_packet(name: &str, flows: &mut HashSet<FlowKey>, frame: &Frame) -> Option<Vec<u8>> {
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
        PacketKind::Middle if flows.contains(&frame.flow) => base.psh().ack(
            tcp.sequence_number()
                .wrapping_add(tcp.payload().len() as u32),
        ),
        PacketKind::Middle => base.rst(),
        PacketKind::Close => {
            flows.remove(&frame.flow);
            base.fin().ack(tcp.sequence_number().wrapping_add(1))
        }
        PacketKind::Reset => {
            flows.remove(&frame.flow);
            return None;
        }
    };
    let payload = if frame.kind == PacketKind::Middle {
        name.as_bytes()
    } else {
        &[]
    };
    let mut packet = Vec::with_capacity(builder.size(payload.len()));
    builder.write(&mut packet, payload).ok()?;
    Some(packet)
}
