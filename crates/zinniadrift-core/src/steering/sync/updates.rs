use std::sync::Arc;

use crate::units::{MonoTime, Version};

use crate::steering::directory::change_log::Coverage;
use crate::steering::directory::target_directory::Received;
use crate::steering::{
    Decision, DirectoryListing, DirectoryUpdate, InstanceState, KnownState, PauseCount, PeerUpdate,
    Position, ReporterId, RouteTable, Steering, TargetChange,
};

impl Steering {
    /// Applies a full list of the targets that was current at `confirmed`.
    ///
    /// Without that time the list may be seconds old: it is used, but is no ground for refusing
    /// flows.
    pub fn on_listing(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        listing: DirectoryListing,
    ) {
        let received = Received {
            now,
            confirmed,
            doubtful: &[],
        };
        self.apply_listing(received, listing);
    }

    fn apply_listing(&mut self, received: Received<'_>, listing: DirectoryListing) {
        let Received { now, confirmed, .. } = received;
        let as_of = listing.as_of;
        let Some(changes) = self.directory.apply_listing(listing, received) else {
            return;
        };
        self.observe_era(now, as_of);
        match confirmed {
            Some(at) => self.directory_sync.confirm(at),
            None => self.directory_sync.mark_known(now),
        }
        self.record_changes(&changes);
    }

    /// Applies the store's changes of the targets up to `as_of`, the store's latest revision at
    /// `confirmed`; without that time the changes may be old and confirm nothing.
    pub fn on_changes(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        changes: Vec<TargetChange>,
        as_of: Position,
    ) {
        let received = Received {
            now,
            confirmed,
            doubtful: &[],
        };
        self.apply_changes(received, changes, Coverage::All, as_of);
    }

    fn apply_changes(
        &mut self,
        received: Received<'_>,
        changes: Vec<TargetChange>,
        coverage: Coverage,
        as_of: Position,
    ) {
        if as_of < self.directory.as_of() {
            return;
        }
        let Received { now, confirmed, .. } = received;
        let changes = self
            .directory
            .apply_changes(changes, coverage, as_of, received);
        self.observe_era(now, as_of);
        if let Some(at) = confirmed {
            self.directory_sync.confirm(at);
        }
        self.record_changes(&changes);
    }

    /// Returns the number of pauses of the process so far.
    pub const fn pause_count(&self) -> PauseCount {
        self.pauses
    }

    /// Returns the time at which a response of the store, requested after `pauses` pauses, confirms
    /// the state; `None` if the process was paused since.
    pub fn confirmation_time(&self, now: MonoTime, pauses: PauseCount) -> Option<MonoTime> {
        (pauses == self.pauses).then_some(now)
    }

    /// Applies an update from a peer, requested after `pauses` pauses.
    ///
    /// An update requested before the last pause is ignored: it may be older than it says.
    pub fn on_peer_update(&mut self, now: MonoTime, pauses: PauseCount, update: PeerUpdate) {
        if pauses != self.pauses {
            return;
        }
        self.take_observations(now, &update);
        let received = Received {
            now,
            confirmed: Some(now - update.directory_age),
            doubtful: &update.doubtful,
        };
        match update.targets {
            DirectoryUpdate::Listing(listing) => self.apply_listing(received, listing),
            // The store may have sent newer changes meanwhile, which the peer's response does not
            // include.
            DirectoryUpdate::Changes(_) if update.base.targets != self.directory.as_of() => {}
            DirectoryUpdate::Changes(changes) => {
                // The peer may know only the net change between two revisions.
                let coverage = Coverage::NetChange;
                self.apply_changes(received, changes, coverage, update.known.targets);
            }
        }
        if let Some(zones) = update.zones.filter(|_| self.cfg.zone_drains.enabled) {
            self.on_peer_zone_drains(now, zones);
        }
        let routes_at = now - update.routes_age;
        let routes = Arc::clone(&self.routes);
        match update.routes.and_then(|delta| delta.apply(&routes)) {
            Some(table) => {
                self.on_routes(now, Some(routes_at), update.known.routes, Arc::new(table));
            }
            None if update.known.version == routes.version() => {
                self.confirm_routes(routes_at, update.known.routes);
            }
            None => {}
        }
    }

    /// Returns the revisions that this balancer knows, to request the rest from a peer.
    pub fn known_state(&self) -> KnownState {
        KnownState {
            targets: self.directory.as_of(),
            routes: self.routes_as_of,
            version: self.routes.version(),
            zones: self.zone_drains.as_of(),
        }
    }

