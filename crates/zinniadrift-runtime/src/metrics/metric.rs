use derive_more::Display;

use super::balancer_metrics::{BALANCER_GAUGES, CORE_COUNTERS, PACKET_COUNTERS};
use super::gateway_metrics::{GATEWAY_COUNTERS, GATEWAY_GAUGES};
use crate::steering::{
    DRIVER_COUNTERS, DRIVER_GAUGES, HISTOGRAMS, STATE_GAUGES, STEERING_COUNTERS,
};

use super::reporter::{PEER_COUNTERS, TIMELINE_DROPPED};

/// The prefix of the names of statsd metrics, followed by the daemon's role and name.
pub const METRIC_PREFIX: &str = "zinniadrift";

/// The description of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Metric {
    /// The name without its prefix.
    pub name: &'static str,
    /// The kind of its values.
    pub kind: MetricKind,
    /// The unit of its values.
    pub unit: &'static str,
    /// The text that explains the metric to operators.
    pub description: &'static str,
}

/// The kind of a metric's values.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "lowercase")]
pub enum MetricKind {
    /// A number of events; reports hold the increase since the last report.
    Counter,
    /// A current value.
    Gauge,
    /// A distribution of observed values in buckets.
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

/// Returns all metrics that an edge balancer serves.
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

/// Returns all metrics that balancers and gateways may send to a statsd server.
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
