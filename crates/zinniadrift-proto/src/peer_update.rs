use std::time::Duration;

use zinniadrift_core::steering::{
    DirectoryListing, DirectoryUpdate, KnownState, PeerUpdate, RouteDelta, TargetChange,
    TargetInstance, packed,
};

use crate::nanos::to_nanos;
use crate::zone_table::ZoneTable;
use crate::{PeerUpdateError, v1};

impl From<PeerUpdate> for v1::PeerUpdate {
    fn from(update: PeerUpdate) -> Self {
        let (full, changes) = match update.targets {
            DirectoryUpdate::Changes(changes) => (false, changes),
            DirectoryUpdate::Listing(listing) => {
                let targets = listing.targets.into_iter();
                (true, targets.map(TargetChange::Put).collect())
            }
        };
        let mut zones = ZoneTable::default();
        let changes = changes.into_iter();
        let changes = changes.map(|c| v1::TargetChange::encode(c, &mut zones));
        Self {
            base: Some(update.base.into()),
            known: Some(update.known.into()),
            directory_age: to_nanos(update.directory_age),
            routes_age: to_nanos(update.routes_age),
            full,
            changes: changes.collect(),
            zones: zones.into_names(),
            routes: update.routes.map(Into::into),
            doubtful: update.doubtful.into_iter().map(Into::into).collect(),
            zone_drains: update.zones.map(Into::into),
            share: update.share.map(Into::into),
            observations: packed::to_bytes(&update.observations),
            observations_epoch: update.observations_epoch.into(),
            observations_seq: update.observations_seq,
        }
    }
}

impl TryFrom<v1::PeerUpdate> for PeerUpdate {
    type Error = PeerUpdateError;

    fn try_from(update: v1::PeerUpdate) -> Result<Self, PeerUpdateError> {
        let base = update.base.ok_or(PeerUpdateError::Missing("base"))?;
        let known = update.known.ok_or(PeerUpdateError::Missing("known"))?;
        let known = KnownState::from(known);
        let zones = ZoneTable::from_names(update.zones);
        let changes = update.changes.into_iter().map(|c| c.decode(&zones));
        let changes: Result<Vec<TargetChange>, _> = changes.collect();
        let targets = if update.full {
            let targets: Result<Vec<TargetInstance>, _> =
                changes?.into_iter().map(listed_target).collect();
            DirectoryUpdate::Listing(DirectoryListing {
                as_of: known.targets,
                targets: targets?,
            })
        } else {
            DirectoryUpdate::Changes(changes?)
        };
        let routes: Option<Result<RouteDelta, _>> = update.routes.map(TryInto::try_into);
        Ok(Self {
            base: base.into(),
            known,
            directory_age: Duration::from_nanos(update.directory_age),
            routes_age: Duration::from_nanos(update.routes_age),
            targets,
            doubtful: update.doubtful.into_iter().map(Into::into).collect(),
            routes: routes.transpose()?,
            zones: update.zone_drains.map(Into::into),
            share: update.share.map(TryInto::try_into).transpose()?,
            observations: packed::from_bytes(&update.observations)
                .ok_or(PeerUpdateError::OutOfRange("the length of observations"))?,
            observations_epoch: update.observations_epoch.into(),
            observations_seq: update.observations_seq,
        })
    }
}

fn listed_target(change: TargetChange) -> Result<TargetInstance, PeerUpdateError> {
    match change {
        TargetChange::Put(instance) => Ok(instance),
        TargetChange::Removed(_) => Err(PeerUpdateError::OutOfRange("a change in a full list")),
    }
}
