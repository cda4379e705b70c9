use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;

use zinniadrift_core::distribution::{DistributionEvent, LiveMember, PlatformFailure};
use zinniadrift_core::units::{MonoTime, Version};

use super::{
    CALL_LATENCY, CALL_TIMEOUT, DEAD_TIMEOUT, HEARTBEAT_INTERVAL, HOP, Simulation, member_id,
    zone_name,
};
use crate::experiments::config::timeline::{Happening, WatchAnswer};

impl Simulation {
    /// Makes a watch call, or a read if the wait is zero.
    pub(super) fn call(&mut self, daemon: usize, after: u64, wait: Duration) {
        self.report.store_calls += 1;
        let host = &mut self.hosts[daemon];
        host.call += 1;
        let call = host.call;
        if !self.platform.is_reachable(self.now, host.zone) {
            self.fail(daemon, call, CALL_TIMEOUT);
        } else if wait.is_zero() {
            let found = self.platform.read(self.now, after, &mut self.rng);
            self.deliver(daemon, call, found);
        } else if let Some(found) = self.platform.watched(self.now, daemon, after) {
            self.deliver(daemon, call, Some(found));
        } else {
            self.hosts[daemon].watch = Some((call, after));
            let end = Happening::WaitEnds { daemon, call };
            self.timeline.push(self.now + wait, end);
        }
    }

    /// Answers a pending watch if an update is visible to it.
    pub(super) fn answer_watch(&mut self, daemon: usize) {
        let host = &self.hosts[daemon];
        let Some((call, after)) = host.watch else {
            return;
        };
        if !self.platform.is_reachable(self.now, host.zone) {
            return;
        }
        if let Some(found) = self.platform.watched(self.now, daemon, after) {
            self.hosts[daemon].watch = None;
            self.deliver(daemon, call, Some(found));
        }
    }

    pub(super) fn end_wait(&mut self, daemon: usize, call: u64) {
        let host = &mut self.hosts[daemon];
        if host.watch.is_none_or(|(pending, _)| pending != call) {
            return;
        }
        host.watch = None;
        let zone = host.zone;
        if self.platform.is_reachable(self.now, zone) {
            self.deliver(daemon, call, None);
        } else {
            self.fail(daemon, call, CALL_TIMEOUT);
        }
    }

    /// Breaks the connections of all pending watches.
    pub(super) fn fail_watches(&mut self) {
        for daemon in 0..self.hosts.len() {
            if let Some((call, _)) = self.hosts[daemon].watch.take() {
                self.fail(daemon, call, CALL_LATENCY);
            }
        }
    }

    pub(super) fn take_answer(&mut self, daemon: usize, call: u64, answer: WatchAnswer) {
        if self.hosts[daemon].call != call {
            return;
        }
        let (revision, document) = match answer {
            Ok(Some((revision, document))) => (revision, Ok(Some(document))),
            Ok(None) => (0, Ok(None)),
            Err(e) => (0, Err(e)),
        };
        self.give(
            daemon,
            DistributionEvent::PlatformAnswer { revision, document },
        );
    }

    fn deliver(&mut self, daemon: usize, call: u64, found: Option<(u64, Bytes)>) {
        let bytes = found.as_ref().map_or(0, |(_, document)| document.len());
        self.report.platform_bytes += bytes as u64;
        if self.loses_answer() {
            self.fail(daemon, call, CALL_TIMEOUT);
        } else {
            self.answer(daemon, call, Ok(found), CALL_LATENCY);
        }
    }

    fn fail(&mut self, daemon: usize, call: u64, delay: Duration) {
        self.answer(daemon, call, Err(PlatformFailure), delay);
    }

    fn answer(&mut self, daemon: usize, call: u64, answer: WatchAnswer, delay: Duration) {
        let happening = Happening::Answer {
            daemon,
            call,
            answer,
        };
        self.timeline.push(self.now + delay, happening);
    }

    pub(super) fn loses_answer(&mut self) -> bool {
        self.now < self.platform.lossy_until && self.rng.random_bool(0.5)
    }

    pub(super) fn hop(&mut self) -> Duration {
        let [shortest, longest] = HOP;
        shortest + (longest - shortest).mul_f64(self.rng.random())
    }

    /// Sends a datagram with the sender's version.
    pub(super) fn send_version(&mut self, from: usize, daemon: usize, version: Version) {
        if self.rng.random_bool(self.scenario.datagram_loss) {
            return;
        }
        let arrival = Happening::PeerVersion {
            daemon,
            from,
            version,
        };
        let at = self.now + self.hop();
        self.timeline.push(at, arrival);
    }

    pub(super) fn hear(&mut self, daemon: usize, from: usize, version: Version) {
        let host = &mut self.hosts[daemon];
        if host.daemon.is_none() {
            return;
        }
        host.heard[from] = self.now;
        if !host.peers.contains(&from) {
            host.peers.push(from);
            self.tell_members(daemon);
        }
        let from = member_id(from);
        self.give(daemon, DistributionEvent::PeerVersion { from, version });
    }

    /// Sends a daemon's heartbeats and drops the peers that it no longer hears.
    pub(super) fn beat(&mut self, daemon: usize) {
        let now: MonoTime = self.now;
        let host = &mut self.hosts[daemon];
        let run = host.run;
        let known = host.peers.len();
        let heard = &host.heard;
        host.peers.retain(|p| now.since(heard[*p]) <= DEAD_TIMEOUT);
        if host.peers.len() != known {
            self.tell_members(daemon);
        }
        let version = self.hosts[daemon].version();
        for peer in (0..self.hosts.len()).filter(|p| *p != daemon) {
            self.send_version(daemon, peer, version);
        }
        let next = Happening::Heartbeat { daemon, run };
        self.timeline.push(now + HEARTBEAT_INTERVAL, next);
    }

    fn tell_members(&mut self, daemon: usize) {
        let peers = self.hosts[daemon].peers.iter();
        let members = peers.map(|p| LiveMember {
            id: member_id(*p),
            zone: zone_name(self.hosts[*p].zone),
        });
        let members = members.collect();
        self.give(daemon, DistributionEvent::Members(members));
    }
}
