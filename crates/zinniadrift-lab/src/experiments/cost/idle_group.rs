use std::time::{Duration, Instant};

use zinniadrift_core::balancer::BalancerSettings;

use super::SyntheticCatalog;
use crate::harness::Group;

/// The time for the members to start and discover each other.
const START_TIME: Duration = Duration::from_secs(30);
/// The duration of a measurement in seconds.
const MEASUREMENT_S: u64 = 60;

/// A group of balancers without traffic.
#[derive(Debug)]
pub(crate) struct IdleGroup {
    group: Group,
}

/// The mean cost of one member without traffic.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleCost {
    /// The bytes per message, including IP and UDP headers.
    pub(crate) bytes_per_message: f64,
    /// The bytes sent and received per second.
    pub(crate) control_bytes_per_s: f64,
    /// The processor time per second in nanoseconds, including that of the harness.
    pub(crate) ns_per_s: f64,
}

impl IdleGroup {
    /// Starts the members and waits until they have discovered each other.
    pub(crate) fn start(catalog: &SyntheticCatalog, members: usize, seed: u64) -> Self {
        let template = BalancerSettings {
            seed,
            ..BalancerSettings::default()
        };
        let mut group = Group::new(seed, template);
        let settings = catalog.catalog(1);
        for i in 0..members {
            let member = group.join(
                &format!("balancer-{i}"),
                ["lowell", "nashua", "concord"][i % 3],
            );
            group.deliver_settings(member, &settings, Duration::ZERO);
        }
        group.advance(START_TIME);
        Self { group }
    }

    /// Runs the group for one minute of virtual time and returns the mean cost.
    pub(crate) fn run(&mut self) -> IdleCost {
        let (messages, bytes) = self.totals();
        let start = Instant::now();
        self.group.advance(Duration::from_secs(MEASUREMENT_S));
        let elapsed = start.elapsed().as_nanos() as f64;
        let (messages_after, bytes_after) = self.totals();
        let member_seconds = (MEASUREMENT_S * self.group.members.len() as u64) as f64;
        let sent = (bytes_after - bytes) as f64;
        IdleCost {
            bytes_per_message: sent / (messages_after - messages).max(1) as f64,
            // The network loses nothing, so each byte sent is also received by a member.
            control_bytes_per_s: 2.0 * sent / member_seconds,
            ns_per_s: elapsed / member_seconds,
        }
    }

    fn totals(&self) -> (u64, u64) {
        let members = self.group.members.iter();
        let counters = members.map(|m| m.core.counters());
        counters.fold((0, 0), |(messages, bytes), c| {
            (messages + c.peer_messages_sent, bytes + c.peer_bytes_sent)
        })
    }
}
