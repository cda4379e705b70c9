//! Changes the world around the gateways: faults, restarts, settings, live lists and reports.

use std::time::Duration;

use rand::RngExt;

use zinniadrift_core::gateway::{GatewayAction, GatewayEvent, LoadReport, Peer};
use zinniadrift_core::ids::TargetId;

use super::event::{AttemptFault, Event, FaultKind};
use super::latency::{LOCAL_LATENCY, SETTINGS_LAG, ZONE_LATENCY};
use super::load::exponential;
use super::user;
use super::{Cause, Ending, World};

const RESTART_TIME: Duration = Duration::from_secs(2);
/// The time after which gateways learn that one of them died or came back.
const PEERS_LAG: Duration = Duration::from_secs(1);
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// The shortest pause; it exceeds the lease of the baseline.
const PAUSE_TIME: Duration = Duration::from_secs(3);

impl World {
    /// Starts a further, cold target.
    pub fn add_target(&mut self) {
        self.backends.add(self.now, &self.cfg);
        self.publish_settings(Duration::ZERO);
    }

    /// Takes a target out of service gracefully.
    pub fn drain_target(&mut self, index: usize) {
        self.backends.targets[index].draining = true;
        self.publish_settings(SETTINGS_LAG);
    }

    /// Sends the current settings to all gateways, each with its own delay.
    pub(super) fn publish_settings(&mut self, lag: Duration) {
        self.version = self.version.next();
        let catalog = user::catalog(self.version, &self.backends.targets, &self.cfg);
        for node in &self.nodes {
            let delay = lag.mul_f64(self.rng.random());
            let event = GatewayEvent::Settings(catalog.clone());
            self.schedule
                .add(self.now + delay, Event::Deliver(node.origin, event));
        }
    }

    pub(super) fn publish_peers(&mut self) {
        let live = self.nodes.iter().filter(|n| n.alive);
        let peers: Vec<Peer> = live.map(|n| n.peer().clone()).collect();
        for node in self.nodes.iter().filter(|n| n.alive) {
            let event = GatewayEvent::Peers(peers.clone());
            self.schedule
                .add(self.now, Event::Deliver(node.origin, event));
        }
    }

    pub(super) fn publish_reports(&mut self) {
        let age = self.cfg.report_age;
        for target in &self.backends.targets {
            let report = LoadReport {
                target: target.id,
                busy: u16::try_from(target.busy()).unwrap_or(u16::MAX),
                age,
            };
            for node in &self.nodes {
                let event = GatewayEvent::Report(report);
                self.schedule
                    .add(self.now + age, Event::Deliver(node.origin, event));
            }
        }
        self.schedule
            .add(self.now + REPORT_INTERVAL, Event::Reports);
    }

    pub(super) fn restart(&mut self, node: usize) {
        self.nodes[node].restart(&self.cfg);
        let catalog = user::catalog(self.version, &self.backends.targets, &self.cfg);
        let event = GatewayEvent::Settings(catalog);
        self.schedule
            .add(self.now, Event::Deliver(self.nodes[node].origin, event));
        self.schedule.add(self.now + PEERS_LAG, Event::Peers);
    }

    pub(super) fn plan_fault(&mut self, kind: FaultKind) {
        let faults = self.cfg.faults;
        let every = match kind {
            FaultKind::Kill => faults.kill_every,
            FaultKind::Pause => faults.pause_every,
            FaultKind::Outage => faults.outage_every,
            FaultKind::Drain => faults.drain_every,
        };
        if let Some(mean) = every {
            let wait = mean.mul_f64(exponential(&mut self.rng));
            self.schedule.add(self.now + wait, Event::Fault(kind));
        }
    }

    pub(super) fn on_fault(&mut self, kind: FaultKind) {
        let node = self.rng.random_range(0..self.nodes.len());
        match kind {
            FaultKind::Kill => self.kill(node),
            FaultKind::Pause => {
                self.nodes[node].paused_until = self.now + self.draw_pause();
            }
            FaultKind::Outage => {
                let length = Duration::from_millis(self.rng.random_range(500..6_000));
                self.store.down_until = Some(self.now + length);
            }
            FaultKind::Drain => {
                let target = self.rng.random_range(0..self.backends.targets.len());
                if !self.backends.targets[target].draining {
                    self.drain_target(target);
                    self.schedule
                        .add(self.now + DRAIN_TIME, Event::Undrain(target));
                }
            }
        }
        self.plan_fault(kind);
    }

    /// Pauses a gateway between its decision to send and the sending, as a frozen process would.
    pub(super) fn freeze_before(&mut self, node: usize, out: &[GatewayAction]) {
        let sends = out.iter().any(|a| matches!(a, GatewayAction::Send { .. }));
        if sends && self.rng.random::<f64>() < self.cfg.faults.frozen_sends {
            self.nodes[node].paused_until = self.now + self.draw_pause();
        }
    }

    pub(super) fn draw_attempt_fault(&mut self) -> Option<AttemptFault> {
        let faults = self.cfg.faults;
        let shares = [
            (faults.lost_connections / 2.0, AttemptFault::LostBefore),
            (faults.lost_connections / 2.0, AttemptFault::LostAfter),
            (faults.truncated, AttemptFault::Truncated),
            (faults.swapped, AttemptFault::Swapped),
            (faults.late, AttemptFault::Late),
        ];
        let mut random: f64 = self.rng.random();
        for (share, fault) in shares {
            if random < share {
                return Some(fault);
            }
            random -= share;
        }
        None
    }

    /// Returns the one-way time between a gateway and a target.
    pub(super) fn latency_to(&self, node: usize, target: TargetId) -> Duration {
        if self.backends.zone_of(target) == Some(&self.nodes[node].peer().zone) {
            LOCAL_LATENCY
        } else {
            ZONE_LATENCY
        }
    }

    fn kill(&mut self, node: usize) {
        let others = self.nodes.iter().filter(|n| n.alive).count();
        if !self.nodes[node].alive || others < 2 {
            return;
        }
        self.nodes[node].alive = false;
        for ask in 0..self.callers.asks.len() {
            let a = &mut self.callers.asks[ask];
            if a.gateway == node && a.ending.is_none() && a.arrived <= self.now {
                a.cause = Some(Cause::GatewayDeath);
                self.end_ask(ask, Ending::NoAnswer);
            }
        }
        self.schedule.add(self.now + PEERS_LAG, Event::Peers);
        self.schedule
            .add(self.now + RESTART_TIME, Event::Restart(node));
    }

    fn draw_pause(&mut self) -> Duration {
        PAUSE_TIME + Duration::from_millis(self.rng.random_range(0..2_000))
    }
}
