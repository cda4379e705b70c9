use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The role of a daemon.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Role {
    /// A daemon that forwards packets.
    Balancer,
    /// A daemon that dispatches requests.
    Gateway,
}
