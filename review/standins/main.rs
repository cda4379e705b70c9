//! Stand-ins of the platform, its clients and its endpoints for the cases of this review, with the
//! standard library only: a store, endpoints, clients, the routers' probes, and the daemons of the
//! deploy file as separate processes. `main` runs one case and checks one rule.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

mod cases;

pub const SYN: u8 = 128;
pub const ACK: u8 = 1;
pub const FIN: u8 = 16;
pub const RST: u8 = 4;

/// The processes that were started and may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(dir: &Path) -> Self {
        let file = File::create(dir.join("record.txt")).expect("record.txt");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:8.3} s  {}", text.as_ref()).unwrap();
    }
}

// ---------------------------------------------------------------- packets

#[derive(Clone, Debug)]
pub struct Packet {
    pub seq: u32,
    pub ack: u32,
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub sum: u32,
    pub flags: u8,
    pub echo: u32,
    pub data: Vec<u8>,
    /// The host from which the datagram came, for the record.
    pub from: Ipv4Addr,
}

impl Packet {
    pub fn decode(b: &[u8]) -> Option<Self> {
        if b.len() < 32 {
            return None;
        }
        let u32_at = |i: usize| u32::from_be_bytes([b[i], b[i + 1], b[i + 2], b[i + 3]]);
        let u16_at = |i: usize| u16::from_be_bytes([b[i], b[i + 1]]);
        if usize::from(u16_at(20)) != b.len() - 32 {
            return None;
        }
        Some(Self {
            seq: u32_at(0),
            ack: u32_at(4),
            src: SocketAddrV4::new(Ipv4Addr::from(u32_at(10)), u16_at(8)),
            dst: SocketAddrV4::new(Ipv4Addr::from(u32_at(14)), u16_at(18)),
            sum: u32_at(22),
            flags: b[26],
            echo: u32_at(28),
            data: b[32..].to_vec(),
            from: Ipv4Addr::UNSPECIFIED,
        })
    }

    fn encode_with(&self, sum: u32, echo: u32) -> Vec<u8> {
        let mut b = vec![0_u8; 32];
        b[0..4].copy_from_slice(&self.seq.to_be_bytes());
        b[4..8].copy_from_slice(&self.ack.to_be_bytes());
        b[8..10].copy_from_slice(&self.src.port().to_be_bytes());
        b[10..14].copy_from_slice(&self.src.ip().octets());
        b[14..18].copy_from_slice(&self.dst.ip().octets());
        b[18..20].copy_from_slice(&self.dst.port().to_be_bytes());
        b[20..22].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        b[22..26].copy_from_slice(&sum.to_be_bytes());
        b[26] = self.flags;
        b[28..32].copy_from_slice(&echo.to_be_bytes());
        b.extend_from_slice(&self.data);
        b
    }

    /// A keyed sum over all fields except `echo`, `pad` and BOUNCED (FNV-1a with a secret start).
    pub fn keyed_sum(&self) -> u32 {
        let mut hash = 0x9e37_79b9_u32;
        for byte in self.encode_with(0, 0) {
            hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        }
        hash | 1
    }

    pub fn encode(&self) -> Vec<u8> {
        self.encode_with(self.keyed_sum(), self.echo)
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }
}

// ---------------------------------------------------------------- store

struct Object {
    json: String,
    /// The spec without `sequence`, whose changes count as changes of the entry.
    stable: String,
    revision: u64,
    created: u64,
    written: Instant,
}

/// How long the store keeps its history (`history_s`), and three heartbeat intervals, after which it
/// removes an entry of kind `servers` that is not written again.
const HISTORY: Duration = Duration::from_secs(20);
const SILENCE: Duration = Duration::from_millis(3 * 1_200);

#[derive(Default)]
struct StoreState {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: Vec<(Instant, u64, String, String, bool)>,
    /// The revision up to which the history is gone.
    forgotten: u64,
    /// The kind whose watches get no answer when something changes, and the machines that it is
    /// lost to; the connection then stays silent, as a connection on which a response was lost.
    lose_answers_of: Option<(String, Vec<usize>)>,
    lost: u32,
    answered: u32,
}

