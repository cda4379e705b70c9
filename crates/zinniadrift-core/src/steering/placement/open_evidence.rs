use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// What shows that a target does not take new flows.
#[derive(Clone, Copy, Debug, Default, Deserialize, Display, Eq, FromStr, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OpenEvidence {
    /// A caller retransmits its opening packet.
    #[display("retransmission")]
    Retransmission,
    /// The answer to an opening packet takes longer than usual, or the caller retransmits it.
    #[default]
    #[display("overdue")]
    Overdue,
}
