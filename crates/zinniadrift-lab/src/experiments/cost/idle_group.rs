use std::time::{Duration, Instant};

use zinniadrift_core::balancer::BalancerSettings;

use super::SyntheticCatalog;
use crate::harness::Group;

const START: Duration = Duration::from_secs(30);
const MEASURED_S: u64 = 60;

/// Runs a group without traffic.
#[derive(Debug)]
pub(crate) struct IdleGroup {
    group: Group,
}

/// Describes one second of one member at rest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IdleSecond {
    /// Bytes per message, with IP and UDP headers.
    pub(crate) bytes_per_message: f64,
    /// Bytes sent and received.
    pub(crate) control_bytes_per_s: f64,
    /// Processor time in nanoseconds, with the harness's share.
    pub(crate) ns_per_s: f64,
}

impl IdleGroup {
    /// Starts the members and lets them find each other.
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
        group.advance(START);
        Self { group }
    }

    /// Runs for a minute and returns the means.
    pub(crate) fn run(&mut self) -> IdleSecond {
        let (messages, bytes) = self.totals();
        let start = Instant::now();
        self.group.advance(Duration::from_secs(MEASURED_S));
        let elapsed = start.elapsed().as_nanos() as f64;
        let (messages_after, bytes_after) = self.totals();
        let member_seconds = (MEASURED_S * self.group.members.len() as u64) as f64;
        let sent = (bytes_after - bytes) as f64;
        IdleSecond {
            bytes_per_message: sent / (messages_after - messages).max(1) as f64,
            // Without loss, what one member sends another receives.
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
