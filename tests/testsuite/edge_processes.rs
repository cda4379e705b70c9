//! Tests the balancer for the users' platform as processes, with stand-ins for the platform.

use std::io::Read;
use std::process::{Command, Stdio};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use nix::sys::signal::Signal;
use prost::Message;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, timeout};

use zinniadrift_core::steering::{
    ObservationAge, ObservationReport, ResponseLevel, TargetObservation, TargetTag,
};
use zinniadrift_core::units::MonoTime;
use zinniadrift_edge::flag;
use zinniadrift_stand_ins::{
    AddressPlan, BalancerProcess, CallerSettings, FlowPacket, GuaranteeChecker, Link, ROUTE,
    Refusal, StoreFaults, TestCluster, TestClusterSettings,
};

use zinniadrift_proto::v1;
use zinniadrift_store::HttpTransport;

use crate::processes_testbed::program;

/// Cluster numbers, of which there are 16, that several tests use one after the other.
pub(crate) static SHARED_NUMBERS: [Mutex<u8>; 2] = [Mutex::const_new(10), Mutex::const_new(11)];

/// The time-out for a change to become visible; generous, because the host may be very busy.
pub(crate) const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

async fn start_cluster(number: u8, balancers: u8, targets: u8) -> TestCluster {
    start_cluster_with(TestClusterSettings {
        number,
        balancers,
        targets,
        ..TestClusterSettings::default()
    })
    .await
}

pub(crate) async fn start_cluster_with(cfg: TestClusterSettings) -> TestCluster {
    let settings = TestClusterSettings {
        program: program("zinniadrift-edge"),
        ..cfg
    };
    let mut cluster = TestCluster::start(&settings).await.unwrap();
    let balancers = usize::from(settings.balancers);
    assert!(cluster.wait_until_ready(CHANGE_TIMEOUT).await);
    assert!(cluster.wait_for_rotation(balancers, CHANGE_TIMEOUT).await);
    cluster
}

/// Returns a cluster whose callers received more than `answers` answers, and its checker.
async fn served_cluster(
    number: u8,
    balancers: u8,
    targets: u8,
    answers: u64,
) -> (TestCluster, GuaranteeChecker) {
    let mut cluster = start_cluster(number, balancers, targets).await;
    cluster.start_caller(0, CallerSettings::default());
    let checker = cluster.checker.clone();
    wait_until("callers are served", || {
        checker.summary().answered > answers
    })
    .await;
    (cluster, checker)
}

