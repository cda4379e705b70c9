use std::sync::Arc;

use serde_json::json;

use zinniadrift_core::settings::{Document, Node, ServiceCatalog, TargetState};
use zinniadrift_core::units::Weight;

use super::{Action, UserGroup};

/// A user's settings, to which a script applies its edits.
#[derive(Debug)]
pub(crate) struct SettingsEditor {
    user: &'static UserGroup,
    doc: Document,
    /// The number of targets ever listed, per service.
    target_counts: Vec<usize>,
}

impl SettingsEditor {
    pub(crate) fn new(user: &'static UserGroup, imbalance_tolerance: Option<f64>) -> Self {
        Self {
            user,
            doc: user.document(imbalance_tolerance),
            target_counts: user.services.iter().map(|s| s.target_count).collect(),
        }
    }

    /// Returns the paths of the user's services.
    pub(crate) fn service_paths(&self) -> Vec<Box<str>> {
        let services = self.user.services.iter();
        services
            .map(|s| format!("{}/{}", self.user.name, s.name).into())
            .collect()
    }

    /// Returns the name of the target with this index in a service.
    pub(crate) fn target_name(&self, service: usize, target: usize) -> Box<str> {
        let (name, _) = self.user.services[service].target(target, &self.user.zones);
        name
    }

    /// Returns the validated catalog of the settings.
    pub(crate) fn catalog(&self) -> Arc<ServiceCatalog> {
        let checked = ServiceCatalog::check(&self.doc);
        Arc::new(checked.expect("the script only makes valid edits"))
    }

    /// Applies an action to the settings and returns whether it is one that edits them.
    pub(crate) fn apply(&mut self, action: Action) -> bool {
        match action {
            Action::Drain { service, target } => {
                self.set_state(service, target, TargetState::Draining);
            }
            Action::Undrain { service, target } => {
                self.set_state(service, target, TargetState::Active);
            }
            Action::AddTarget { service } => self.add_target(service),
            Action::Weight {
                service,
                target,
                weight,
            } => {
                let name = self.target_name(service, target);
                if let Some(t) = self.service(service).targets.get_mut(&name) {
                    t.weight = Weight::from(weight);
                }
            }
            Action::EditPolicy { idle_timeout_s } => {
                let flows = json!({ "idle_timeout_s": idle_timeout_s });
                let policies = &mut self.service(0).policies;
                policies.insert("flows".into(), flows);
            }
            _ => return false,
        }
        self.doc.version = self.doc.version.next();
        true
    }

    fn set_state(&mut self, service: usize, target: usize, state: TargetState) {
        let name = self.target_name(service, target);
        if let Some(t) = self.service(service).targets.get_mut(&name) {
            t.state = state;
        }
    }

    fn add_target(&mut self, service: usize) {
        let index = self.target_counts[service];
        self.target_counts[service] += 1;
        let (name, node) = self.user.services[service].target(index, &self.user.zones);
        self.service(service).targets.insert(name, node);
    }

    fn service(&mut self, service: usize) -> &mut Node {
        let user = self
            .doc
            .tree
            .nodes
            .entry(self.user.name.into())
            .or_default();
        let name = self.user.services[service].name;
        user.nodes.entry(name.into()).or_default()
    }
}
