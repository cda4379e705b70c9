use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde_json::{Map, Value};

use super::limits::{MAX_DEPTH, MAX_ERRORS, NAME_RULE, is_name};
use super::policies::overlay;
use super::{
    Node, Policies, PolicyRange, Service, ServiceNode, SettingsError, Target, TargetNode,
    TargetState, ZoneDrain, deserialization,
};
use crate::ids::{ServiceId, TargetId, ZoneName};

/// A traversal of a settings tree that flattens it into services and collects every error.
#[derive(Debug)]
pub(super) struct Checker<'a> {
    /// The JSON paths of values that were left out because they do not match the schema.
    dropped: &'a BTreeSet<String>,
    /// The drained zones, whose targets take no new work.
    zone_drains: &'a BTreeMap<ZoneName, ZoneDrain>,
    services: Vec<Service>,
    errors: Vec<SettingsError>,
    /// The JSON path of each service's node, for errors that involve two services.
    json_paths: BTreeMap<Box<str>, Box<str>>,
}

/// The position of a node in the tree.
#[derive(Clone, Copy, Debug)]
struct NodePosition<'a> {
    path: &'a str,
    json_path: &'a str,
    depth: usize,
}

impl<'a> Checker<'a> {
    /// Returns the services of a tree sorted by path; `root` is the tree's JSON path.
    ///
    /// Errors that only result from the values in `dropped` are not reported.
    ///
    /// # Errors
    ///
    /// Returns the errors found, at most [`MAX_ERRORS`].
    pub(super) fn check(
        tree: &'a Node,
        root: &str,
        dropped: &'a BTreeSet<String>,
    ) -> Result<Vec<Service>, Vec<SettingsError>> {
        let mut checker = Self {
            dropped,
            zone_drains: &tree.zone_drains,
            services: Vec::new(),
            errors: Vec::new(),
            json_paths: BTreeMap::new(),
        };
        let defaults = match serde_json::to_value(Policies::default()) {
            Ok(Value::Object(map)) => map,
            _ => Map::new(),
        };
        let position = NodePosition {
            path: "",
            json_path: root,
            depth: 0,
        };
        checker.visit(tree, position, &defaults, &defaults);
        checker.check_services();
        if !checker.errors.is_empty() {
            checker.errors.truncate(MAX_ERRORS);
            return Err(checker.errors);
        }
        checker.services.sort_by(|a, b| a.path.cmp(&b.path));
        Ok(checker.services)
    }

    fn visit(
        &mut self,
        node: &Node,
        at: NodePosition<'_>,
        inherited: &Map<String, Value>,
        defaults: &Map<String, Value>,
    ) {
        if at.depth > MAX_DEPTH {
            let expected = format!("at most {MAX_DEPTH} levels of nodes");
            self.report(at.json_path, "a node", &expected);
            return;
        }
        let mut effective = inherited.clone();
        if !node.policies.is_empty() {
            overlay(&mut effective, &self.valid_policies(node, at, defaults));
        }
        self.check_zone_drains(node, at);
        self.check_targets(&node.targets, at);
        match &node.service {
            Some(service) => self.add_service(service, &node.targets, at, effective.clone()),
            None => self.check_targets_without_service(node, at),
        }
        for (name, child) in &node.nodes {
            let json_path = format!("{}.nodes.{name}", at.json_path);
            self.check_name(name, &json_path);
            let path = match at.path {
                "" => name.to_string(),
                parent => format!("{parent}/{name}"),
            };
            let position = NodePosition {
                path: &path,
                json_path: &json_path,
                depth: at.depth + 1,
            };
            self.visit(child, position, &effective, defaults);
        }
    }

    /// Returns the valid policies among those that the node itself sets, and reports the others.
    ///
    /// They are checked on top of the defaults rather than the inherited values, so that an error
    /// is reported once, at its origin, and not again at every node that inherits it.
    fn valid_policies(
        &mut self,
        node: &Node,
        at: NodePosition<'_>,
        defaults: &Map<String, Value>,
    ) -> Map<String, Value> {
        let mut with_defaults = defaults.clone();
        overlay(&mut with_defaults, &node.policies);
        let root = format!("{}.policies", at.json_path);
        let result =
            deserialization::from_value_lenient::<Policies>(Value::Object(with_defaults), &root);
        let is_valid = result.errors.is_empty();
        self.errors.extend(result.errors);
        let ranges = PolicyRange::check(&node.policies, at.json_path);
        let out_of_range = ranges
            .into_iter()
            .filter(|e| !result.dropped.contains(&*e.path));
        self.errors.extend(out_of_range);
        match result.json {
            _ if is_valid => node.policies.clone(),
            Value::Object(map) => map,
            _ => Map::new(),
        }
    }

