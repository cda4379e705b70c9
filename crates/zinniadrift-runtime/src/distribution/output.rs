use std::sync::Arc;

use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::Version;

/// Tells the daemon what the distribution decided.
#[derive(Clone, Debug)]
pub(crate) enum DistributionOutput {
    /// Put a catalog in force.
    Install(Arc<ServiceCatalog>),
    /// Tell all live peers the version.
    Notify(Version),
}