/// The platform's store: GET lists and watches over HTTP, writes by the other stand-ins directly.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn new() -> Self {
        let state = StoreState {
            revision: 100,
            ..Default::default()
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let swept = store.clone();
        spawn(move || {
            loop {
                sleep(ms(100));
                swept.sweep();
            }
        });
        store
    }

    /// Serves calls at another address, by which the store knows the machine `caller`.
    pub fn listen(&self, ip: Ipv4Addr, caller: usize) -> SocketAddrV4 {
        let listener = TcpListener::bind((ip, 0)).expect("store's port");
        let port = listener.local_addr().unwrap().port();
        let served = self.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                spawn(move || store.serve(stream, caller));
            }
        });
        SocketAddrV4::new(ip, port)
    }

    /// Writes an object; `stable` is the spec without what does not count as a change.
    pub fn put(&self, kind: &str, name: &str, spec: &str, stable: &str) -> u64 {
        let mut s = self.state.0.lock().unwrap();
        let old = s.kinds.get(kind).and_then(|k| k.get(name));
        let changed = old.is_none_or(|o| o.stable != stable);
        let (revision, created) = match old {
            Some(o) if !changed => (o.revision, o.created),
            Some(o) => (s.revision + 1, o.created),
            None => (s.revision + 1, s.revision + 1),
        };
        let json = format!(
            "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":{created},\
             \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
        );
        let object = Object {
            json: json.clone(),
            stable: stable.into(),
            revision,
            created,
            written: Instant::now(),
        };
        let objects = s.kinds.entry(kind.into()).or_default();
        objects.insert(name.into(), object);
        if changed {
            s.revision = revision;
            s.history
                .push((Instant::now(), revision, kind.into(), json, false));
            self.state.1.notify_all();
        }
        s.revision
    }

    /// Drops history that is too old, and removes entries of kind `servers` that fell silent.
    fn sweep(&self) {
        let mut s = self.state.0.lock().unwrap();
        let old = s.history.iter().filter(|h| h.0.elapsed() > HISTORY).count();
        if let Some(last) = old.checked_sub(1) {
            s.forgotten = s.history[last].1;
            s.history.drain(..old);
        }
        let servers = s.kinds.get("servers").into_iter().flatten();
        let silent = servers.filter(|(_, o)| o.written.elapsed() > SILENCE);
        let silent: Vec<String> = silent.map(|(name, _)| name.clone()).collect();
        drop(s);
        for name in silent {
            self.delete("servers", &name);
        }
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut s = self.state.0.lock().unwrap();
        let Some(object) = s.kinds.get_mut(kind).and_then(|k| k.remove(name)) else {
            return;
        };
        s.revision += 1;
        let rev = s.revision;
        s.history
            .push((Instant::now(), rev, kind.into(), object.json, true));
        self.state.1.notify_all();
    }

    /// From now on, answers to watches of a kind that report a change are lost on their way to these
    /// machines; `None` ends it.
    pub fn lose_answers_of(&self, kind_and_callers: Option<(&str, &[usize])>) {
        let lost = kind_and_callers.map(|(kind, callers)| (kind.into(), callers.to_vec()));
        self.state.0.lock().unwrap().lose_answers_of = lost;
    }

    /// The answers that were lost, and those that were given, so far.
    pub fn answers(&self) -> (u32, u32) {
        let s = self.state.0.lock().unwrap();
        (s.lost, s.answered)
    }

    fn serve(&self, mut stream: TcpStream, caller: usize) {
        stream.set_nodelay(true).ok();
        let mut buf = Vec::new();
        loop {
            let mut chunk = [0; 4096];
            while !buf.windows(4).any(|w| w == b"\r\n\r\n") {
                match stream.read(&mut chunk) {
                    Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
                    _ => return,
                }
            }
            let end = buf.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4;
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            buf.drain(..end);
            let target = head.split(' ').nth(1).unwrap_or("").to_owned();
            // The answer to a call takes the store 4 ms.
            sleep(ms(4));
            let Some((status, body)) = self.answer(&target, caller) else {
                // The answer is lost: nothing further comes on this connection.
                loop {
                    match stream.read(&mut chunk) {
                        Ok(n) if n > 0 => {}
                        _ => return,
                    }
                }
            };
            let head = format!(
                "HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream
                .write_all(&[head.as_bytes(), body.as_bytes()].concat())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, target: &str, caller: usize) -> Option<(u16, String)> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let kind = path.trim_start_matches("/objects/");
        let value = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
        };
        let number = |name: &str| value(name).and_then(|v| v.parse::<u64>().ok());
        let (lock, changed) = &*self.state;
        let mut s = lock.lock().unwrap();
        let Some(from) = number("watch") else {
            let after = value("after").unwrap_or("");
            let empty = BTreeMap::new();
            let objects = s.kinds.get(kind).unwrap_or(&empty);
            let items: Vec<&str> = objects
                .iter()
                .filter(|(n, _)| n.as_str() > after)
                .map(|(_, o)| &*o.json)
                .collect();
            let (more, items) = (items.len() > 500, items.iter().take(500).copied());
            let items = items.collect::<Vec<_>>().join(",");
            let body = format!(
                "{{\"items\":[{items}],\"has_more\":{more},\"as_of\":{}}}",
                s.revision
            );
            s.answered += 1;
            return Some((200, body));
        };
        let deadline = Instant::now() + ms(number("wait_ms").unwrap_or(0).min(30_000));
        loop {
            if from < s.forgotten {
                s.answered += 1;
                return Some((410, "{}".into()));
            }
            let events: Vec<String> = s
                .history
                .iter()
                .filter(|(_, rev, k, _, _)| *rev > from && k == kind)
                .map(|(_, _, _, o, deleted)| format!("{{\"object\":{o},\"deleted\":{deleted}}}"))
                .collect();
            let now = Instant::now();
            let is_lost = s
                .lose_answers_of
                .as_ref()
                .is_some_and(|(k, callers)| k == kind && callers.contains(&caller));
            if !events.is_empty() && is_lost {
                s.lost += 1;
                return None;
            }
            if !events.is_empty() || now >= deadline {
                let rev = s.revision;
                s.answered += 1;
                let body = format!("{{\"events\":[{}],\"as_of\":{rev}}}", events.join(","));
                return Some((200, body));
            }
            s = changed.wait_timeout(s, deadline - now).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------- endpoints

#[derive(Clone)]
pub struct EndpointSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub work: Duration,
    pub slots: usize,
    /// The requests that wait beside those in the slots; further ones are refused.
    pub queue: usize,
    /// The port at which clients' hosts receive packets.
    pub port: u16,
}

/// An opening packet that an endpoint took.
#[derive(Clone)]
pub struct Open {
    pub at: f64,
    pub endpoint: String,
    pub client: SocketAddrV4,
    pub route: SocketAddrV4,
    /// The daemon that sent it on.
    pub via: Ipv4Addr,
}

/// A reset of an open flow that no endpoint sent.
#[derive(Clone)]
pub struct Reset {
    pub at: f64,
    pub client: SocketAddrV4,
    pub endpoint: String,
    pub route: SocketAddrV4,
    /// The daemon that sent it.
    pub by: Ipv4Addr,
}

/// What clients, endpoints and the case observe.
pub struct Observed {
    pub record: Record,
    pub opens: Mutex<Vec<Open>>,
    /// When an endpoint had the end of the handshake of a flow: by client and route.
    pub opened: Mutex<HashMap<(SocketAddrV4, SocketAddrV4), f64>>,
    /// The requests that ran, by attempt id.
    pub runs: Mutex<HashMap<u64, u32>>,
    pub resets: Mutex<Vec<Reset>>,
    pub answered: AtomicU32,
    pub failed: AtomicU32,
    /// When each client attempt was sent: client's address and time.
    pub sent: Mutex<HashMap<SocketAddrV4, f64>>,
}

impl Observed {
    pub fn new(record: Record) -> Arc<Self> {
        Arc::new(Self {
            record,
            opens: Mutex::default(),
            opened: Mutex::default(),
            runs: Mutex::default(),
            resets: Mutex::default(),
            answered: AtomicU32::new(0),
            failed: AtomicU32::new(0),
            sent: Mutex::default(),
        })
    }
}

struct Flow {
    isn: u32,
    open: bool,
    expected: u32,
    echo: u32,
    answer: Option<Packet>,
}

impl Flow {
    /// The sequence number of the endpoint's next byte.
    fn next_seq(&self) -> u32 {
        let first = self.isn.wrapping_add(1);
        self.answer
            .as_ref()
            .map_or(first, |a| a.seq.wrapping_add(a.data.len() as u32))
    }

    fn bare(&self, key: (SocketAddrV4, SocketAddrV4), from: Ipv4Addr, flags: u8) -> Packet {
        Packet {
            seq: self.next_seq(),
            ack: self.expected,
            src: key.1,
            dst: key.0,
            sum: 0,
            flags,
            echo: self.echo,
            data: Vec::new(),
            from,
        }
    }

    fn next_answer(
        &mut self,
        key: (SocketAddrV4, SocketAddrV4),
        from: Ipv4Addr,
        body: String,
    ) -> Packet {
        let answer = Packet {
            data: body.into_bytes(),
            ..self.bare(key, from, ACK)
        };
        self.answer = Some(answer.clone());
        answer
    }
}

/// An endpoint of a service; it lives until the case ends.
pub struct Endpoint {
    pub cfg: EndpointSettings,
    draining: Arc<AtomicBool>,
    store: Store,
    seq: Arc<AtomicU64>,
}

impl Endpoint {
    pub fn start(cfg: EndpointSettings, store: Store, seen: Arc<Observed>) -> Self {
        let socket = UdpSocket::bind(cfg.address).expect("endpoint's address");
        let health = TcpListener::bind(cfg.address).expect("endpoint's address");
        let (draining, seq) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let flag = Arc::clone(&draining);
        spawn(move || {
            for mut stream in health.incoming().flatten() {
                let flag = Arc::clone(&flag);
                spawn(move || {
                    let mut buf = [0; 1024];
                    if matches!(stream.read(&mut buf), Ok(n) if n > 0) {
                        let status = if flag.load(Ordering::SeqCst) {
                            "503 X"
                        } else {
                            "200 OK"
                        };
                        let text = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                        stream.write_all(text.as_bytes()).ok();
                    }
                });
            }
        });
        let endpoint = Self {
            cfg: cfg.clone(),
            draining,
            store,
            seq,
        };
        endpoint.register();
        let beat = Self {
            cfg: cfg.clone(),
            draining: Arc::clone(&endpoint.draining),
            store: endpoint.store.clone(),
            seq: Arc::clone(&endpoint.seq),
        };
        spawn(move || {
            loop {
                sleep(ms(1_200));
                beat.register();
            }
        });
        let leaving = Arc::clone(&endpoint.draining);
        spawn(move || run_endpoint(&cfg, &socket, &seen, &leaving));
        endpoint
    }

    fn register(&self) {
        let c = &self.cfg;
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let sequence = self.seq.fetch_add(1, Ordering::SeqCst);
        let stable = format!(
            "\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0",
            c.service, c.address, c.zone, c.slots
        );
        let spec = format!("{{{stable},\"sequence\":{sequence}}}");
        self.store.put("servers", &c.id, &spec, &stable);
    }

    /// Reports `draining`; when this returns, the store has acknowledged it.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.register();
    }
}

