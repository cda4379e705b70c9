use super::checker::Checker;
use super::{Document, Service, SettingsError, shape};
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
    /// Returns every fault found.
    pub fn parse(json: &[u8]) -> Result<Self, Vec<SettingsError>> {
        if let Ok(doc) = Document::parse(json) {
            return Self::check(&doc);
        }
        let shaped = shape::read::<Document>(json, "$");
        let mut faults = shaped.faults;
        if let Some(Err(further)) = shaped.value.as_ref().map(Self::check) {
            faults.extend(further);
        }
        Err(faults)
    }

    /// Checks a document as a whole and flattens it.
    ///
    /// # Errors
    ///
    /// Returns every fault found.
    pub fn check(doc: &Document) -> Result<Self, Vec<SettingsError>> {
        let services = Checker::check(&doc.tree, "$.tree")?;
        Ok(Self {
            version: doc.version,
            services,
        })
    }

    /// Returns the service at `path`.
    pub fn service(&self, path: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.path == path)
    }
}
