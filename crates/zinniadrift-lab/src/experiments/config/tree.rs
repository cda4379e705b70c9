use bytes::Bytes;

use zinniadrift_core::settings::{Document, Node, ServiceNode, TargetNode, TargetState};
use zinniadrift_core::units::{Version, Weight};

/// The numbers of targets of a user's two services; the services of the tree repeat them in turn.
const TARGETS_PER_SERVICE: [usize; 2] = [15, 4];
const ZONES: [&str; 3] = ["lowell", "nashua", "concord"];
const SLOTS: u16 = 2;

/// Returns a settings tree with `services` services.
pub(super) fn build_tree(services: usize) -> Node {
    let mut root = Node::default();
    for i in 0..services {
        let [high, low] = (i as u16).to_be_bytes();
        let targets = (0..TARGETS_PER_SERVICE[i % TARGETS_PER_SERVICE.len()]).map(|t| {
            let zone = ZONES[t % ZONES.len()];
            let target = TargetNode {
                address: ([10, high, low, t as u8], 7_000).into(),
                zone: zone.into(),
                weight: Weight::default(),
                state: TargetState::Active,
                slots: SLOTS,
            };
            (format!("{zone}-{t}").into(), target)
        });
        let service = Node {
            service: Some(ServiceNode {
                address: std::net::SocketAddrV4::new([10, 200, high, low].into(), 443),
            }),
            targets: targets.collect(),
            ..Node::default()
        };
        root.nodes.insert(format!("service-{i}").into(), service);
    }
    root
}

/// Returns the document of the given version, in which one target, chosen by `edit`, drains.
pub(super) fn build_document(tree: &Node, version: Version, edit: u64) -> Bytes {
    let mut tree = tree.clone();
    let nodes = tree.nodes.len().max(1);
    let node = tree.nodes.values_mut().nth(edit as usize % nodes);
    if let Some(target) = node.and_then(|n| n.targets.values_mut().next()) {
        target.state = TargetState::Draining;
    }
    let document = Document {
        version,
        edit_id: format!("{edit:016x}").into(),
        tree,
        ..Document::default()
    };
    serde_json::to_vec(&document).unwrap_or_default().into()
}