    fn add_service(
        &mut self,
        service: &ServiceNode,
        nodes: &BTreeMap<Box<str>, TargetNode>,
        at: NodePosition<'_>,
        effective: Map<String, Value>,
    ) {
        if at.path.is_empty() {
            let path = format!("{}.service", at.json_path);
            self.report(&path, "a service of the root", "services of named nodes");
        }
        let address = SocketAddr::V4(service.address);
        self.check_address(address, &format!("{}.service.address", at.json_path));
        let targets = nodes.iter().map(|(name, t)| Target {
            id: TargetId::from_name(at.path, name),
            name: name.clone(),
            address: t.address,
            zone: t.zone.clone(),
            weight: t.weight,
            state: if self.zone_drains.contains_key(&t.zone) {
                TargetState::Draining
            } else {
                t.state
            },
            slots: t.slots,
        });
        let targets = targets.collect();
        let policies = serde_json::from_value(Value::Object(effective)).unwrap_or_default();
        self.json_paths.insert(at.path.into(), at.json_path.into());
        self.services.push(Service {
            id: ServiceId::from_name(at.path),
            path: at.path.into(),
            address: service.address,
            targets,
            policies,
        });
    }

    fn check_targets_without_service(&mut self, node: &Node, at: NodePosition<'_>) {
        let had_service = self.dropped.contains(&format!("{}.service", at.json_path));
        if node.targets.is_empty() || had_service {
            return;
        }
        let path = format!("{}.targets", at.json_path);
        let expected = "targets only beside a service";
        self.report(&path, "targets of a node without a service", expected);
    }

    fn check_zone_drains(&mut self, node: &Node, at: NodePosition<'_>) {
        let path = format!("{}.zone_drains", at.json_path);
        if at.depth > 0 && !node.zone_drains.is_empty() {
            self.report(&path, "zone drains of a node", "zone drains of the root");
        }
        for zone in node.zone_drains.keys() {
            self.check_name(zone.as_ref(), &format!("{path}.{zone}"));
        }
    }

    fn check_targets(&mut self, targets: &BTreeMap<Box<str>, TargetNode>, at: NodePosition<'_>) {
        let mut owners: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for (name, t) in targets {
            let json_path = format!("{}.targets.{name}", at.json_path);
            self.check_target(name, t, &json_path);
            if let Some(owner) = owners.insert(t.address, name) {
                let expected = format!("another address than that of target {owner}");
                let path = format!("{json_path}.address");
                self.report(&path, &quote(&t.address.to_string()), &expected);
            }
        }
    }

    fn check_target(&mut self, name: &str, target: &TargetNode, json_path: &str) {
        self.check_name(name, json_path);
        self.check_address(target.address, &format!("{json_path}.address"));
        let zone: &str = target.zone.as_ref();
        if !is_name(zone) {
            self.report(&format!("{json_path}.zone"), &quote(zone), NAME_RULE);
        }
        if target.slots == 0 {
            let path = format!("{json_path}.slots");
            self.report(&path, "0", "an integer from 1 to 65535");
        }
    }

    fn check_name(&mut self, name: &str, json_path: &str) {
        if !is_name(name) {
            self.report(json_path, &quote(name), NAME_RULE);
        }
    }

    fn check_address(&mut self, address: SocketAddr, path: &str) {
        if address.port() == 0 || address.ip().is_unspecified() {
            let expected = "a single host's address and a port from 1 to 65535";
            self.report(path, &quote(&address.to_string()), expected);
        }
    }

    /// Reports services that share an address, and hash collisions of ids.
    fn check_services(&mut self) {
        let services = std::mem::take(&mut self.services);
        let mut addresses = BTreeMap::new();
        let mut service_ids = BTreeMap::new();
        let mut target_ids = BTreeMap::new();
        for s in &services {
            let node_path = self.json_paths.get(&s.path).cloned().unwrap_or_default();
            if let Some(other) = addresses.insert(s.address, &s.path) {
                let path = format!("{node_path}.service.address");
                let expected = format!("another address than that of service {other}");
                self.report(&path, &quote(&s.address.to_string()), &expected);
            }
            if let Some(other) = service_ids.insert(s.id, &s.path) {
                self.report_collision(&node_path, &s.path, other);
            }
            for t in &s.targets {
                let name = format!("{}/{}", s.path, t.name);
                let json_path = format!("{node_path}.targets.{}", t.name);
                if let Some(other) = target_ids.insert(t.id, name.clone()) {
                    self.report_collision(&json_path, &name, &other);
                }
            }
        }
        self.services = services;
    }

    fn report_collision(&mut self, json_path: &str, name: &str, other: &str) {
        let expected = format!("another name, as the id of {other} is the same");
        self.report(json_path, &quote(name), &expected);
    }

    fn report(&mut self, path: &str, value: &str, expected: &str) {
        self.errors.push(SettingsError::new(path, value, expected));
    }
}

fn quote(text: &str) -> String {
    Value::from(text).to_string()
}
