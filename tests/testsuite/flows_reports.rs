//! Checks the placement of flows under misleading load reports.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use zinniadrift_core::balancer::{
    Balancer, BalancerEvent, BalancerSettings, TargetReport, Verdict,
};
use zinniadrift_core::flow::{FlowKey, FlowPacket, PacketKind};
use zinniadrift_core::ids::{Incarnation, MemberId, PacketToken, TargetId};
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

const SERVICE: &str = "127.20.0.1:443";
const TARGETS: [&str; 4] = ["a", "b", "c", "d"];
const FLOWS: u32 = 8_000;
const FLOW_INTERVAL: Duration = Duration::from_millis(10);
const REPORT_INTERVAL_FLOWS: u32 = 1_000;

fn catalog() -> ServiceCatalog {
    let targets: Vec<String> = TARGETS
        .iter()
        .enumerate()
        .map(|(i, n)| {
            format!(
                r#""{n}":{{"address":"127.0.0.1:{}","zone":"bern"}}"#,
                7000 + i
            )
        })
        .collect();
    let json = format!(
        r#"{{"version":1,"edit_id":"e","tree":{{"nodes":{{"einsatz":{{
            "service":{{"address":"{SERVICE}"}},"targets":{{{}}}}}}}}}}}"#,
        targets.join(",")
    );
    ServiceCatalog::parse(json.as_bytes()).unwrap()
}

/// Opens flows on one balancer and returns their imbalance (max/mean); target `a` reports `share`
/// of its flows.
fn imbalance(share: f64) -> f64 {
    let catalog = Arc::new(catalog());
    let service = catalog.services[0].id;
    let mut balancer = Balancer::new(BalancerSettings {
        member: MemberId::from_name("bern-balancer-1"),
        incarnation: Incarnation::from(1),
        ..BalancerSettings::default()
    });
    let mut out = Vec::new();
    let mut now = MonoTime::default();
    balancer.handle(now, BalancerEvent::Settings(catalog), &mut out);
    let mut flows: BTreeMap<TargetId, u32> = BTreeMap::new();
    for i in 0..FLOWS {
        now = now + FLOW_INTERVAL;
        while balancer.next_deadline().is_some_and(|d| d <= now) {
            balancer.handle(now, BalancerEvent::Tick, &mut out);
        }
        let caller = SocketAddrV4::new((0x7f09_0000 + i / 10_000).into(), 10_000 + i as u16);
        let flow = FlowKey {
            caller,
            service: SERVICE.parse().unwrap(),
        };
        let pkt = FlowPacket {
            flow,
            kind: PacketKind::Open,
            relayed: false,
            token: PacketToken::from(u64::from(i)),
        };
        let mut verdict = balancer.on_packet(now, &pkt, &mut out);
        if verdict == Verdict::Hold {
            // Without peers the next tick releases the packet.
            now = now + Duration::from_millis(2);
            balancer.handle(now, BalancerEvent::Tick, &mut out);
            verdict = out
                .iter()
                .find_map(|a| match a {
                    zinniadrift_core::balancer::BalancerAction::Release { verdict, .. } => {
                        Some(*verdict)
                    }
                    _ => None,
                })
                .unwrap();
        }
        out.clear();
        let Verdict::Forward(target) = verdict else {
            panic!("flow {i}: {verdict:?}");
        };
        *flows.entry(target).or_default() += 1;
        if i % REPORT_INTERVAL_FLOWS == REPORT_INTERVAL_FLOWS - 1 {
            report(&mut balancer, now, service, &flows, share);
        }
    }
    let most = flows.values().max().copied().unwrap_or(0);
    f64::from(most) * TARGETS.len() as f64 / f64::from(FLOWS)
}

fn report(
    balancer: &mut Balancer,
    now: MonoTime,
    service: zinniadrift_core::ids::ServiceId,
    flows: &BTreeMap<TargetId, u32>,
    share: f64,
) {
    let underreporting = TargetId::from_name("einsatz", TARGETS[0]);
    for (&target, &open) in flows {
        let factor = if target == underreporting { share } else { 1.0 };
        let open_flows = (f64::from(open) * factor) as u32;
        let report = TargetReport {
            service,
            target,
            open_flows,
            busy: 0,
            healthy: true,
        };
        balancer.handle(now, BalancerEvent::Report(report), &mut Vec::new());
    }
}

/// Guards against placing twice its share of flows on a target that reports half of its flows.
#[test]
fn target_that_reports_too_little_is_not_overloaded() {
    let ratio = imbalance(0.5);
    assert!(ratio <= 1.05, "max/mean {ratio}");
}

/// Guards against the plausibility check of reports unbalancing flows when all reports are correct.
#[test]
fn honest_reports_keep_flows_balanced() {
    let ratio = imbalance(1.0);
    assert!(ratio <= 1.05, "max/mean {ratio}");
}
