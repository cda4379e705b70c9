use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

use serde_json::{Map, Value, json};

use zinniadrift_core::settings::{Document, Node, ServiceNode, TargetNode, TargetState};
use zinniadrift_core::units::{Version, Weight};

/// The number of balancers of one user.
pub(crate) const MEMBER_COUNT: usize = 8;

const SERVICE_PORT: u16 = 443;

/// A user that runs its own group of balancers.
#[derive(Debug)]
pub(crate) struct UserGroup {
    pub(crate) name: &'static str,
    pub(crate) zones: [&'static str; 3],
    pub(crate) services: [ServiceSpec; 2],
}

/// The specification of a service of a user.
#[derive(Debug)]
pub(crate) struct ServiceSpec {
    pub(crate) name: &'static str,
    pub(crate) target_count: usize,
    pub(crate) slots: u16,
    pub(crate) address: Ipv4Addr,
}

/// The two users of section 1.1 of the design.
pub(crate) const USER_GROUPS: [UserGroup; 2] = [
    UserGroup {
        name: "granite",
        zones: ["lowell", "nashua", "concord"],
        services: [
            ServiceSpec {
                name: "gradebook",
                target_count: 15,
                slots: 2,
                address: Ipv4Addr::new(127, 20, 0, 1),
            },
            ServiceSpec {
                name: "corevault",
                target_count: 4,
                slots: 2,
                address: Ipv4Addr::new(127, 20, 0, 2),
            },
        ],
    },
    UserGroup {
        name: "verband",
        zones: ["bern", "olten", "aarau"],
        services: [
            ServiceSpec {
                name: "einsatz",
                target_count: 15,
                slots: 3,
                address: Ipv4Addr::new(127, 21, 0, 1),
            },
            ServiceSpec {
                name: "schadenbild",
                target_count: 4,
                slots: 3,
                address: Ipv4Addr::new(127, 21, 0, 2),
            },
        ],
    },
];

impl UserGroup {
    /// Returns the first version of the user's settings.
    pub(crate) fn document(&self, imbalance_tolerance: Option<f64>) -> Document {
        let services = self.services.iter();
        let nodes = services.map(|s| (s.name.into(), s.node(&self.zones)));
        let user = Node {
            nodes: nodes.collect(),
            ..Node::default()
        };
        let mut policies = Map::new();
        if let Some(tolerance) = imbalance_tolerance {
            let flows: Value = json!({ "imbalance_tolerance": tolerance });
            policies.insert("flows".into(), flows);
        }
        Document {
            version: Version::default().next(),
            edit_id: "1".into(),
            tree: Node {
                policies,
                nodes: BTreeMap::from([(self.name.into(), user)]),
                ..Node::default()
            },
            ..Document::default()
        }
    }

    /// Returns the zone of the balancer or target with this index.
    pub(crate) fn zone(&self, index: usize) -> &'static str {
        self.zones[index % self.zones.len()]
    }
}

impl ServiceSpec {
    /// Returns the address to which callers send their flows.
    pub(crate) const fn address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address, SERVICE_PORT)
    }

    /// Returns the name and the settings of the target with this index.
    pub(crate) fn target(&self, index: usize, zones: &[&str; 3]) -> (Box<str>, TargetNode) {
        let zone = zones[index % zones.len()];
        let [a, b, c, _] = self.address.octets();
        let host = Ipv4Addr::new(a, b, c + 100, index as u8 + 1);
        let node = TargetNode {
            address: (host, SERVICE_PORT).into(),
            zone: zone.into(),
            weight: Weight::default(),
            state: TargetState::Active,
            slots: self.slots,
        };
        (format!("{zone}-{index}").into(), node)
    }

    fn node(&self, zones: &[&str; 3]) -> Node {
        Node {
            service: Some(ServiceNode {
                address: self.address(),
            }),
            targets: (0..self.target_count)
                .map(|i| self.target(i, zones))
                .collect(),
            ..Node::default()
        }
    }
}
