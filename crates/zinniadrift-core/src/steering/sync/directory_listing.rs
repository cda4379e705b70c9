use serde::{Deserialize, Serialize};

use crate::steering::{Position, TargetInstance};

/// A full list of the targets at one position of the store.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DirectoryListing {
    /// The store's position.
    pub as_of: Position,
    /// All targets that were registered at that position.
    pub targets: Vec<TargetInstance>,
}