fn run_endpoint(
    cfg: &EndpointSettings,
    socket: &UdpSocket,
    seen: &Observed,
    draining: &AtomicBool,
) {
    let cfg_ip = *cfg.address.ip();
    let own = u64::from_str_radix(cfg.id.rsplit('-').next().unwrap(), 16).unwrap();
    let mut flows: HashMap<(SocketAddrV4, SocketAddrV4), Flow> = HashMap::new();
    let mut queue: VecDeque<((SocketAddrV4, SocketAddrV4), u64)> = VecDeque::new();
    let mut working: Vec<(Instant, (SocketAddrV4, SocketAddrV4), u64)> = Vec::new();
    socket.set_read_timeout(Some(ms(2))).unwrap();
    let send = |p: &Packet| {
        socket.send_to(&p.encode(), (*p.dst.ip(), cfg.port)).ok();
    };
    let mut buf = [0; 2048];
    loop {
        let now = Instant::now();
        let (done, rest): (Vec<_>, Vec<_>) = working.into_iter().partition(|w| w.0 <= now);
        working = rest;
        for (_, key, id) in done {
            let Some(flow) = flows.get_mut(&key) else {
                continue;
            };
            let body = format!(
                "HTTP/1.1 200 OK\r\nZinniadrift-Response-Signature: {id:x}\r\nContent-Length: 0\r\n\r\n"
            );
            let answer = flow.next_answer(key, cfg_ip, body);
            send(&answer);
            if draining.load(Ordering::SeqCst) {
                // A draining endpoint closes each flow after its next response.
                send(&flow.bare(key, cfg_ip, FIN | ACK));
            }
        }
        while working.len() < cfg.slots {
            let Some((key, id)) = queue.pop_front() else {
                break;
            };
            *seen.runs.lock().unwrap().entry(id).or_default() += 1;
            working.push((Instant::now() + cfg.work, key, id));
        }
        let Ok((len, from)) = socket.recv_from(&mut buf) else {
            continue;
        };
        if len < 40 {
            continue;
        }
        let guard = u64::from_be_bytes(buf[..8].try_into().unwrap());
        if guard != 0 && guard != own {
            continue;
        }
        let Some(p) = Packet::decode(&buf[8..len]) else {
            seen.record
                .line(format!("{} got a datagram that is no packet", cfg.id));
            continue;
        };
        if p.sum != p.keyed_sum() {
            seen.record
                .line(format!("{} got a packet that was changed", cfg.id));
            continue;
        }
        let key = (p.src, p.dst);
        if p.has(SYN) {
            let isn = 0x5000_0000 ^ own as u32 ^ p.seq;
            if !flows.contains_key(&key) {
                let via = match from.ip() {
                    std::net::IpAddr::V4(ip) => ip,
                    std::net::IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
                };
                seen.opens.lock().unwrap().push(Open {
                    at: seen.record.now(),
                    endpoint: cfg.id.clone(),
                    client: p.src,
                    route: p.dst,
                    via,
                });
            }
            let flow = flows.entry(key).or_insert(Flow {
                isn,
                open: false,
                expected: p.seq.wrapping_add(1),
                echo: p.echo,
                answer: None,
            });
            flow.echo = p.echo;
            // The data of a SYN+ACK names the endpoint, for the record.
            send(&Packet {
                seq: flow.isn,
                ack: flow.expected,
                src: p.dst,
                dst: p.src,
                sum: 0,
                flags: SYN | ACK,
                echo: flow.echo,
                data: cfg.id.clone().into_bytes(),
                from: cfg_ip,
            });
            continue;
        }
        if p.has(RST) {
            flows.remove(&key);
            continue;
        }
        let Some(flow) = flows.get_mut(&key) else {
            // A FIN on a flow that has ended is answered with an ACK, anything else with a reset.
            send(&Packet {
                seq: p.ack,
                ack: p.seq,
                src: p.dst,
                dst: p.src,
                sum: 0,
                flags: if p.has(FIN) { ACK } else { RST },
                echo: p.echo,
                data: Vec::new(),
                from: cfg_ip,
            });
            continue;
        };
        flow.echo = p.echo;
        if !flow.open {
            if p.ack != flow.isn.wrapping_add(1) {
                continue;
            }
            flow.open = true;
            let now = seen.record.now();
            seen.opened.lock().unwrap().insert(key, now);
        }
        if !p.data.is_empty() && p.seq == flow.expected {
            // A lone packet is acknowledged by the answer: every second packet is acknowledged.
            flow.expected = p.seq.wrapping_add(p.data.len() as u32);
            let text = String::from_utf8_lossy(&p.data).into_owned();
            let id = text
                .lines()
                .find_map(|l| l.strip_prefix("Zinniadrift-Attempt-Id: "));
            let id = id
                .and_then(|id| u64::from_str_radix(id.trim(), 16).ok())
                .unwrap_or(0);
            if queue.len() < cfg.queue {
                queue.push_back((key, id));
            } else {
                let body =
                    "HTTP/1.1 503 Full\r\nZinniadrift-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                send(&flow.next_answer(key, cfg_ip, body.into()));
            }
        } else if !p.data.is_empty() && p.seq.wrapping_add(p.data.len() as u32) == flow.expected {
            if let Some(answer) = flow.answer.as_ref().filter(|a| a.ack == flow.expected) {
                send(answer);
            }
        }
        if p.has(FIN) {
            flow.expected = p.seq.wrapping_add(1);
            send(&flow.bare(key, cfg_ip, FIN | ACK));
            flows.remove(&key);
        }
    }
}

