use derive_more::Display;

use super::balancer_metrics::{BALANCER_GAUGES, CORE_COUNTERS, PACKET_COUNTERS};
use super::gateway_metrics::{GATEWAY_COUNTERS, GATEWAY_GAUGES};
use crate::steering::{
    DRIVER_COUNTERS, DRIVER_GAUGES, HISTOGRAMS, STATE_GAUGES, STEERING_COUNTERS,
};

use super::reporter::{PEER_COUNTERS, TIMELINE_DROPPED};

/// Starts every name; the daemon's role and name follow.
pub const METRIC_PREFIX: &str = "zinniadrift";

/// Describes one metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Metric {
    /// The name after prefix, role and daemon name.
    pub name: &'static str,
    /// Whether it counts events or tells a current value.
    pub kind: MetricKind,
    /// The unit.
    pub unit: &'static str,
    /// The description.
    pub description: &'static str,
}

/// Tells how a metric's values add up.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "lowercase")]
pub enum MetricKind {
    /// Counts events since the last report.
    Counter,
    /// Tells the current value.
    Gauge,
    /// Counts observations in buckets.
    Histogram,
}

impl Metric {
    pub(crate) const fn counter(
        name: &'static str,
        unit: &'static str,
        description: &'static str,
    ) -> Self {
        Self {
            name,
            kind: MetricKind::Counter,
            unit,
            description,
        }
    }

    pub(crate) const fn gauge(
        name: &'static str,
        unit: &'static str,
        description: &'static str,
    ) -> Self {
        Self {
            name,
            kind: MetricKind::Gauge,
            unit,
            description,
        }
    }

    pub(crate) const fn histogram(
        name: &'static str,
        unit: &'static str,
        description: &'static str,
    ) -> Self {
        Self {
            name,
            kind: MetricKind::Histogram,
            unit,
            description,
        }
    }
}

/// Returns every metric that a balancer that steers by cookies serves.
pub fn edge_metrics() -> Vec<Metric> {
    let core = STEERING_COUNTERS.iter().map(|(m, _)| *m);
    let driver = DRIVER_COUNTERS.iter().map(|(m, _)| *m);
    let gauges = STATE_GAUGES.iter().map(|(m, _)| *m);
    let own_gauges = DRIVER_GAUGES.iter().map(|(m, _)| *m);
    core.chain(driver)
        .chain(gauges)
        .chain(own_gauges)
        .chain(HISTOGRAMS)
        .collect()
}

/// Returns every metric that a daemon may send.
pub fn all_metrics() -> Vec<Metric> {
    let mut all: Vec<Metric> = Vec::new();
    all.extend(CORE_COUNTERS.iter().map(|(m, _)| *m));
    all.extend(PACKET_COUNTERS.iter().map(|(m, _)| *m));
    all.extend(BALANCER_GAUGES.iter().map(|(m, _)| *m));
    all.extend(GATEWAY_COUNTERS.iter().map(|(m, _)| *m));
    all.extend(GATEWAY_GAUGES.iter().map(|(m, _)| *m));
    all.extend(PEER_COUNTERS.iter().map(|(m, _)| *m));
    all.push(TIMELINE_DROPPED);
    all
}
