use std::sync::Arc;

use super::{GatewayAction, GatewayEvent, GatewaySettings, Outcome};
use crate::error::ErrorKind;
use crate::settings::ServiceCatalog;
use crate::units::{MonoTime, Version};

/// Dispatches the requests that one gateway receives.
#[derive(Debug)]
pub struct Gateway {
    cfg: GatewaySettings,
    catalog: Arc<ServiceCatalog>,
}

impl Gateway {
    /// Returns a gateway that has no settings yet.
    pub fn new(cfg: GatewaySettings) -> Self {
        Self {
            cfg,
            catalog: Arc::default(),
        }
    }

    /// Returns this gateway's configuration.
    pub fn settings(&self) -> &GatewaySettings {
        &self.cfg
    }

    /// Returns the version of the settings in force.
    pub fn version(&self) -> Version {
        self.catalog.version
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, _now: MonoTime, event: GatewayEvent, out: &mut Vec<GatewayAction>) {
        match event {
            GatewayEvent::Arrived { req, .. } => out.push(GatewayAction::Answer {
                req,
                outcome: Outcome::NotRun {
                    kind: ErrorKind::NoTarget,
                    retry_after_ms: 1_000,
                },
            }),
            GatewayEvent::Settings(catalog) => self.catalog = catalog,
            GatewayEvent::Leave => out.push(GatewayAction::Exit),
            _ => {}
        }
    }

    /// Returns the next time at which a `Tick` is needed.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        None
    }
}