/// Waits until `done` returns true; panics with `what` after [`CHANGE_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    while !done() {
        assert!(
            Instant::now() < deadline,
            "not within {CHANGE_TIMEOUT:?}: {what}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

fn log_of(balancer: &BalancerProcess) -> String {
    std::fs::read_to_string(balancer.log_path()).unwrap()
}

async fn get(address: std::net::SocketAddrV4, path: &str) -> Option<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let req = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(req.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    timeout(Duration::from_secs(5), exchange).await.ok()?
}

/// Returns the value of one of a balancer's gauges.
pub(crate) async fn gauge_of(cluster: &TestCluster, balancer: u8, name: &str) -> Option<i64> {
    let host = AddressPlan::balancer_host(balancer);
    let address = cluster.plan.address(host, AddressPlan::METRICS_PORT);
    gauge(&get(address, "/metrics").await?, name)
}

/// Guards against faults on the whole path: callers, balancers and targets as on the platform.
#[tokio::test]
async fn flows_are_served_through_all_balancers() {
    let (cluster, checker) = served_cluster(0, 3, 4, 500).await;
    let summary = checker.summary();
    assert_eq!(summary.violations, Vec::<String>::new());
    cluster.stop(true).await;
}

/// Guards against a process that exits on SIGHUP (seen 62 times on glag-ore-grown trouble-1), and
/// against changed settings that are not reloaded, with or without SIGHUP.
#[tokio::test]
async fn settings_are_reloaded() {
    let mut cluster = start_cluster(1, 1, 1).await;
    // A single balancer is in rotation even before its process is ready.
    let started =
        |cluster: &TestCluster| log_of(&cluster.balancers[0]).contains("balancer started");
    wait_until("the process runs", || started(&cluster)).await;
    cluster.balancers[0].signal(Signal::SIGHUP);
    let unchanged =
        |cluster: &TestCluster| log_of(&cluster.balancers[0]).contains("nothing changed");
    wait_until("SIGHUP is noticed", || unchanged(&cluster)).await;
    assert!(cluster.balancers[0].exit_status().is_none());
    cluster.balancers[0]
        .change_settings("seeds", json!(["127.0.0.1:1"]))
        .unwrap();
    let changed =
        |cluster: &TestCluster| log_of(&cluster.balancers[0]).contains("settings changed");
    wait_until("the change is noticed", || changed(&cluster)).await;
    // The settings in force stay if the file is invalid.
    cluster.balancers[0]
        .change_settings("seeds", json!("none"))
        .unwrap();
    cluster.balancers[0].signal(Signal::SIGHUP);
    let refused = |cluster: &TestCluster| log_of(&cluster.balancers[0]).contains("$.seeds");
    wait_until("the fault is reported", || refused(&cluster)).await;
    assert!(cluster.balancers[0].exit_status().is_none());
    cluster.stop(true).await;
}

/// Guards against requests that fail because of a planned stop.
#[tokio::test]
async fn stopped_balancer_leaves_rotation_first() {
    let (mut cluster, checker) = served_cluster(2, 3, 3, 100).await;
    cluster.balancers[0].signal(Signal::SIGTERM);
    wait_until("the process ends", || {
        cluster.balancers[0].exit_status().is_some()
    })
    .await;
    assert!(cluster.balancers[0].exit_status().unwrap().success());
    let served = checker.summary().answered;
    wait_until("the others serve", || {
        checker.summary().answered > served + 200
    })
    .await;
    let summary = checker.summary();
    assert_eq!(summary.violations, Vec::<String>::new());
    assert_eq!(summary.failed, Default::default());
    cluster.stop(true).await;
}

/// Guards against using stale state as current after the process was paused, whichever event comes
/// first after the pause. A pause was once missed unless that event was a packet or a timer tick.
#[tokio::test]
async fn paused_process_refreshes_its_state() {
    let cluster = start_cluster(8, 1, 1).await;
    let started =
        |cluster: &TestCluster| log_of(&cluster.balancers[0]).contains("balancer started");
    wait_until("the process runs", || started(&cluster)).await;
    for round in 1..=3 {
        cluster.balancers[0].signal(Signal::SIGSTOP);
        sleep(Duration::from_millis(2_500)).await;
        cluster.balancers[0].signal(Signal::SIGCONT);
        let pauses = |cluster: &TestCluster| {
            log_of(&cluster.balancers[0])
                .matches("process was paused")
                .count()
        };
        wait_until("the pause is noticed", || pauses(&cluster) >= round).await;
    }
    cluster.stop(true).await;
}

/// Guards against a new balancer that never becomes ready because it cannot reach the store.
#[tokio::test]
async fn new_balancer_synchronises_from_a_relay() {
    let mut cluster = start_cluster(3, 3, 2).await;
    cluster.balancers[1].kill();
    cluster.proxies[1].set(Link::Reset);
    cluster.balancers[1].spawn().unwrap();
    let ready = cluster
        .plan
        .address(AddressPlan::balancer_host(1), AddressPlan::READINESS_PORT);
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    while !get(ready, "/").await.is_some_and(|a| a.contains(" 200 ")) {
        assert!(Instant::now() < deadline, "not ready");
        sleep(Duration::from_millis(50)).await;
    }
    cluster.stop(true).await;
}

/// Guards against builds that do not understand each other during a rolling upgrade: a build before
/// the compact format accepts JSON only and names no content type.
#[tokio::test]
async fn peers_of_earlier_builds_get_json() {
    let cluster = start_cluster(12, 1, 2).await;
    let host = AddressPlan::balancer_host(0);
    let peer = cluster.plan.address(host, AddressPlan::PEER_PORT);
    let ready = cluster.plan.address(host, AddressPlan::READINESS_PORT);
    wait_until_listening(ready).await;
    let request = json!({"known": {"targets": 0, "routes": 0, "version": 0}, "wait_ms": 5_000,
        "asker": null});
    let post = |accept: &'static str| async move {
        let req = Request::post(format!("http://{peer}/steering/news")).header("accept", accept);
        let req = req.body(Full::new(request_body(&request))).unwrap();
        let resp = HttpTransport::new()
            .call(req, CHANGE_TIMEOUT)
            .await
            .unwrap();
        let content_type = resp.headers()["content-type"].to_str().unwrap().to_owned();
        (content_type, resp.into_body())
    };
    let (content_type, body) = post.clone()("*/*").await;
    assert_eq!(content_type, "application/json");
    let update: serde_json::Value = serde_json::from_slice(&body).unwrap();
    let targets = &update["News"]["targets"]["All"];
    assert_eq!(targets["targets"].as_array().unwrap().len(), 2);
    assert!(targets["as_of"].is_u64(), "{targets}");
    let compact = "application/x-zinniadrift-peer-v1";
    let (content_type, body) = post(compact).await;
    assert_eq!(content_type, compact);
    let response = v1::PeerResponse::decode(body).unwrap();
    let Some(v1::peer_response::Body::Update(update)) = response.body else {
        panic!("no update");
    };
    assert_eq!(update.changes.len(), 2);
    cluster.stop(true).await;
}