    /// Returns the update for a peer whose state is `known`; `None` while the directory
    /// or the configuration is not confirmed, and while the drained zones are awaited after the start.
    pub fn update_for(&self, now: MonoTime, known: KnownState) -> Option<PeerUpdate> {
        let directory_age = self.directory_sync.age(now)?;
        let routes_age = self.routes_sync.age(now)?;
        // Without the drained zones, the peer would read them from the store itself.
        if self.awaits_zone_drains(now) {
            return None;
        }
        let targets = match self.directory.changes_since(known.targets) {
            Some(changes) => DirectoryUpdate::Changes(changes),
            None => DirectoryUpdate::Listing(self.directory.listing()),
        };
        Some(PeerUpdate {
            base: known,
            known: self.known_state(),
            directory_age,
            routes_age,
            targets,
            doubtful: self.directory.doubtful_names(),
            routes: self.route_history.delta(known.version),
            zones: self.zone_drains.update(now),
            share: None,
            observations: Vec::new(),
            observations_epoch: ReporterId::NONE,
            observations_seq: 0,
        })
    }

    /// Returns when the store last confirmed everything that this balancer knows; `None` if some
    /// part is not confirmed.
    pub fn last_confirmed(&self) -> Option<MonoTime> {
        let (a, b) = (
            self.directory_sync.last_confirmed(),
            self.routes_sync.last_confirmed(),
        );
        a.zip(b).map(|(a, b)| a.min(b))
    }

    fn record_changes(&mut self, changes: &[TargetChange]) {
        let as_of = self.directory.as_of();
        for change in changes {
            self.record_change(change, as_of);
        }
    }

    fn record_change(&mut self, change: &TargetChange, directory: Position) {
        if let TargetChange::Put(instance) = change {
            self.record_decision(Decision::Target {
                target: instance.name.clone(),
                service: instance.service,
                address: instance.address,
                state: match instance.state {
                    InstanceState::Ready => "ready",
                    InstanceState::Draining => "draining",
                },
                directory,
            });
        }
        if let TargetChange::Removed(name) = change {
            let index = self.directory.find_by_name(name);
            let Some(record) = index.and_then(|i| self.directory.get(i)) else {
                return;
            };
            let decision = Decision::Target {
                target: name.clone(),
                service: record.instance.service,
                address: record.instance.address,
                state: "removed",
                directory,
            };
            self.record_decision(decision);
            if let Some(index) = index {
                self.queue_probe_after_removal(index);
            }
        }
    }

    /// Applies the configuration of the store's revision `as_of`, the latest at `confirmed`.
    ///
    /// A version lower than the one in force is ignored.
    pub fn on_routes(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        as_of: Position,
        table: Arc<RouteTable>,
    ) {
        self.observe_era(now, as_of);
        if table.version() < self.routes.version() {
            // The store may have come back without the version in force, which its writer knows.
            self.routes_as_of = self.routes_as_of.max(as_of);
            return;
        }
        if table.version() > self.routes.version() {
            self.activate_routes(table);
        }
        self.routes_sync.mark_known(now);
        match confirmed {
            Some(at) => self.confirm_routes(at, as_of),
            None => self.routes_as_of = self.routes_as_of.max(as_of),
        }
    }

    /// Takes note of the store's era: after a return, the store's state is no ground for refusing
    /// flows until its writers have had the time to write again what it had lost.
    pub(super) fn observe_era(&mut self, now: MonoTime, as_of: Position) {
        let before = self.era.unwrap_or(as_of.era);
        self.era = Some(before.max(as_of.era));
        if as_of.era <= before {
            return;
        }
        let settled_at = now + self.cfg.return_settling;
        self.directory_sync.settle_until(settled_at);
        self.routes_sync.settle_until(settled_at);
        self.record_decision(Decision::StoreReturned {
            era: as_of.era,
            kept: self.directory.lapsed_count(),
            doubtful: self.directory.doubtful_count(),
            version: self.version(),
        });
    }

    fn activate_routes(&mut self, table: Arc<RouteTable>) {
        self.record_decision(Decision::Configured {
            version: table.version(),
            routes: table.len(),
        });
        self.route_profiles
            .retain(|address, _| table.get(*address).is_some());
        self.response_sizes
            .retain(|address, _| table.get(*address).is_some());
        self.gate
            .retain_routes(|address| table.get(address).is_some());
        self.unknown_routes
            .retain(|address, _| table.get(*address).is_none());
        self.flows_without_route
            .retain(|flow, _| table.get(flow.service).is_none());
        self.route_history.push(Arc::clone(&table));
        self.routes = table;
    }

    /// Records that the configuration in force is the latest up to `as_of`.
    ///
    /// Before the first configuration there is nothing to confirm.
    pub fn confirm_routes(&mut self, confirmed: MonoTime, as_of: Position) {
        if self.routes.version() == Version::default() {
            return;
        }
        self.routes_as_of = self.routes_as_of.max(as_of);
        self.routes_sync.confirm(confirmed);
    }

    /// Records that the process was paused, so that its knowledge may be outdated.
    pub fn on_pause(&mut self, now: MonoTime) {
        self.pauses = self.pauses.next();
        self.directory_sync.clear_confirmation();
        self.routes_sync.clear_confirmation();
        self.zone_drains.clear_confirmation();
        self.paused_at = now;
        self.open_timer.clear_pending();
        self.held_share.end_grant();
        self.refresh_own_points(now);
        if self.shares_observations() {
            self.observations.clear_received();
        }
        self.next_sweep = now;
    }
}