// ---------------------------------------------------------------- clients

type Inboxes = Arc<Mutex<HashMap<u16, Sender<Packet>>>>;

/// A client's host: users that open a flow for each request or keep one for many.
pub struct ClientHost {
    socket: Arc<UdpSocket>,
    inboxes: Inboxes,
    ip: Ipv4Addr,
    port: u16,
    rotation: Arc<Mutex<Vec<Ipv4Addr>>>,
    /// The daemons of the client's zone.
    zone: Vec<Ipv4Addr>,
    seen: Arc<Observed>,
    next_port: AtomicU32,
    next_id: AtomicU64,
}

pub enum Outcome {
    Answered,
    /// An endpoint that was full did not run the request.
    Refused,
    NotOpened,
    ResetBySystem,
    ResetByEndpoint,
    Deadline,
}

pub struct OpenFlow {
    pub sport: u16,
    pub endpoint: String,
    route: SocketAddrV4,
    inbox: Receiver<Packet>,
    seq: u32,
    ack: u32,
    echo: u32,
}

impl ClientHost {
    pub fn start(
        ip: Ipv4Addr,
        port: u16,
        rotation: Arc<Mutex<Vec<Ipv4Addr>>>,
        zone: Vec<Ipv4Addr>,
        seen: Arc<Observed>,
    ) -> Arc<Self> {
        let socket = Arc::new(UdpSocket::bind((ip, port)).expect("client's address"));
        let inboxes = Inboxes::default();
        let (reader, boxes) = (Arc::clone(&socket), Arc::clone(&inboxes));
        spawn(move || {
            let mut buf = [0; 2048];
            while let Ok((len, from)) = reader.recv_from(&mut buf) {
                let Some(mut p) = Packet::decode(&buf[..len]) else {
                    continue;
                };
                if let std::net::IpAddr::V4(ip) = from.ip() {
                    p.from = ip;
                }
                let tx = boxes.lock().unwrap().get(&p.dst.port()).cloned();
                if let Some(tx) = tx {
                    tx.send(p).ok();
                }
            }
        });
        Arc::new(Self {
            socket,
            inboxes,
            ip,
            port,
            rotation,
            zone,
            seen,
            next_port: AtomicU32::new(20_000),
            next_id: AtomicU64::new(u64::from(u32::from(ip)) << 24 | 1),
        })
    }