fn request_body(request: &serde_json::Value) -> Bytes {
    request.to_string().into()
}

/// Guards against balancers that ignore the store after it came back from an older copy: revisions
/// went back, so every list was older than what they knew. Each of them calls the store for that no
/// more than a relay needs.
#[tokio::test]
async fn store_that_returns_from_a_copy_is_followed() {
    let mut cluster = start_cluster(13, 6, 3).await;
    cluster.start_caller(0, CallerSettings::default());
    let checker = cluster.checker.clone();
    wait_until("callers are served", || checker.summary().answered > 100).await;
    for n in 0..40 {
        cluster.configure(if n % 2 == 0 {
            &[ROUTE, "198.18.0.9:443"]
        } else {
            &[ROUTE]
        });
        sleep(Duration::from_millis(30)).await;
    }
    cluster.store.come_back(Duration::from_secs(1));
    cluster.configure_again();
    cluster.configure(&[ROUTE, "198.18.0.8:443"]);
    let newest = i64::try_from(cluster.version()).unwrap();
    for n in 0..6 {
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        loop {
            let (era, version) = (
                gauge_of(&cluster, n, "zinniadrift_edge_store_era").await,
                gauge_of(&cluster, n, "zinniadrift_edge_configuration_version").await,
            );
            if (era, version) == (Some(1), Some(newest)) {
                break;
            }
            assert!(Instant::now() < deadline, "{n}: {era:?} {version:?}");
            sleep(Duration::from_millis(20)).await;
        }
        let log = log_of(&cluster.balancers[usize::from(n)]);
        assert!(log.contains("store came back from an older copy"), "{n}");
        let versions = log.lines().filter(|l| l.contains("configuration in force"));
        let versions = versions.filter_map(|l| l.split("\"version\":\"").nth(1));
        let versions = versions.filter_map(|l| l.split('"').next()?.parse::<u64>().ok());
        let versions: Vec<u64> = versions.collect();
        assert!(versions.is_sorted(), "{versions:?}");
    }
    let answered = checker.summary().answered;
    wait_until("callers are served", || {
        checker.summary().answered > answered + 200
    })
    .await;
    let summary = checker.summary();
    assert_eq!(summary.violations, Vec::<String>::new());
    cluster.stop(true).await;
}

/// Guards against every balancer watching the store, which makes calls grow with the fleet.
#[tokio::test]
async fn store_calls_do_not_grow_with_balancers() {
    let cluster = start_cluster(4, 9, 2).await;
    let window = Duration::from_secs(6);
    sleep(Duration::from_secs(2)).await;
    let before = cluster.store.calls();
    sleep(window).await;
    let calls = cluster.store.calls() - before;
    // Each of three relays watches two feeds with one call in four seconds; one more call per feed
    // may fall on the edges of the window.
    let max_calls = 3 * 2 * (window.as_secs() / 4 + 1);
    assert!(
        calls <= max_calls,
        "{calls} calls of 9 balancers, at most {max_calls}"
    );
    cluster.stop(true).await;
}

