use std::sync::Arc;

use bytes::Bytes;

use crate::settings::{Document, ServiceCatalog};
use crate::units::Version;

/// A checked settings document that may be put in force.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) catalog: Arc<ServiceCatalog>,
    pub(super) edit_id: Box<str>,
    pub(super) document: Bytes,
}

impl Candidate {
    /// Parses and checks a document; returns `None` if it is invalid.
    pub(super) fn parse(document: Bytes) -> Option<Self> {
        let doc = Document::parse(&document).ok()?;
        let catalog = ServiceCatalog::check(&doc).ok()?;
        Some(Self {
            catalog: Arc::new(catalog),
            edit_id: doc.edit_id,
            document,
        })
    }

    pub(super) fn version(&self) -> Version {
        self.catalog.version
    }
}