    fn transmit(&self, p: &Packet) {
        // The daemons in rotation of the client's zone; all of the zone if fewer than half are; those
        // of the other zones, which are equally near, if none is.
        let rotation = self.rotation.lock().unwrap().clone();
        let near = self.zone.iter().filter(|ip| rotation.contains(ip));
        let near: Vec<Ipv4Addr> = near.copied().collect();
        let rotation = match near.len() {
            0 => rotation,
            n if 2 * n < self.zone.len() => self.zone.clone(),
            _ => near,
        };
        // The routers' hash over these (the highest of one hash each).
        let weight = |ip: &Ipv4Addr| {
            let mut hash = 0xcbf2_9ce4_8422_2325_u64;
            for b in format!("{}>{}@{ip}", p.src, p.dst).bytes() {
                hash = (hash ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
            }
            // Mixes the high bits, by which the weights are compared.
            hash = (hash ^ hash >> 31).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            hash ^ hash >> 29
        };
        if let Some(ip) = rotation.iter().max_by_key(|ip| weight(ip)) {
            self.socket.send_to(&p.encode(), (*ip, self.port)).ok();
        }
    }

    fn packet(&self, f: &OpenFlow, flags: u8, data: Vec<u8>) -> Packet {
        let src = SocketAddrV4::new(self.ip, f.sport);
        let from = self.ip;
        Packet {
            seq: f.seq,
            ack: f.ack,
            src,
            dst: f.route,
            sum: 0,
            flags,
            echo: f.echo,
            data,
            from,
        }
    }

    pub fn open(&self, route: SocketAddrV4) -> Result<OpenFlow, Outcome> {
        let n = self.next_port.fetch_add(1, Ordering::SeqCst);
        let sport = (20_000 + n % 40_000) as u16;
        let (tx, inbox) = channel();
        self.inboxes.lock().unwrap().insert(sport, tx);
        let src = SocketAddrV4::new(self.ip, sport);
        self.seen
            .sent
            .lock()
            .unwrap()
            .insert(src, self.seen.record.now());
        let isn = n.wrapping_mul(0x9e37_79b1);
        let start = Instant::now();
        for (copy, next) in [200, 600, 1_400].into_iter().enumerate() {
            self.transmit(&Packet {
                seq: isn,
                ack: copy as u32,
                src,
                dst: route,
                sum: 0,
                flags: SYN,
                echo: 0,
                data: Vec::new(),
                from: self.ip,
            });
            loop {
                let left = (start + ms(next)).saturating_duration_since(Instant::now());
                let Ok(p) = inbox.recv_timeout(left) else {
                    break;
                };
                if p.has(RST) {
                    self.close(sport);
                    return Err(Outcome::NotOpened);
                }
                if p.has(SYN) && p.has(ACK) {
                    let flow = OpenFlow {
                        sport,
                        route,
                        inbox,
                        endpoint: String::from_utf8_lossy(&p.data).into_owned(),
                        seq: isn.wrapping_add(1),
                        ack: p.seq.wrapping_add(1),
                        echo: p.echo,
                    };
                    self.transmit(&self.packet(&flow, ACK, Vec::new()));
                    return Ok(flow);
                }
            }
        }
        self.close(sport);
        Err(Outcome::NotOpened)
    }

    /// Sends one request on an open flow and waits for its answer.
    pub fn request(&self, flow: &mut OpenFlow, method: &str, deadline: Duration) -> Outcome {
        let id = self.next_id.fetch_add(1, Ordering::SeqCst);
        let text = format!(
            "{method} / HTTP/1.1\r\nHost: x\r\nZinniadrift-Attempt-Id: {id:x}\r\nContent-Length: 0\r\n\r\n"
        );
        let until = Instant::now() + deadline;
        let mut interval = 200;
        let mut sends = 0;
        let len = text.len() as u32;
        while Instant::now() < until {
            sends += 1;
            self.transmit(&self.packet(flow, ACK, text.clone().into_bytes()));
            let next = (Instant::now() + ms(interval)).min(until);
            loop {
                let left = next.saturating_duration_since(Instant::now());
                let Ok(p) = flow.inbox.recv_timeout(left) else {
                    break;
                };
                if p.has(RST) {
                    let by_system = p.sum == 0;
                    let distance = p.seq.wrapping_sub(flow.ack) as i32;
                    if by_system && distance.unsigned_abs() > 76_800 {
                        continue;
                    }
                    let t = self.seen.record.now();
                    let who = match by_system {
                        true => format!("the system (daemon at {})", p.from),
                        false => "an endpoint".to_owned(),
                    };
                    self.seen.record.line(format!(
                        "client {}:{} got a reset from {who} on its open flow at {} (request {id:x}, sent {sends} times)",
                        self.ip, flow.sport, flow.endpoint
                    ));
                    if by_system {
                        self.seen.resets.lock().unwrap().push(Reset {
                            at: t,
                            client: SocketAddrV4::new(self.ip, flow.sport),
                            endpoint: flow.endpoint.clone(),
                            route: flow.route,
                            by: p.from,
                        });
                        return Outcome::ResetBySystem;
                    }
                    return Outcome::ResetByEndpoint;
                }
                if p.has(SYN) || p.seq != flow.ack || p.data.is_empty() {
                    continue;
                }
                let is_refused = p.data.starts_with(b"HTTP/1.1 503");
                flow.echo = p.echo;
                flow.seq = flow.seq.wrapping_add(len);
                flow.ack = flow.ack.wrapping_add(p.data.len() as u32);
                self.transmit(&self.packet(flow, ACK, Vec::new()));
                if is_refused {
                    return Outcome::Refused;
                }
                self.seen.answered.fetch_add(1, Ordering::SeqCst);
                return Outcome::Answered;
            }
            interval = (interval * 2).min(1_600);
        }
        Outcome::Deadline
    }

    pub fn finish(&self, flow: &OpenFlow) {
        self.transmit(&self.packet(flow, FIN | ACK, Vec::new()));
        self.close(flow.sport);
    }

    pub fn close(&self, sport: u16) {
        self.inboxes.lock().unwrap().remove(&sport);
    }
}

// ---------------------------------------------------------------- proxy

/// A TCP proxy on the way from one machine to the store; while it is cut, nothing passes.
pub struct Proxy {
    pub address: SocketAddrV4,
    cut: Arc<AtomicBool>,
}

impl Proxy {
    pub fn start(ip: Ipv4Addr, to: SocketAddrV4) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("proxy's port");
        let port = listener.local_addr().unwrap().port();
        let cut = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&cut);
        spawn(move || {
            for client in listener.incoming().flatten() {
                let flag = Arc::clone(&flag);
                spawn(move || {
                    wait_while(&flag);
                    let Ok(server) = TcpStream::connect(to) else {
                        return;
                    };
                    let (c, s) = (client.try_clone().unwrap(), server.try_clone().unwrap());
                    let back = Arc::clone(&flag);
                    spawn(move || pipe(s, c, &back));
                    pipe(client, server, &flag);
                });
            }
        });
        Self {
            address: SocketAddrV4::new(ip, port),
            cut,
        }
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        sleep(ms(5));
    }
}