/// Guards against a relay that answers every balancer itself: it left all connections beyond 64
/// unanswered, and its memory and traffic grew with the fleet.
#[tokio::test]
async fn relay_answers_a_bounded_number_of_peers() {
    let mut cluster = start_cluster_with(TestClusterSettings {
        number: 9,
        balancers: 20,
        targets: 1,
        relays: 1,
        ..TestClusterSettings::default()
    })
    .await;
    let plan = cluster.plan;
    let metrics =
        move |n: u8| plan.address(AddressPlan::balancer_host(n), AddressPlan::METRICS_PORT);
    let mut answered = Vec::new();
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    while answered.iter().sum::<i64>() < 19 {
        assert!(Instant::now() < deadline, "{answered:?} of 19 are answered");
        sleep(Duration::from_millis(200)).await;
        answered.clear();
        for n in 0..20 {
            let text = get(metrics(n), "/metrics").await.unwrap_or_default();
            answered.push(gauge(&text, "zinniadrift_edge_peers_answered").unwrap_or(0));
        }
    }
    assert!(answered.iter().all(|n| *n <= 16), "{answered:?}");
    // A balancer that the relay refers to another peer receives updates like the others.
    cluster.configure(&[ROUTE, "198.18.0.2:443"]);
    for n in 0..20 {
        let text = loop {
            let text = get(metrics(n), "/metrics").await.unwrap_or_default();
            if gauge(&text, "zinniadrift_edge_routes") == Some(2) {
                break text;
            }
            assert!(Instant::now() < deadline, "balancer {n} has the old routes");
            sleep(Duration::from_millis(50)).await;
        };
        let changes = "zinniadrift_edge_change_bound_seconds_count{feed=\"routes\"}";
        assert_eq!(gauge(&text, changes), Some(1), "balancer {n}");
    }
    cluster.stop(true).await;
}

/// Guards against balancers that ask for no part of the shared limits, grant none or lose it
/// between two requests: with 20 balancers, some get their parts through another one than the relay.
#[tokio::test]
async fn balancers_divide_the_shared_limits() {
    let number = SHARED_NUMBERS[0].lock().await;
    let mut cluster = start_cluster_with(TestClusterSettings {
        number: *number,
        balancers: 20,
        targets: 1,
        relays: 1,
        ..TestClusterSettings::default()
    })
    .await;
    let bounds = json!({"grace_s": 6, "flow_lifetime_s": 60, "cold_overshoot": 1.5});
    for balancer in &mut cluster.balancers {
        balancer.change_settings("bounds", bounds.clone()).unwrap();
        balancer.signal(Signal::SIGHUP);
    }
    let services = json!([{"name": "gradebook", "cold_per_s": 4}]);
    let spec = json!({"version": 1_000, "routes": [], "services": services});
    cluster.store.put("config", "main", &spec);
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let mut shares = Vec::new();
    // The gauges are not read at one time, so that their sum may be above the whole for a moment.
    while !(950_000..=1_000_000).contains(&shares.iter().sum::<i64>()) || shares.contains(&0) {
        assert!(Instant::now() < deadline, "{shares:?} millionths");
        sleep(Duration::from_millis(500)).await;
        shares.clear();
        for n in 0..20 {
            let share = gauge_of(&cluster, n, "zinniadrift_edge_capacity_share_ppm").await;
            shares.push(share.unwrap_or(0));
        }
    }
    cluster.stop(true).await;
}

/// Guards against observations that are lost between processes: up to a relay, to another relay, or
/// down to the balancers behind it.
#[tokio::test]
async fn observations_reach_all_balancers() {
    let number = SHARED_NUMBERS[1].lock().await;
    let mut cluster = start_cluster_with(TestClusterSettings {
        number: *number,
        balancers: 6,
        targets: 1,
        relays: 2,
        ..TestClusterSettings::default()
    })
    .await;
    for balancer in &mut cluster.balancers {
        let contracts = json!(["places", "pressure"]);
        balancer.change_settings("contracts", contracts).unwrap();
        balancer.signal(Signal::SIGHUP);
    }
    // Without callers, the only observation is that of a balancer behind the last one, which
    // requests updates from it.
    let now = MonoTime::from_millis(1_000);
    let observation = TargetObservation {
        target: TargetTag::from_name("i-observed"),
        response: ResponseLevel::from_duration(Duration::from_millis(80)),
        samples: 9,
        outstanding: 3,
        unanswered: 0,
        witnesses: 0,
        answer_age: ObservationAge::new(now, Some(now)),
        silence_age: ObservationAge::NONE,
        age: ObservationAge::new(now, Some(now)),
    };
    let report = ObservationReport {
        from: 7.into(),
        hops: 1,
        relay: false,
        targets: vec![observation],
    };
    let host = AddressPlan::balancer_host(5);
    let address = cluster.plan.address(host, AddressPlan::PEER_PORT);
    let transport = HttpTransport::new();
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let mut reached = vec![false; 6];
    while reached.contains(&false) {
        if Instant::now() >= deadline {
            for n in (0..6).filter(|n| !reached[*n]) {
                eprintln!("balancer {n}:\n{}", log_of(&cluster.balancers[n]));
            }
            panic!("only {reached:?} know the target");
        }
        let body = serde_json::to_vec(&report).unwrap();
        let req = Request::post(format!("http://{address}/steering/observations"));
        let req = req.body(Full::new(Bytes::from(body))).unwrap();
        let resp = transport.call(req, Duration::from_secs(1)).await;
        assert!(resp.is_ok_and(|r| r.status().is_success()));
        for (n, is_reached) in (0..).zip(&mut reached) {
            let known = gauge_of(&cluster, n, "zinniadrift_edge_observations_targets").await;
            *is_reached |= known == Some(1);
        }
        sleep(Duration::from_millis(300)).await;
    }
    cluster.stop(true).await;
}

