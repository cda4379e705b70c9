use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use serde_json::{Map, json};

use zinniadrift_core::settings::{
    Document, Node, ServiceCatalog, ServiceNode, TargetNode, TargetState,
};
use zinniadrift_core::units::{Version, Weight};

/// The flow table capacity per service, in flows; more than any run opens.
const FLOW_TABLE_CAPACITY: usize = 2_000_000;
const SERVICE_PORT: u16 = 443;

/// Generated settings with a given number of services and targets.
#[derive(Debug)]
pub(crate) struct SyntheticCatalog {
    doc: Document,
    pub(crate) addresses: Vec<SocketAddrV4>,
}

impl SyntheticCatalog {
    pub(crate) fn new(services: usize, targets: usize) -> Self {
        let addresses: Vec<_> = (0..services).map(address).collect();
        let nodes = addresses.iter().enumerate();
        let nodes =
            nodes.map(|(i, address)| (format!("service-{i}").into(), node(*address, targets)));
        let mut policies = Map::new();
        let flows = json!({ "flow_table_capacity": FLOW_TABLE_CAPACITY });
        policies.insert("flows".into(), flows);
        Self {
            doc: Document {
                version: Version::default().next(),
                edit_id: "1".into(),
                tree: Node {
                    policies,
                    nodes: nodes.collect(),
                    ..Node::default()
                },
                ..Document::default()
            },
            addresses,
        }
    }

    /// Returns the settings with this version number; versions differ in nothing else.
    pub(crate) fn catalog(&self, version: u64) -> Arc<ServiceCatalog> {
        let doc = Document {
            version: Version::from(version),
            ..self.doc.clone()
        };
        Arc::new(ServiceCatalog::check(&doc).expect("the generated settings are valid"))
    }
}

fn address(service: usize) -> SocketAddrV4 {
    let [_, _, high, low] = (service as u32).to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 30, high, low), SERVICE_PORT)
}

fn node(address: SocketAddrV4, targets: usize) -> Node {
    let zones = ["lowell", "nashua", "concord"];
    let targets = (0..targets).map(|i| {
        let [_, _, high, low] = (i as u32).to_be_bytes();
        let target = TargetNode {
            address: (Ipv4Addr::new(127, 31, high, low), SERVICE_PORT).into(),
            zone: zones[i % zones.len()].into(),
            weight: Weight::default(),
            state: TargetState::Active,
            slots: 2,
        };
        (format!("target-{i}").into(), target)
    });
    Node {
        service: Some(ServiceNode { address }),
        targets: targets.collect(),
        ..Node::default()
    }
}
