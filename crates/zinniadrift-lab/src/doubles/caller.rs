use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::ops::Range;
use std::time::Duration;

use bytes::Bytes;
use etherparse::{PacketBuilder, SlicedPacket, TransportSlice};
use rand::{Rng, RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout_at};

use zinniadrift_core::flow::PacketKind;
use zinniadrift_runtime::geneve::{Frame, MAX_DATAGRAM_BYTES};

const TTL: u8 = 64;
const WINDOW: u16 = 1_024;
const FIRST_PORT: u16 = 10_000;
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(100);
const MAX_SENDS: u32 = 50;
/// The number of flows with a packet in flight at the same time; more would overflow socket
/// buffers.
const MAX_CONCURRENT_FLOWS: usize = 64;
const PAYLOAD: &[u8] = b"ping";

/// The settings of a caller double, which also acts as the fabric.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// The caller's IP address.
    pub address: Ipv4Addr,
    /// The UDP port to which targets send their answers.
    pub answer_port: u16,
    /// The service's address.
    pub service: SocketAddrV4,
    /// The balancers; each packet is sent to one of them at random.
    pub balancers: Vec<SocketAddr>,
    /// The number of concurrent flows.
    pub flows: u16,
    /// The number of rounds; in each round, every flow sends one packet.
    pub rounds: u32,
    /// The interval between two rounds.
    pub round_interval: Duration,
    /// The seed for the choice of balancers.
    pub seed: u64,
}

/// The results that a caller observed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FlowReport {
    /// The number of flows that were opened.
    pub opened: u32,
    /// The number of packets that were answered.
    pub answered: u32,
    /// The number of flows that were reset or whose target changed.
    pub broken: u32,
    /// The number of flows with a packet that was never answered.
    pub silent: u32,
    /// The number of flows per target.
    pub flows_per_target: BTreeMap<String, u32>,
}

/// Opens flows, sends packets through random balancers, closes the flows and returns the results.
///
/// # Errors
///
/// Fails if the socket cannot be opened or a datagram cannot be sent or received.
pub async fn run_flows(cfg: &CallerSettings) -> std::io::Result<FlowReport> {
    let mut caller = Caller::bind(cfg.clone()).await?;
    caller.open(cfg.flows).await?;
    for _ in 0..cfg.rounds {
        tokio::time::sleep(cfg.round_interval).await;
        caller.send_round().await?;
    }
    caller.close().await?;
    Ok(caller.report())
}

/// A caller double that keeps flows open and checks that each flow stays on its target.
#[derive(Debug)]
pub struct Caller {
    cfg: CallerSettings,
    socket: UdpSocket,
    rng: Xoshiro256PlusPlus,
    report: FlowReport,
    opened: u16,
    targets: HashMap<u16, String>,
    broken: HashSet<u16>,
    silent: HashSet<u16>,
}

impl Caller {
    /// Opens the socket of a caller and returns the caller, without flows.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be opened.
    pub async fn bind(cfg: CallerSettings) -> std::io::Result<Self> {
        let socket = UdpSocket::bind((cfg.address, cfg.answer_port)).await?;
        let rng = Xoshiro256PlusPlus::seed_from_u64(cfg.seed);
        Ok(Self {
            cfg,
            socket,
            rng,
            report: FlowReport::default(),
            opened: 0,
            targets: HashMap::new(),
            broken: HashSet::new(),
            silent: HashSet::new(),
        })
    }

    /// Opens further flows and sends the first data of each.
    ///
    /// # Errors
    ///
    /// Fails if a datagram cannot be sent or received.
    pub async fn open(&mut self, flows: u16) -> std::io::Result<()> {
        let first = FIRST_PORT + self.opened;
        self.opened += flows;
        for kind in [PacketKind::Open, PacketKind::Established] {
            self.exchange_in_batches(first..first + flows, kind).await?;
        }
        Ok(())
    }

    /// Sends one packet of every flow and retransmits it until it is answered or the limit of
    /// retransmissions is reached.
    ///
    /// # Errors
    ///
    /// Fails if a datagram cannot be sent or received.
    pub async fn send_round(&mut self) -> std::io::Result<()> {
        self.exchange_in_batches(
            FIRST_PORT..FIRST_PORT + self.opened,
            PacketKind::Established,
        )
        .await
    }

    /// Closes all flows.
    ///
    /// # Errors
    ///
    /// Fails if a datagram cannot be sent or received.
    pub async fn close(&mut self) -> std::io::Result<()> {
        self.exchange_in_batches(FIRST_PORT..FIRST_PORT + self.opened, PacketKind::Close)
            .await
    }