fn gauge(metrics: &str, name: &str) -> Option<i64> {
    let line = metrics
        .lines()
        .find_map(|l| l.strip_prefix(name)?.strip_prefix(' '))?;
    line.trim().parse().ok()
}

/// Guards against flows that break or are not served during an outage of the store.
#[tokio::test]
async fn store_outage_does_not_affect_callers() {
    let (cluster, checker) = served_cluster(5, 3, 3, 50).await;
    for refusal in [
        Refusal::NoAnswer,
        Refusal::Status(429),
        Refusal::Status(503),
    ] {
        cluster.store.set_faults(StoreFaults {
            refusal: Some(refusal),
            ..StoreFaults::default()
        });
        let served = checker.summary().answered;
        sleep(Duration::from_millis(2_500)).await;
        wait_until("callers are served", || {
            checker.summary().answered > served + 100
        })
        .await;
    }
    let summary = checker.summary();
    assert_eq!(summary.violations, Vec::<String>::new());
    if !summary.failed.is_empty() {
        for balancer in &cluster.balancers {
            eprintln!("{}", log_of(balancer));
        }
    }
    assert_eq!(summary.failed, Default::default());
    cluster.stop(true).await;
}

/// Guards against dropping opening packets while a balancer waits for its first list.
#[tokio::test]
async fn packets_before_the_first_list_are_held() {
    let mut cluster = start_cluster(6, 1, 1).await;
    cluster.balancers[0].kill();
    cluster.store.set_faults(StoreFaults {
        delay: Duration::from_millis(100),
        ..StoreFaults::default()
    });
    cluster.balancers[0].spawn().unwrap();
    let caller = cluster.plan.caller(9);
    let socket = UdpSocket::bind(caller).await.unwrap();
    let balancer = cluster
        .plan
        .address(AddressPlan::balancer_host(0), AddressPlan::PACKET_PORT);
    let source = std::net::SocketAddrV4::new(*caller.ip(), 4_000);
    let syn = FlowPacket::new(
        source,
        ROUTE.parse().unwrap(),
        flag::SYN,
        (5, 0),
        Vec::new(),
    );
    // Packets to a closed port are lost, so wait for the socket; the first packet must be answered.
    let ready = cluster
        .plan
        .address(AddressPlan::balancer_host(0), AddressPlan::READINESS_PORT);
    wait_until_listening(ready).await;
    socket.send_to(&syn.encode(), balancer).await.unwrap();
    let mut buf = [0; 2_048];
    let (len, _) = timeout(CHANGE_TIMEOUT, socket.recv_from(&mut buf))
        .await
        .unwrap()
        .unwrap();
    let answer = FlowPacket::decode(&buf[..len]).unwrap();
    assert!(answer.has(flag::SYN | flag::ACK));
    cluster.stop(true).await;
}

