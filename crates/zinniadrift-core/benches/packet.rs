//! Measures the forwarding decision for a packet of a known flow and of a new flow.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use zinniadrift_core::balancer::{Balancer, BalancerEvent, BalancerSettings};
use zinniadrift_core::flow::{FlowKey, FlowPacket, PacketKind};
use zinniadrift_core::ids::{MemberId, PacketToken, ServiceId, TargetId};
use zinniadrift_core::settings::{Policies, Service, ServiceCatalog, Target, TargetState};
use zinniadrift_core::units::{MonoTime, Version, Weight};

/// Flows in the balancer's flow table during the measurement.
const FLOWS: u32 = 100_000;

fn catalog() -> Arc<ServiceCatalog> {
    let path = "granite/gradebook";
    let targets = (0..15).map(|i| {
        let name = format!("t{i}");
        Target {
            id: TargetId::from_name(path, &name),
            name: name.as_str().into(),
            address: ([127, 0, 0, 1], 80).into(),
            zone: "lowell".into(),
            weight: Weight::default(),
            state: TargetState::Active,
            slots: 2,
        }
    });
    let service = Service {
        id: ServiceId::from_name(path),
        path: path.into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 443),
        targets: targets.collect(),
        policies: Policies::default(),
    };
    Arc::new(ServiceCatalog {
        version: Version::from(1),
        services: vec![service],
    })
}

fn packet(n: u32, kind: PacketKind) -> FlowPacket {
    // Consecutive numbers must not give adjacent caller addresses, which would share cache lines.
    let ip = Ipv4Addr::from_bits(n.wrapping_mul(2_654_435_761));
    FlowPacket {
        flow: FlowKey {
            caller: SocketAddrV4::new(ip, 40_000),
            service: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 443),
        },
        kind,
        relayed: false,
        token: PacketToken::from(u64::from(n)),
    }
}

/// Returns a serving balancer without peers that knows `flows` flows, and the current time.
fn serving_balancer(flows: u32) -> (Balancer, MonoTime) {
    let mut out = Vec::new();
    let mut balancer = Balancer::new(BalancerSettings {
        member: MemberId::from_name("b1"),
        name: "b1".into(),
        ..BalancerSettings::default()
    });
    let mut now = MonoTime::from_millis(1);
    balancer.handle(now, BalancerEvent::Settings(catalog()), &mut out);
    for _ in 0..5 {
        now = now + Duration::from_secs(1);
        balancer.handle(now, BalancerEvent::Tick, &mut out);
    }
    for n in 0..flows {
        balancer.on_packet(now, &packet(n, PacketKind::Open), &mut out);
    }
    (balancer, now)
}

fn known_flow(c: &mut Criterion) {
    let (mut balancer, now) = serving_balancer(FLOWS);
    let mut out = Vec::new();
    let mut n = 0;
    c.bench_function("known", |b| {
        b.iter(|| {
            n = (n + 1) % FLOWS;
            let pkt = packet(n, PacketKind::Established);
            black_box(balancer.on_packet(now, &pkt, &mut out))
        });
    });
}

fn new_flow(c: &mut Criterion) {
    c.bench_function("new", |b| {
        b.iter_batched_ref(
            || (serving_balancer(FLOWS), Vec::new()),
            |((balancer, now), out)| {
                for n in FLOWS..FLOWS + 1_000 {
                    black_box(balancer.on_packet(*now, &packet(n, PacketKind::Open), out));
                }
            },
            BatchSize::LargeInput,
        );
    });
}

criterion_group!(benches, known_flow, new_flow);
criterion_main!(benches);
