use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Tells what a daemon does.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Role {
    /// Forwards packets.
    Balancer,
    /// Dispatches requests.
    Gateway,
}
