use std::sync::Arc;

use crate::units::{MonoTime, Version};

use super::change_log::Coverage;
use super::{
    Decision, DirectoryListing, DirectoryUpdate, InstanceState, KnownState, PeerUpdate, Revision,
    RouteTable, Steering, TargetChange,
};

impl Steering {
    /// Takes a full list of the targets that was true at `confirmed`.
    ///
    /// Without that time the list may be seconds old; it is used, but no ground for refusals.
    pub fn on_listing(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        listing: DirectoryListing,
    ) {
        let Some(news) = self.directory.replace(listing, now) else {
            return;
        };
        match confirmed {
            Some(at) => self.directory_sync.confirm(at),
            None => self.directory_sync.mark_known(now),
        }
        self.note_changes(&news);
    }

    /// Takes the store's changes of the list of targets up to `as_of`, which was the newest at
    /// `confirmed`.
    pub fn on_changes(
        &mut self,
        now: MonoTime,
        confirmed: MonoTime,
        changes: Vec<TargetChange>,
        as_of: Revision,
    ) {
        self.take_changes(now, confirmed, changes, Coverage::All, as_of);
    }

    fn take_changes(
        &mut self,
        now: MonoTime,
        confirmed: MonoTime,
        changes: Vec<TargetChange>,
        coverage: Coverage,
        as_of: Revision,
    ) {
        if as_of < self.directory.as_of() {
            return;
        }
        let news = self.directory.apply(changes, coverage, as_of, now);
        self.directory_sync.confirm(confirmed);
        self.note_changes(&news);
    }

    /// Takes the news of a peer.
    pub fn on_peer_update(&mut self, now: MonoTime, update: PeerUpdate) {
        let directory_at = now - update.directory_age;
        match update.targets {
            DirectoryUpdate::Listing(listing) => self.on_listing(now, Some(directory_at), listing),
            // Meanwhile the store may have told more, of which the answer knows nothing.
            DirectoryUpdate::Changes(_) if update.base.targets != self.directory.as_of() => {}
            DirectoryUpdate::Changes(changes) => {
                // The peer may know less of the time between two states than all that happened.
                let coverage = Coverage::Difference;
                self.take_changes(now, directory_at, changes, coverage, update.known.targets);
            }
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

    /// Returns what this balancer knows, to ask a peer for the rest.
    pub fn known_state(&self) -> KnownState {
        KnownState {
            targets: self.directory.as_of(),
            routes: self.routes_as_of,
            version: self.routes.version(),
        }
    }

    /// Returns what a peer that knows `known` misses; `None` while this balancer knows nothing.
    pub fn update_for(&self, now: MonoTime, known: KnownState) -> Option<PeerUpdate> {
        let directory_age = self.directory_sync.age(now)?;
        let routes_age = self.routes_sync.age(now)?;
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
            routes: self.route_history.delta(known.version),
        })
    }

    /// Returns when the store last confirmed all that this balancer knows; `None` if it did not.
    pub fn last_confirmed(&self) -> Option<MonoTime> {
        let (a, b) = (
            self.directory_sync.last_confirmed(),
            self.routes_sync.last_confirmed(),
        );
        a.zip(b).map(|(a, b)| a.min(b))
    }

    fn note_changes(&mut self, news: &[TargetChange]) {
        let as_of = self.directory.as_of();
        for change in news {
            self.note_change(change, as_of);
        }
    }

    fn note_change(&mut self, change: &TargetChange, directory: Revision) {
        if let TargetChange::Put(instance) = change {
            self.note(Decision::Target {
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
            let index = self.directory.find_name(name);
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
            self.note(decision);
            if let Some(index) = index {
                self.ask_after_removal(index);
            }
        }
    }

    /// Takes the configuration of the store's revision `as_of`, the newest at `confirmed`.
    ///
    /// A lower version than the one in force is ignored.
    pub fn on_routes(
        &mut self,
        now: MonoTime,
        confirmed: Option<MonoTime>,
        as_of: Revision,
        table: Arc<RouteTable>,
    ) {
        if table.version() < self.routes.version() {
            return;
        }
        if table.version() > self.routes.version() {
            self.put_in_force(table);
        }
        self.routes_sync.mark_known(now);
        match confirmed {
            Some(at) => self.confirm_routes(at, as_of),
            None => self.routes_as_of = self.routes_as_of.max(as_of),
        }
    }

    fn put_in_force(&mut self, table: Arc<RouteTable>) {
        self.note(Decision::Configured {
            version: table.version(),
            routes: table.len(),
        });
        self.profiles
            .retain(|address, _| table.get(*address).is_some());
        self.route_history.push(Arc::clone(&table));
        self.routes = table;
    }

    /// Records that the configuration in force is the newest up to `as_of`.
    ///
    /// Before the first configuration there is nothing to confirm.
    pub fn confirm_routes(&mut self, confirmed: MonoTime, as_of: Revision) {
        if self.routes.version() == Version::default() {
            return;
        }
        self.routes_as_of = self.routes_as_of.max(as_of);
        self.routes_sync.confirm(confirmed);
    }

    /// Records that the process stood still, so that its knowledge may be outdated.
    pub fn on_pause(&mut self, now: MonoTime) {
        self.directory_sync.clear_confirmation();
        self.routes_sync.clear_confirmation();
        self.next_sweep = now;
    }
}
