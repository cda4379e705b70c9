use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;

use zinniadrift_core::distribution::{DistributionEvent, LiveMember, PlatformFailure};
use zinniadrift_core::units::{MonoTime, Version};

use super::{
    CALL_LATENCY, CALL_TIMEOUT, DEAD_TIMEOUT, HEARTBEAT_INTERVAL, PEER_LATENCY, Simulation,
    member_id, zone_name,
};
use crate::experiments::config::event_queue::{Event, WatchResult};

impl Simulation {
    /// Starts a watch call to the platform, or a read if `wait` is zero.
    pub(super) fn call_platform(&mut self, daemon: usize, after: u64, wait: Duration) {
        self.report.store_calls += 1;
        let host = &mut self.hosts[daemon];
        host.last_call += 1;
        let call = host.last_call;
        if !self.platform.is_reachable(self.now, host.zone) {
            self.fail_call(daemon, call, CALL_TIMEOUT);
        } else if wait.is_zero() {
            let found = self.platform.read(self.now, after, &mut self.rng);
            self.answer_call(daemon, call, found);
        } else if let Some(found) = self.platform.read_watch(self.now, daemon, after) {
            self.answer_call(daemon, call, Some(found));
        } else {
            self.hosts[daemon].pending_watch = Some((call, after));
            let end = Event::WaitEnds { daemon, call };
            self.queue.push(self.now + wait, end);
        }
    }

    /// Answers a pending watch if an update is visible to it.
    pub(super) fn answer_watch(&mut self, daemon: usize) {
        let host = &self.hosts[daemon];
        let Some((call, after)) = host.pending_watch else {
            return;
        };
        if !self.platform.is_reachable(self.now, host.zone) {
            return;
        }
        if let Some(found) = self.platform.read_watch(self.now, daemon, after) {
            self.hosts[daemon].pending_watch = None;
            self.answer_call(daemon, call, Some(found));
        }
    }

    pub(super) fn on_wait_end(&mut self, daemon: usize, call: u64) {
        let host = &mut self.hosts[daemon];
        if host
            .pending_watch
            .is_none_or(|(pending, _)| pending != call)
        {
            return;
        }
        host.pending_watch = None;
        let zone = host.zone;
        if self.platform.is_reachable(self.now, zone) {
            self.answer_call(daemon, call, None);
        } else {
            self.fail_call(daemon, call, CALL_TIMEOUT);
        }
    }

    /// Fails all pending watches, as if their connections had been lost.
    pub(super) fn fail_watches(&mut self) {
        for daemon in 0..self.hosts.len() {
            if let Some((call, _)) = self.hosts[daemon].pending_watch.take() {
                self.fail_call(daemon, call, CALL_LATENCY);
            }
        }
    }

    pub(super) fn on_call_answered(&mut self, daemon: usize, call: u64, answer: WatchResult) {
        if self.hosts[daemon].last_call != call {
            return;
        }
        let (revision, document) = match answer {
            Ok(Some((revision, document))) => (revision, Ok(Some(document))),
            Ok(None) => (0, Ok(None)),
            Err(e) => (0, Err(e)),
        };
        self.deliver(
            daemon,
            DistributionEvent::PlatformAnswer { revision, document },
        );
    }

    fn answer_call(&mut self, daemon: usize, call: u64, found: Option<(u64, Bytes)>) {
        let bytes = found.as_ref().map_or(0, |(_, document)| document.len());
        self.report.platform_bytes += bytes as u64;
        if self.loses_answer() {
            self.fail_call(daemon, call, CALL_TIMEOUT);
        } else {
            self.schedule_answer(daemon, call, Ok(found), CALL_LATENCY);
        }
    }

    fn fail_call(&mut self, daemon: usize, call: u64, delay: Duration) {
        self.schedule_answer(daemon, call, Err(PlatformFailure), delay);
    }

    fn schedule_answer(&mut self, daemon: usize, call: u64, answer: WatchResult, delay: Duration) {
        let event = Event::CallAnswered {
            daemon,
            call,
            answer,
        };
        self.queue.push(self.now + delay, event);
    }

    pub(super) fn loses_answer(&mut self) -> bool {
        self.now < self.platform.lossy_until && self.rng.random_bool(0.5)
    }

    pub(super) fn draw_peer_latency(&mut self) -> Duration {
        let [shortest, longest] = PEER_LATENCY;
        shortest + (longest - shortest).mul_f64(self.rng.random())
    }

    /// Sends a datagram with the sender's version to `daemon`; the datagram may be lost.
    pub(super) fn send_version(&mut self, from: usize, daemon: usize, version: Version) {
        if self.rng.random_bool(self.scenario.datagram_loss) {
            return;
        }
        let arrival = Event::PeerVersion {
            daemon,
            from,
            version,
        };
        let at = self.now + self.draw_peer_latency();
        self.queue.push(at, arrival);
    }

    pub(super) fn on_peer_version(&mut self, daemon: usize, from: usize, version: Version) {
        let host = &mut self.hosts[daemon];
        if host.daemon.is_none() {
            return;
        }
        host.last_heard[from] = self.now;
        if !host.peers.contains(&from) {
            host.peers.push(from);
            self.deliver_members(daemon);
        }
        let from = member_id(from);
        self.deliver(daemon, DistributionEvent::PeerVersion { from, version });
    }

    /// Removes the peers whose heartbeats have timed out, and sends a daemon's heartbeats.
    pub(super) fn send_heartbeats(&mut self, daemon: usize) {
        let now: MonoTime = self.now;
        let host = &mut self.hosts[daemon];
        let incarnation = host.incarnation;
        let known = host.peers.len();
        let last_heard = &host.last_heard;
        host.peers
            .retain(|p| now.since(last_heard[*p]) <= DEAD_TIMEOUT);
        if host.peers.len() != known {
            self.deliver_members(daemon);
        }
        let version = self.hosts[daemon].version();
        for peer in (0..self.hosts.len()).filter(|p| *p != daemon) {
            self.send_version(daemon, peer, version);
        }
        let next = Event::Heartbeat {
            daemon,
            incarnation,
        };
        self.queue.push(now + HEARTBEAT_INTERVAL, next);
    }

    fn deliver_members(&mut self, daemon: usize) {
        let peers = self.hosts[daemon].peers.iter();
        let members = peers.map(|p| LiveMember {
            id: member_id(*p),
            zone: zone_name(self.hosts[*p].zone),
        });
        let members = members.collect();
        self.deliver(daemon, DistributionEvent::Members(members));
    }
}