    /// Replaces the balancers to which subsequent packets are sent.
    pub fn set_balancers(&mut self, balancers: Vec<SocketAddr>) {
        self.cfg.balancers = balancers;
    }

    /// Returns the results so far.
    pub fn report(&self) -> FlowReport {
        let mut report = self.report.clone();
        report.broken = self.broken.len() as u32;
        report.silent = self.silent.len() as u32;
        for name in self.targets.values() {
            *report.flows_per_target.entry(name.clone()).or_default() += 1;
        }
        report
    }

    /// Sends one packet of each flow in batches and marks flows without an answer as silent.
    async fn exchange_in_batches(
        &mut self,
        ports: Range<u16>,
        kind: PacketKind,
    ) -> std::io::Result<()> {
        let ports: Vec<u16> = ports
            .filter(|p| !self.broken.contains(p) && !self.silent.contains(p))
            .collect();
        for chunk in ports.chunks(MAX_CONCURRENT_FLOWS) {
            let unanswered = self.exchange(chunk, kind).await?;
            let answered = (chunk.len() - unanswered.len()) as u32;
            self.report.answered += answered;
            if kind == PacketKind::Open {
                self.report.opened += answered;
            }
            self.silent.extend(unanswered);
        }
        Ok(())
    }

    /// Sends one packet of each flow, retransmits unanswered ones, and returns the ports of the
    /// flows that remain unanswered.
    async fn exchange(&mut self, ports: &[u16], kind: PacketKind) -> std::io::Result<Vec<u16>> {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut unanswered: HashMap<u16, u32> =
            ports.iter().map(|p| (*p, self.rng.next_u32())).collect();
        for _ in 0..MAX_SENDS {
            for (port, seq) in &unanswered {
                let balancer =
                    self.cfg.balancers[self.rng.random_range(0..self.cfg.balancers.len())];
                let datagram = Frame::encode(&self.packet(*port, *seq, kind), false);
                self.socket.send_to(&datagram, balancer).await?;
            }
            let deadline = Instant::now() + RETRANSMIT_INTERVAL;
            while !unanswered.is_empty() {
                let Ok(received) = timeout_at(deadline, self.socket.recv_from(&mut buf)).await
                else {
                    break;
                };
                let (len, _) = received?;
                self.handle_answer(&mut unanswered, &buf[..len]);
            }
            if unanswered.is_empty() {
                break;
            }
        }
        Ok(unanswered.into_keys().collect())
    }

    fn packet(&self, port: u16, seq: u32, kind: PacketKind) -> Vec<u8> {
        let (caller, service) = (self.cfg.address, self.cfg.service);
        let base = PacketBuilder::ipv4(caller.octets(), service.ip().octets(), TTL).tcp(
            port,
            service.port(),
            seq,
            WINDOW,
        );
        let builder = match kind {
            PacketKind::Open => base.syn(),
            PacketKind::Established => base.psh().ack(1),
            PacketKind::Close => base.fin().ack(1),
            PacketKind::Reset => base.rst(),
        };
        let mut packet = Vec::new();
        // Writing to a vector cannot fail for a packet of this size.
        builder.write(&mut packet, PAYLOAD).unwrap_or_default();
        packet
    }

    /// Handles an answer and removes its flow from `unanswered` if it resets the flow or
    /// acknowledges the flow's packet.
    fn handle_answer(&mut self, unanswered: &mut HashMap<u16, u32>, datagram: &[u8]) {
        let Ok(frame) = Frame::decode(&Bytes::copy_from_slice(datagram)) else {
            return;
        };
        let Ok(sliced) = SlicedPacket::from_ip(&frame.packet) else {
            return;
        };
        let Some(TransportSlice::Tcp(tcp)) = sliced.transport else {
            return;
        };
        let port = tcp.destination_port();
        let Some(seq) = unanswered.get(&port) else {
            return;
        };
        if tcp.rst() {
            self.broken.insert(port);
            unanswered.remove(&port);
            return;
        }
        let acknowledged = tcp.acknowledgment_number().wrapping_sub(*seq);
        if acknowledged == 0 || acknowledged as usize > PAYLOAD.len() {
            // This acknowledges an earlier packet of the flow, not the current one.
            return;
        }
        unanswered.remove(&port);
        let name = String::from_utf8_lossy(tcp.payload()).into_owned();
        if name.is_empty() {
            return;
        }
        let first = self.targets.entry(port).or_insert_with(|| name.clone());
        if *first != name {
            self.broken.insert(port);
        }
    }
}
