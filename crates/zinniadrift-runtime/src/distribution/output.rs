use std::sync::Arc;

use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::Version;

/// An output from the distribution to the daemon.
#[derive(Clone, Debug)]
pub(crate) enum DistributionOutput {
    /// A new catalog to put in force.
    Install(Arc<ServiceCatalog>),
    /// The version in force, to announce to all live peers.
    Notify(Version),
}
