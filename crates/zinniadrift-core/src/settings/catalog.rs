use std::collections::BTreeSet;

use super::checker::Checker;
use super::{Document, Service, SettingsError, deserialization};
use crate::units::Version;

/// The JSON path of the tree within a document.
const TREE_PATH: &str = "$.tree";

/// A checked settings tree, flattened into the list of services that daemons use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceCatalog {
    /// The version of the tree.
    pub version: Version,
    /// The services, sorted by path.
    pub services: Vec<Service>,
}

impl ServiceCatalog {
    /// Parses a document, checks its tree and flattens it.
    ///
    /// # Errors
    ///
    /// Returns every error found.
    pub fn parse(json: &[u8]) -> Result<Self, Vec<SettingsError>> {
        if let Ok(doc) = Document::parse(json) {
            return Self::check(&doc);
        }
        let result = deserialization::parse_lenient::<Document>(json, "$");
        let mut errors = result.errors;
        let tree = result.value.as_ref().map(|doc| &doc.tree);
        let further = tree.map(|tree| Checker::check(tree, TREE_PATH, &result.dropped));
        if let Some(Err(further)) = further {
            errors.extend(further);
        }
        Err(errors)
    }

    /// Checks the tree of a document and flattens it.
    ///
    /// # Errors
    ///
    /// Returns every error found.
    pub fn check(doc: &Document) -> Result<Self, Vec<SettingsError>> {
        let services = Checker::check(&doc.tree, TREE_PATH, &BTreeSet::new())?;
        Ok(Self {
            version: doc.version,
            services,
        })
    }

    /// Returns the service at `path`, such as `granite/gradebook`.
    pub fn service(&self, path: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.path == path)
    }
}