fn pipe(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    to.set_nodelay(true).ok();
    let mut buf = [0; 16_384];
    while let Ok(n) = from.read(&mut buf) {
        wait_while(cut);
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            break;
        }
    }
    from.shutdown(std::net::Shutdown::Both).ok();
    to.shutdown(std::net::Shutdown::Both).ok();
}

// ---------------------------------------------------------------- daemons

/// The bounds of the small sites (glag-ore, vsn-ruf).
pub const SMALL_SITE: &str = "{\"seed_lag_s\":3,\"address_reuse_s\":2,\"stability_window_ms\":4000,\
    \"acknowledge_ms\":5000,\"catch_up_s\":4,\"drain_ms\":3000,\"grace_s\":6,\"loss_slack_ms\":200,\
    \"config_apply_ms\":3000,\"rollback_slack_ms\":250,\"maximum_stretch_ms\":12000,\
    \"recovery_s\":12,\"flow_reorder_ms\":2000,\"flow_lifetime_s\":60}";
/// The bounds of the site glag-ore-grown.
pub const GROWN_SITE: &str = "{\"seed_lag_s\":3,\"address_reuse_s\":2,\"stability_window_ms\":5000,\
    \"acknowledge_ms\":8000,\"catch_up_s\":6,\"drain_ms\":5000,\"grace_s\":6,\"loss_slack_ms\":200,\
    \"config_apply_ms\":5000,\"rollback_slack_ms\":250,\"maximum_stretch_ms\":15000,\
    \"recovery_s\":15,\"flow_reorder_ms\":2000,\"flow_lifetime_s\":60}";
