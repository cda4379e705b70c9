use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Map, Value};

use super::policies::overlay;
use super::{Document, Node, Policies, Service, ServiceNode, SettingsError, Target, TargetNode};
use crate::ids::{ServiceId, TargetId};
use crate::units::Version;

/// Holds a checked settings tree in the form that daemons use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCatalog {
    /// The version of the tree.
    pub version: Version,
    /// The services, sorted by path.
    pub services: Vec<Service>,
}

impl ServiceCatalog {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns every fault found, or a single one if the JSON does not have the document's shape.
    pub fn parse(json: &[u8]) -> Result<Self, Vec<SettingsError>> {
        let doc = Document::parse(json).map_err(|fault| vec![fault])?;
        Self::check(&doc)
    }

    /// Checks a document as a whole and flattens it.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn check(doc: &Document) -> Result<Self, Vec<SettingsError>> {
        let mut walk = Walk::default();
        let defaults = match serde_json::to_value(Policies::default()) {
            Ok(Value::Object(map)) => map,
            _ => Map::new(),
        };
        walk.visit(&doc.tree, "", "$.tree", &defaults);
        walk.check_addresses();
        if !walk.faults.is_empty() {
            return Err(walk.faults);
        }
        walk.services.sort_by(|a, b| a.path.cmp(&b.path));
        Ok(Self {
            version: doc.version,
            services: walk.services,
        })
    }

    /// Returns the service at `path`.
    pub fn service(&self, path: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.path == path)
    }
}

#[derive(Default)]
struct Walk {
    services: Vec<Service>,
    faults: Vec<SettingsError>,
}

impl Walk {
    fn visit(&mut self, node: &Node, path: &str, json_path: &str, inherited: &Map<String, Value>) {
        let mut effective = inherited.clone();
        overlay(&mut effective, &node.policies);
        let policies = self.policies(&effective, json_path);
        match (&node.service, policies) {
            (Some(service), Some(policies)) => {
                self.add(service, &node.targets, path, json_path, policies);
            }
            (None, _) if !node.targets.is_empty() => self.fault(
                format!("{json_path}.targets"),
                "targets of a node without a service",
                "targets only beside a service",
            ),
            _ => {}
        }
        for (name, child) in &node.nodes {
            if !is_name(name) {
                self.fault(
                    format!("{json_path}.nodes"),
                    name,
                    "a name of a-z, 0-9 and '-'",
                );
            }
            let child_path = if path.is_empty() {
                name.to_string()
            } else {
                format!("{path}/{name}")
            };
            self.visit(
                child,
                &child_path,
                &format!("{json_path}.nodes.{name}"),
                &effective,
            );
        }
    }

    fn policies(&mut self, effective: &Map<String, Value>, json_path: &str) -> Option<Policies> {
        let value = Value::Object(effective.clone());
        match serde_path_to_error::deserialize::<_, Policies>(value.clone()) {
            Ok(policies) => Some(policies),
            Err(e) => {
                let at = e.path().to_string();
                let found = value.pointer(&format!("/{}", at.replace('.', "/")));
                let shown = found.map_or_else(|| at.clone(), Value::to_string);
                self.fault(
                    format!("{json_path}.policies.{at}"),
                    &shown,
                    &e.inner().to_string(),
                );
                None
            }
        }
    }

    fn add(
        &mut self,
        service: &ServiceNode,
        nodes: &BTreeMap<Box<str>, TargetNode>,
        path: &str,
        json_path: &str,
        policies: Policies,
    ) {
        let mut targets = Vec::with_capacity(nodes.len());
        for (name, t) in nodes {
            if !is_name(name) {
                self.fault(
                    format!("{json_path}.targets"),
                    name,
                    "a name of a-z, 0-9 and '-'",
                );
            }
            if t.slots == 0 {
                self.fault(
                    format!("{json_path}.targets.{name}.slots"),
                    "0",
                    "an integer of at least 1",
                );
            }
            targets.push(Target {
                id: TargetId::from_name(path, name),
                name: name.clone(),
                address: t.address,
                zone: t.zone.clone(),
                weight: t.weight,
                state: t.state,
                slots: t.slots,
            });
        }
        self.services.push(Service {
            id: ServiceId::from_name(path),
            path: path.into(),
            address: service.address,
            targets,
            policies,
        });
    }

    fn check_addresses(&mut self) {
        let mut seen = BTreeSet::new();
        let mut faults = Vec::new();
        for s in &self.services {
            if !seen.insert(s.address) {
                faults.push((s.path.clone(), s.address));
            }
        }
        for (path, address) in faults {
            self.fault(
                format!("$.tree ({path}).service.address"),
                &address.to_string(),
                "an address that no other service has",
            );
        }
    }

    fn fault(&mut self, path: String, value: &str, expected: &str) {
        self.faults.push(SettingsError {
            path: path.into(),
            value: value.into(),
            expected: expected.into(),
        });
    }
}

fn is_name(name: &str) -> bool {
    !name.is_empty()
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}
