use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
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
const RETRANSMIT: Duration = Duration::from_millis(200);
const MAX_TRIES: u32 = 25;

/// Configures a caller double, which also plays the fabric.
#[derive(Clone, Debug)]
pub struct CallerSettings {
    /// The caller's IP address.
    pub address: Ipv4Addr,
    /// The UDP port on which targets answer.
    pub answer_port: u16,
    /// The service's address.
    pub service: SocketAddrV4,
    /// The balancers over which packets are sprayed.
    pub balancers: Vec<SocketAddr>,
    /// The flows that are open at the same time.
    pub flows: u16,
    /// The rounds of packets that each flow sends.
    pub rounds: u32,
    /// The time between two rounds.
    pub round_interval: Duration,
    /// The seed of the spray.
    pub seed: u64,
}

/// Holds what a caller saw.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FlowReport {
    /// Flows that were opened.
    pub opened: u32,
    /// Packets that were answered.
    pub answered: u32,
    /// Flows that were reset or changed their target.
    pub broken: u32,
    /// Flows that got no answer.
    pub silent: u32,
    /// Flows per target.
    pub flows_per_target: BTreeMap<String, u32>,
}

/// Opens flows, sends packets through random balancers and reports what came back.
///
/// # Errors
///
/// Fails if the socket does.
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

/// Holds flows open and checks that each stays on its target.
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
    /// Returns a caller without flows.
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
    /// Fails if the socket does.
    pub async fn open(&mut self, flows: u16) -> std::io::Result<()> {
        let first = FIRST_PORT + self.opened;
        self.opened += flows;
        for kind in [PacketKind::Open, PacketKind::Middle] {
            for port in first..first + flows {
                self.step(port, kind).await?;
            }
        }
        Ok(())
    }

    /// Sends one packet of every flow and repeats it until it is answered.
    ///
    /// # Errors
    ///
    /// Fails if the socket does.
    pub async fn send_round(&mut self) -> std::io::Result<()> {
        for port in FIRST_PORT..FIRST_PORT + self.opened {
            self.step(port, PacketKind::Middle).await?;
        }
        Ok(())
    }

    /// Closes all flows.
    ///
    /// # Errors
    ///
    /// Fails if the socket does.
    pub async fn close(&mut self) -> std::io::Result<()> {
        for port in FIRST_PORT..FIRST_PORT + self.opened {
            self.step(port, PacketKind::Close).await?;
        }
        Ok(())
    }

    /// Sends packets through these balancers from now on.
    pub fn set_balancers(&mut self, balancers: Vec<SocketAddr>) {
        self.cfg.balancers = balancers;
    }

    /// Returns what the caller saw so far.
    pub fn report(&self) -> FlowReport {
        let mut report = self.report.clone();
        report.broken = self.broken.len() as u32;
        report.silent = self.silent.len() as u32;
        for name in self.targets.values() {
            *report.flows_per_target.entry(name.clone()).or_default() += 1;
        }
        report
    }

    async fn step(&mut self, port: u16, kind: PacketKind) -> std::io::Result<()> {
        if self.broken.contains(&port) || self.silent.contains(&port) {
            return Ok(());
        }
        if self.exchange(port, kind).await? {
            self.report.answered += 1;
            self.report.opened += u32::from(kind == PacketKind::Open);
        } else {
            self.silent.insert(port);
        }
        Ok(())
    }

    async fn exchange(&mut self, port: u16, kind: PacketKind) -> std::io::Result<bool> {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_TRIES {
            let via = self.cfg.balancers[self.rng.random_range(0..self.cfg.balancers.len())];
            let datagram = Frame::encode(&self.packet(port, kind), false);
            self.socket.send_to(&datagram, via).await?;
            let deadline = Instant::now() + RETRANSMIT;
            while let Ok(received) = timeout_at(deadline, self.socket.recv_from(&mut buf)).await {
                let (len, _) = received?;
                if self.accept(port, &buf[..len]) {
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }

    fn packet(&mut self, port: u16, kind: PacketKind) -> Vec<u8> {
        let (caller, service) = (self.cfg.address, self.cfg.service);
        let seq = self.rng.next_u32();
        let base = PacketBuilder::ipv4(caller.octets(), service.ip().octets(), TTL).tcp(
            port,
            service.port(),
            seq,
            WINDOW,
        );
        let builder = match kind {
            PacketKind::Open => base.syn(),
            PacketKind::Middle => base.psh().ack(1),
            PacketKind::Close => base.fin().ack(1),
            PacketKind::Reset => base.rst(),
        };
        let mut packet = Vec::new();
        // Writing to a vector cannot fail for a packet of this size.
        builder.write(&mut packet, b"ping").unwrap_or_default();
        packet
    }

    /// Reads an answer; returns whether it belongs to the flow on `port`.
    fn accept(&mut self, port: u16, datagram: &[u8]) -> bool {
        let Ok(frame) = Frame::decode(&Bytes::copy_from_slice(datagram)) else {
            return false;
        };
        let Ok(sliced) = SlicedPacket::from_ip(&frame.packet) else {
            return false;
        };
        let Some(TransportSlice::Tcp(tcp)) = sliced.transport else {
            return false;
        };
        if tcp.destination_port() != port {
            return false;
        }
        if tcp.rst() {
            self.broken.insert(port);
        }
        let name = String::from_utf8_lossy(tcp.payload()).into_owned();
        if !name.is_empty() {
            let first = self.targets.entry(port).or_insert_with(|| name.clone());
            if *first != name {
                self.broken.insert(port);
            }
        }
        true
    }
}
