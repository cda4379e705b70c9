use serde::{Deserialize, Serialize};

use super::{ClaimToken, StoredAnswer};
use crate::ids::MemberId;

/// A claim as stored. Its serialized field names are short because a shard holds thousands of
/// claims.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRecord {
    /// The claim's token.
    #[serde(rename = "t")]
    pub token: ClaimToken,
    /// The gateway that made the claim.
    #[serde(rename = "g")]
    pub gateway: MemberId,
    /// The Unix time in seconds at which the claim was made.
    #[serde(rename = "s")]
    pub claimed_at_s: u64,
    /// The progress of the claimed work.
    #[serde(rename = "p", default, skip_serializing_if = "ClaimPhase::is_held")]
    pub phase: ClaimPhase,
}

/// The progress of claimed work. A claim whose work was not run is removed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimPhase {
    /// The work may be about to run, be running or have run.
    #[default]
    Held,
    /// The work has not been sent yet; used only with `Mechanisms::start_write`.
    Reserved,
    /// The work has run; its answer is stored if it is small.
    Done(Option<StoredAnswer>),
}

impl ClaimPhase {
    fn is_held(&self) -> bool {
        *self == Self::Held
    }
}