/// The bounds of the site glag-ore-now-grown, on which zones are evacuated.
pub const EVACUATING_SITE: &str = "{\"seed_lag_s\":3,\"address_reuse_s\":2,\
    \"stability_window_ms\":5000,\"acknowledge_ms\":8000,\"catch_up_s\":6,\"drain_ms\":5000,\
    \"grace_s\":6,\"loss_slack_ms\":200,\"config_apply_ms\":5000,\"rollback_slack_ms\":250,\
    \"maximum_stretch_ms\":15000,\"cold_overshoot\":1.5,\"cold_slack\":5,\"evacuate_ms\":5000,\
    \"recovery_s\":15,\"flow_reorder_ms\":2000,\"flow_lifetime_s\":60}";

/// The daemons of the deploy file as processes, and the routers' probes.
pub struct Fleet {
    pub dir: PathBuf,
    children: Vec<Child>,
    pub ips: Vec<Ipv4Addr>,
    pub rotation: Arc<Mutex<Vec<Ipv4Addr>>>,
    pub in_rotation_at: Arc<Mutex<HashMap<Ipv4Addr, Instant>>>,
    pub port: u16,
    ready_port: u16,
    control_port: u16,
    zones: Vec<&'static str>,
    bounds: String,
    seeds: usize,
    /// The store's address as each daemon sees it.
    stores: Vec<SocketAddrV4>,
    link_mbps: u32,
    command: Vec<String>,
}

pub struct Plan {
    pub base: [u8; 2],
    pub port: u16,
    pub ready_port: u16,
    pub control_port: u16,
}

impl Plan {
    /// Chooses a part of the loopback network and ports that nobody uses there.
    pub fn choose() -> Self {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .subsec_nanos();
        let mut n = nanos ^ std::process::id().wrapping_mul(0x9e37_79b1);
        loop {
            n = n.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let base = [(n >> 24) as u8 % 200 + 20, (n >> 16) as u8];
            let port = 12_000 + (n >> 8) as u16 % 4_000 * 3;
            let ip = |last| Ipv4Addr::new(127, base[0], base[1], last);
            let tcp_free = |ip: Ipv4Addr, p: u16| TcpListener::bind((ip, p)).is_ok();
            let free = (1..=150).all(|h| {
                UdpSocket::bind((ip(h), port)).is_ok()
                    && tcp_free(ip(h), port + 1)
                    && tcp_free(ip(h), port + 2)
                    && tcp_free(ip(h), 9_464)
            });
            if free {
                return Self {
                    base,
                    port,
                    ready_port: port + 1,
                    control_port: port + 2,
                };
            }
        }
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.base[0], self.base[1], last)
    }
}

