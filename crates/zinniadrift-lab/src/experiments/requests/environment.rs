//! Changes the environment of the gateways: faults, restarts, settings, peers and load reports.

use std::time::Duration;

use rand::RngExt;

use zinniadrift_core::gateway::{GatewayAction, GatewayEvent, LoadReport, Peer};
use zinniadrift_core::ids::TargetId;

use super::event::{AttemptFault, Event, FaultKind};
use super::latency::{LOCAL_LATENCY, SETTINGS_LAG, ZONE_LATENCY};
use super::user;
use super::workload::exponential;
use super::{CallerOutcome, Simulation, UnknownCause};

const RESTART_TIME: Duration = Duration::from_secs(2);
/// The delay after which the gateways learn that one of them died or restarted.
const PEERS_LAG: Duration = Duration::from_secs(1);
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
const DRAIN_TIME: Duration = Duration::from_secs(5);
/// The shortest pause of a gateway. It exceeds the lease of the baseline with expiring claims.
const PAUSE_TIME: Duration = Duration::from_secs(3);

impl Simulation {
    /// Adds a target that starts cold, and publishes the new settings.
    pub fn add_target(&mut self) {
        self.fake_targets.add(self.now, &self.cfg);
        self.publish_settings(Duration::ZERO);
    }

    /// Marks a target as draining and publishes the new settings.
    pub fn drain_target(&mut self, index: usize) {
        self.fake_targets.targets[index].draining = true;
        self.publish_settings(SETTINGS_LAG);
    }

    /// Sends the current settings to all gateways, each with a random delay of up to `lag`.
    pub(super) fn publish_settings(&mut self, lag: Duration) {
        self.version = self.version.next();
        let catalog = user::catalog(self.version, &self.fake_targets.targets, &self.cfg);
        for gateway in &self.gateways {
            let delay = lag.mul_f64(self.rng.random());
            let event = GatewayEvent::Settings(catalog.clone());
            self.queue
                .add(self.now + delay, Event::Deliver(gateway.instance, event));
        }
    }

    pub(super) fn publish_peers(&mut self) {
        let live = self.gateways.iter().filter(|g| g.alive);
        let peers: Vec<Peer> = live.map(|g| g.peer().clone()).collect();
        for gateway in self.gateways.iter().filter(|g| g.alive) {
            let event = GatewayEvent::Peers(peers.clone());
            self.queue
                .add(self.now, Event::Deliver(gateway.instance, event));
        }
    }

    pub(super) fn publish_reports(&mut self) {
        let age = self.cfg.report_age;
        for target in &self.fake_targets.targets {
            let report = LoadReport {
                target: target.id,
                busy: u16::try_from(target.busy()).unwrap_or(u16::MAX),
                age,
            };
            for gateway in &self.gateways {
                let event = GatewayEvent::Report(report);
                self.queue
                    .add(self.now + age, Event::Deliver(gateway.instance, event));
            }
        }
        self.queue
            .add(self.now + REPORT_INTERVAL, Event::PublishReports);
    }

    pub(super) fn restart(&mut self, gateway: usize) {
        self.gateways[gateway].restart(&self.cfg);
        let catalog = user::catalog(self.version, &self.fake_targets.targets, &self.cfg);
        let event = GatewayEvent::Settings(catalog);
        self.queue.add(
            self.now,
            Event::Deliver(self.gateways[gateway].instance, event),
        );
        self.queue.add(self.now + PEERS_LAG, Event::PublishPeers);
    }

    pub(super) fn schedule_fault(&mut self, kind: FaultKind) {
        let faults = self.cfg.faults;
        let every = match kind {
            FaultKind::Kill => faults.kill_interval,
            FaultKind::Pause => faults.pause_interval,
            FaultKind::Outage => faults.outage_interval,
            FaultKind::Drain => faults.drain_interval,
        };
        if let Some(mean) = every {
            let wait = mean.mul_f64(exponential(&mut self.rng));
            self.queue.add(self.now + wait, Event::Fault(kind));
        }
    }

    pub(super) fn on_fault(&mut self, kind: FaultKind) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        match kind {
            FaultKind::Kill => self.kill(gateway),
            FaultKind::Pause => {
                self.gateways[gateway].paused_until = self.now + self.draw_pause();
            }
            FaultKind::Outage => {
                let length = Duration::from_millis(self.rng.random_range(500..6_000));
                self.store.down_until = Some(self.now + length);
            }
            FaultKind::Drain => {
                let target = self.rng.random_range(0..self.fake_targets.targets.len());
                if !self.fake_targets.targets[target].draining {
                    self.drain_target(target);
                    self.queue
                        .add(self.now + DRAIN_TIME, Event::Undrain(target));
                }
            }
        }
        self.schedule_fault(kind);
    }

    /// Pauses a gateway at random between its decision to send an attempt and the send, as if its
    /// process had been stopped at that point.
    pub(super) fn pause_before_send(&mut self, gateway: usize, out: &[GatewayAction]) {
        let sends = out
            .iter()
            .any(|action| matches!(action, GatewayAction::Send { .. }));
        if sends && self.rng.random::<f64>() < self.cfg.faults.paused_sends {
            self.gateways[gateway].paused_until = self.now + self.draw_pause();
        }
    }

    pub(super) fn draw_attempt_fault(&mut self) -> Option<AttemptFault> {
        let faults = self.cfg.faults;
        let shares = [
            (faults.lost_connections / 2.0, AttemptFault::LostBefore),
            (faults.lost_connections / 2.0, AttemptFault::LostAfter),
            (faults.truncated_responses, AttemptFault::Truncated),
            (faults.swapped_responses, AttemptFault::Swapped),
            (faults.late_responses, AttemptFault::Late),
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

    /// Returns the one-way latency between a gateway and a target.
    pub(super) fn latency_to(&self, gateway: usize, target: TargetId) -> Duration {
        if self.fake_targets.zone_of(target) == Some(&self.gateways[gateway].peer().zone) {
            LOCAL_LATENCY
        } else {
            ZONE_LATENCY
        }
    }

    fn kill(&mut self, gateway: usize) {
        let others = self.gateways.iter().filter(|g| g.alive).count();
        if !self.gateways[gateway].alive || others < 2 {
            return;
        }
        self.gateways[gateway].alive = false;
        for request in 0..self.callers.requests.len() {
            let r = &mut self.callers.requests[request];
            if r.gateway == gateway && r.outcome.is_none() && r.arrived_at <= self.now {
                r.cause = Some(UnknownCause::GatewayDeath);
                self.end_request(request, CallerOutcome::NoAnswer);
            }
        }
        self.queue.add(self.now + PEERS_LAG, Event::PublishPeers);
        self.queue
            .add(self.now + RESTART_TIME, Event::Restart(gateway));
    }

    fn draw_pause(&mut self) -> Duration {
        PAUSE_TIME + Duration::from_millis(self.rng.random_range(0..2_000))
    }
}
