use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ClaimKey, ClaimRecord};

/// Is the value of the platform object `claims/<user>/<shard>`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    /// The claims by key.
    pub claims: BTreeMap<ClaimKey, ClaimRecord>,
}