impl Fleet {
    /// Starts `count` daemons, the first `seeds` of which are in the list of seeds.
    pub fn start(
        plan: &Plan,
        stores: Vec<SocketAddrV4>,
        link_mbps: u32,
        zones: &[&'static str],
        count: u8,
        seeds: usize,
        bounds: &str,
    ) -> Self {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_nanos();
        let dir = std::env::temp_dir().join(format!("review-{}-{nanos}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("temporary folder");
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("deploy file");
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = "))
            .expect("run");
        let command = run.trim_matches('"').split(' ').map(Into::into).collect();
        let mut fleet = Self {
            dir,
            children: Vec::new(),
            ips: (0..count).map(|n| plan.ip(11 + n)).collect(),
            rotation: Arc::default(),
            in_rotation_at: Arc::default(),
            port: plan.port,
            ready_port: plan.ready_port,
            control_port: plan.control_port,
            zones: zones.to_vec(),
            bounds: bounds.into(),
            seeds,
            stores,
            link_mbps,
            command,
        };
        for n in 0..count {
            let child = fleet.spawn(n, true);
            fleet.children.push(child);
        }
        fleet.probe();
        fleet
    }

    fn spawn(&self, n: u8, first: bool) -> Child {
        let ip = self.ips[usize::from(n)];
        let zone = self.zones[usize::from(n) % self.zones.len()];
        let seeds = self.ips.iter().take(self.seeds);
        let seeds: Vec<String> = seeds
            .map(|ip| format!("\"{ip}:{}\"", self.control_port))
            .collect();
        let zones = self.zones.iter().map(|z| format!("\"{z}\":\"merrimack\""));
        let zones = zones.collect::<Vec<_>>().join(",");
        let settings = format!(
            "{{\"node_name\":\"front-{n}\",\"role\":\"balancer\",\"machine_class\":\"front\",\
             \"serves\":[\"front\",\"control\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\
             \"region\":\"merrimack\",\"zones\":{{{zones}}},\
             \"listen\":{{\"datagram_address\":\"{ip}:{}\",\"ready\":\"{ip}:{}\",\"control\":\"{ip}:{}\"}},\
             \"internal_ports\":[7720,7735],\"seeds\":[{}],\"bootstrap\":{first},\
             \"counts_toward_tolerance\":false,\
             \"limits\":{{\"cpu_share\":0.055,\"cores\":1,\"memory_mb\":260,\"file_descriptors\":4100,\
             \"link_mbps\":{}.0,\"disk_mb\":0}},\"data_directory\":null,\"discovery\":\"platform\",\
             \"entry\":\"announce\",\"heartbeat_ms\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"recover\",{}\"flows\",\"platform\"],\
             \"tolerance\":{{\"machines\":1,\"zones\":1,\"regions\":0}},\"bounds\":{},\
             \"hash\":\"steady\",\"forwarding_mode\":\"echo\",\
             \"platform\":{{\"address\":\"{}\",\"forwarding_mode\":\"objects\",\"writes_per_s\":400,\
             \"reads_per_s\":2000,\"history_s\":20,\"value_bytes\":1048576,\"ttl_min_ms\":1000}}}}",
            self.port,
            self.ready_port,
            self.control_port,
            seeds.join(","),
            self.link_mbps,
            self.further_contracts(),
            self.bounds,
            self.stores[usize::from(n)]
        );
        let path = self.dir.join(format!("boot-{n}.json"));
        std::fs::write(&path, settings).unwrap();
        let log = self.dir.join(format!("front-{n}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(&self.command[0])
            .args(&self.command[1..])
            .env_clear()
            .env("ZINNIADRIFT_BOOT", path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the daemon of the deploy file; build it first");
        STARTED.lock().unwrap().push(child.id());
        child
    }

    /// The contracts that the larger sites have beside the common ones.
    fn further_contracts(&self) -> &'static str {
        match &*self.bounds {
            EVACUATING_SITE => "\"health\",\"places\",",
            GROWN_SITE => "\"health\",",
            _ => "",
        }
    }

    /// Sends a signal to a daemon by its process id.
    pub fn signal(&self, n: usize, signal: &str) {
        let pid = self.children[n].id().to_string();
        Command::new("kill").args([signal, &pid]).status().ok();
    }

    /// Removes a machine for good: its daemon is killed and does not return.
    pub fn remove(&mut self, n: usize) {
        let child = &mut self.children[n];
        child.kill().ok();
        child.wait().ok();
        let id = child.id();
        STARTED.lock().unwrap().retain(|pid| *pid != id);
    }

    /// Returns the value of a metric of a daemon.
    pub fn metric(&self, n: usize, name: &str) -> Option<f64> {
        let mut stream = TcpStream::connect((self.ips[n], 9_464)).ok()?;
        stream.set_read_timeout(Some(ms(500))).ok()?;
        let text = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(text.as_bytes()).ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).ok()?;
        let line = text
            .lines()
            .find(|l| l.split([' ', '{']).next() == Some(name))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    /// Kills all daemons and starts them again.
    pub fn kill_all_and_start(&mut self) {
        for child in &mut self.children {
            child.kill().ok();
            child.wait().ok();
        }
        STARTED.lock().unwrap().clear();
        for n in 0..self.ips.len() {
            self.children[n] = self.spawn(n as u8, false);
        }
    }

    /// The routers' probes: twice a second; out of rotation after two misses.
    fn probe(&self) {
        for &ip in &self.ips {
            let rotation = Arc::clone(&self.rotation);
            let since = Arc::clone(&self.in_rotation_at);
            let address = SocketAddrV4::new(ip, self.ready_port);
            spawn(move || {
                let mut misses = 2;
                loop {
                    let ok = probe_once(address);
                    misses = if ok { 0 } else { misses + 1 };
                    let mut list = rotation.lock().unwrap();
                    let is_in = list.contains(&ip);
                    if misses == 0 && !is_in {
                        list.push(ip);
                        list.sort();
                        since.lock().unwrap().insert(ip, Instant::now());
                    } else if misses >= 2 && is_in {
                        list.retain(|i| *i != ip);
                    }
                    drop(list);
                    sleep(ms(500));
                }
            });
        }
    }

    /// Returns whether all daemons are in rotation within `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.rotation.lock().unwrap().len() == self.ips.len() {
                return true;
            }
            sleep(ms(50));
        }
        false
    }

    /// Copies the log lines that contain one of `words` to the record.
    pub fn quote_logs(&self, record: &Record, words: &[&str], most: usize) {
        for n in 0..self.ips.len() {
            let text = std::fs::read_to_string(self.dir.join(format!("front-{n}.log")));
            let text = text.unwrap_or_default();
            let lines = text.lines().filter(|l| words.iter().any(|w| l.contains(w)));
            for line in lines.take(most) {
                record.line(format!("log of front-{n}: {line}"));
            }
        }
    }

    pub fn any_ended(&mut self) -> bool {
        self.children
            .iter_mut()
            .any(|c| matches!(c.try_wait(), Ok(Some(_))))
    }
}

fn probe_once(address: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address.into(), ms(400)) else {
        return false;
    };
    stream.set_read_timeout(Some(ms(400))).ok();
    let text = format!("GET /readiness HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    if stream.write_all(text.as_bytes()).is_err() {
        return false;
    }
    let mut buf = [0; 64];
    matches!(stream.read(&mut buf), Ok(n) if buf[..n].starts_with(b"HTTP/1.1 200"))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            child.kill().ok();
            child.wait().ok();
        }
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir] = args.as_slice() else {
        eprintln!("usage: standins CASE FOLDER, in the root of the repository");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // Nothing that this process started outlives it, also if the case hangs.
    spawn(|| {
        sleep(Duration::from_secs(110));
        for pid in STARTED.lock().unwrap().iter() {
            Command::new("kill")
                .args(["-KILL", &pid.to_string()])
                .status()
                .ok();
        }
        std::process::exit(2);
    });
    let code = std::panic::catch_unwind(|| cases::run(case, Path::new(dir), trouble));
    std::process::exit(code.unwrap_or(2));
}
