use std::time::Duration;

use zinniadrift_core::ids::ZoneName;
use zinniadrift_core::steering::{Position, ZoneDrainsUpdate};

use crate::nanos::to_nanos;
use crate::v1;

impl From<ZoneDrainsUpdate> for v1::ZoneDrains {
    fn from(update: ZoneDrainsUpdate) -> Self {
        let names = |zones: Vec<ZoneName>| zones.into_iter().map(|z| z.to_string()).collect();
        Self {
            revision: update.as_of.revision.into(),
            era: update.as_of.era.into(),
            age: to_nanos(update.age),
            listed: names(update.listed),
            kept: names(update.kept),
            kept_for: to_nanos(update.kept_for),
        }
    }
}

impl From<v1::ZoneDrains> for ZoneDrainsUpdate {
    fn from(update: v1::ZoneDrains) -> Self {
        let zones = |names: Vec<String>| names.iter().map(|n| n.as_str().into()).collect();
        Self {
            as_of: Position::new(update.era.into(), update.revision.into()),
            age: Duration::from_nanos(update.age),
            listed: zones(update.listed),
            kept: zones(update.kept),
            kept_for: Duration::from_nanos(update.kept_for),
        }
    }
}