/// Waits until the balancer listens for probes; it opens the packet socket before that.
async fn wait_until_listening(ready: std::net::SocketAddrV4) {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    while TcpStream::connect(ready).await.is_err() {
        assert!(Instant::now() < deadline, "not listening");
        sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against packets that are delayed because the reader of the log has stalled, and against
/// unbounded growth of the log and the metrics under a flood.
#[tokio::test]
async fn stalled_log_reader_does_not_delay_packets() {
    let mut cluster = start_cluster(7, 1, 2).await;
    cluster.balancers[0].kill();
    let settings = cluster.dir.join("balancer-0.json");
    let mut child = Command::new(program("zinniadrift-edge"))
        .args(["--metrics-port", &AddressPlan::METRICS_PORT.to_string()])
        .env("ZINNIADRIFT_BOOT", settings)
        // The test does not read this pipe while the process runs.
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let ready = cluster
        .plan
        .address(AddressPlan::balancer_host(0), AddressPlan::READINESS_PORT);
    wait_until_listening(ready).await;
    // Each flow and each packet without a cookie produces a log line.
    let flood = UdpSocket::bind(cluster.plan.caller(9)).await.unwrap();
    let balancer = cluster
        .plan
        .address(AddressPlan::balancer_host(0), AddressPlan::PACKET_PORT);
    for i in 0..60_000_u32 {
        let source = std::net::SocketAddrV4::new(*cluster.plan.caller(9).ip(), i as u16);
        let flags = if i % 2 == 0 { flag::SYN } else { flag::ACK };
        let packet = FlowPacket::new(source, ROUTE.parse().unwrap(), flags, (i, 0), Vec::new());
        flood.send_to(&packet.encode(), balancer).await.unwrap();
        if i % 100 == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    }
    cluster.start_caller(0, CallerSettings::default());
    let checker = cluster.checker.clone();
    wait_until("callers are served", || checker.summary().answered > 100).await;
    let metrics = get(
        cluster
            .plan
            .address(AddressPlan::balancer_host(0), AddressPlan::METRICS_PORT),
        "/metrics",
    )
    .await
    .unwrap();
    let suppressed = metrics
        .lines()
        .find(|l| l.contains("log_lines_suppressed_total "));
    let count: f64 = suppressed
        .unwrap()
        .rsplit(' ')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    assert!(count > 1_000.0, "{suppressed:?}");
    assert!(
        metrics.len() < 100_000,
        "{} bytes of metrics",
        metrics.len()
    );
    child.kill().unwrap();
    child.wait().unwrap();
    let mut log = Vec::new();
    child.stdout.take().unwrap().read_to_end(&mut log).unwrap();
    assert!(log.len() < 200_000, "{} bytes of log", log.len());
    cluster.stop(true).await;
}

/// Guards against invalid settings and arguments that cause a panic or are ignored.
#[test]
fn invalid_input_is_reported() {
    let run = |args: &[&str]| {
        let mut command = Command::new(program("zinniadrift-edge"));
        let output = command
            .args(args)
            .env_remove("ZINNIADRIFT_BOOT")
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    let (code, text) = run(&["--what"]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("--what"), "{text}");
    let (code, text) = run(&[]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("ZINNIADRIFT_BOOT"), "{text}");
    let (code, text) = run(&["--settings", "/nonexistent/boot.json"]);
    assert_eq!(code, Some(4), "{text}");
    let (code, text) = run(&["--metrics-port", "many"]);
    assert_eq!(code, Some(2), "{text}");
    let (code, text) = run(&["--set", "admission"]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("NAME=VALUE"), "{text}");
    let settings = json!({
        "node_name": "front-1", "ip": "127.0.0.1", "zone": "lowell",
        "listen": {"datagram_address": "127.0.0.1:1", "ready": "127.0.0.1:1"},
        "bounds": {"grace_s": 6, "flow_lifetime_s": 60},
        "platform": {"address": "127.0.0.1:1"},
    });
    let file = std::env::temp_dir().join(format!("zinniadrift-boot-{}.json", std::process::id()));
    std::fs::write(&file, settings.to_string()).unwrap();
    let check = |setting: &str| {
        let path = file.to_str().unwrap();
        run(&["--settings", path, "--check-settings", "--set", setting])
    };
    let (code, text) = check("admission.enabled=false");
    assert_eq!(code, Some(0), "{text}");
    for setting in ["admission.min_limit=0", "admission.speed=1"] {
        let (code, text) = check(setting);
        assert_eq!(code, Some(2), "{text}");
        let name = setting.split('=').next().unwrap();
        assert!(text.contains(name), "{text}");
    }
    std::fs::remove_file(&file).unwrap();
}
