//! Embeds the balancer's state machine: a driver supplies time and packets, and applies verdicts.
//!
//! Run it with `cargo run -p zinniadrift-core --example embed`.

use std::error::Error;
use std::net::SocketAddrV4;
use std::sync::Arc;

use zinniadrift_core::balancer::{Balancer, BalancerAction, BalancerEvent, BalancerSettings};
use zinniadrift_core::flow::{FlowKey, FlowPacket, PacketKind};
use zinniadrift_core::ids::{Incarnation, MemberId, PacketToken};
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

const DOCUMENT: &str = r#"{
  "version": 1,
  "edit_id": "first",
  "tree": {
    "nodes": {
      "einsatz": {
        "service": { "address": "127.20.1.1:443" },
        "targets": {
          "bern-1": { "address": "127.0.0.1:7401", "zone": "bern" },
          "olten-1": { "address": "127.0.0.1:7402", "zone": "olten" }
        }
      }
    }
  }
}"#;

const FLOWS: u16 = 5;

fn main() -> Result<(), Box<dyn Error>> {
    let catalog = ServiceCatalog::parse(DOCUMENT.as_bytes()).map_err(|faults| {
        faults
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("; ")
    })?;
    let mut balancer = Balancer::new(BalancerSettings {
        member: MemberId::from_name("bern-balancer-1"),
        incarnation: Incarnation::from(1),
        name: "bern-balancer-1".into(),
        zone: "bern".into(),
        ..BalancerSettings::default()
    });
    let mut out = Vec::new();
    let mut now = MonoTime::default();
    balancer.handle(now, BalancerEvent::Settings(Arc::new(catalog)), &mut out);

    // A driver calls the state machine whenever its next deadline is due; here the clock advances
    // to the deadline without waiting.
    let ready = now + BalancerSettings::default().join_timeout * 2;
    while let Some(deadline) = balancer.next_deadline().filter(|d| *d <= ready) {
        now = deadline.max(now);
        balancer.handle(now, BalancerEvent::Tick, &mut out);
    }

    let service: SocketAddrV4 = "127.20.1.1:443".parse()?;
    for port in 0..FLOWS {
        let caller = SocketAddrV4::new([127, 9, 0, 1].into(), 10_000 + port);
        let flow = FlowKey { caller, service };
        let token = PacketToken::from(u64::from(port));
        let open = FlowPacket {
            flow,
            kind: PacketKind::Open,
            relayed: false,
            token,
        };
        println!("{flow}: {:?}", balancer.on_packet(now, &open, &mut out));
    }
    let sent = out
        .iter()
        .filter(|a| matches!(a, BalancerAction::Send { .. }))
        .count();
    println!("messages to peers: {sent}");
    Ok(())
}
