use std::net::SocketAddrV4;

use super::{Policies, Target};
use crate::ids::ServiceId;

/// A service with its targets and effective policies.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The id, derived from the path.
    pub id: ServiceId,
    /// The path in the tree, such as `granite/gradebook`.
    pub path: Box<str>,
    /// The address and port to which callers send their flows.
    pub address: SocketAddrV4,
    /// The targets, sorted by name.
    pub targets: Vec<Target>,
    /// The effective policies of the service.
    pub policies: Policies,
}
