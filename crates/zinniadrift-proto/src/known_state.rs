use zinniadrift_core::steering::{KnownState, Position};

use crate::v1;

impl From<KnownState> for v1::KnownState {
    fn from(state: KnownState) -> Self {
        Self {
            targets_revision: state.targets.revision.into(),
            routes_revision: state.routes.revision.into(),
            version: state.version.get(),
            targets_era: state.targets.era.into(),
            routes_era: state.routes.era.into(),
            zones_revision: state.zones.revision.into(),
            zones_era: state.zones.era.into(),
        }
    }
}

impl From<v1::KnownState> for KnownState {
    fn from(state: v1::KnownState) -> Self {
        let position = |era: u64, revision: u64| Position::new(era.into(), revision.into());
        Self {
            targets: position(state.targets_era, state.targets_revision),
            routes: position(state.routes_era, state.routes_revision),
            version: state.version.into(),
            zones: position(state.zones_era, state.zones_revision),
        }
    }
}
