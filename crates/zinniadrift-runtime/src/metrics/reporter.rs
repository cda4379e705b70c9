use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};

use super::{METRIC_PREFIX, Metric};
use crate::daemon::Role;
use crate::peer::PeerCounters;
use crate::timeline::Recorder;

/// The time between two reports.
pub(crate) const REPORT_INTERVAL: Duration = Duration::from_secs(10);
/// Metrics that wait to be sent; further ones are dropped.
const QUEUE_CAPACITY: usize = 512;

/// Reads one value from a daemon's counters.
pub(super) type Getter<T> = fn(&T) -> u64;

pub(super) const TIMELINE_DROPPED: Metric = Metric::counter(
    "timeline.dropped",
    "events",
    "state changes not recorded because the queue was full",
);

pub(super) const PEER_COUNTERS: &[(Metric, Getter<PeerCounters>)] = &[
    (
        Metric::counter("peer.sent", "datagrams", "datagrams sent to peers"),
        |c| c.sent,
    ),
    (
        Metric::counter("peer.sent_bytes", "bytes", "payload sent to peers"),
        |c| c.sent_bytes,
    ),
    (
        Metric::counter(
            "peer.unsent",
            "datagrams",
            "datagrams too long, without a known receiver, or refused by the socket",
        ),
        |c| c.unsent,
    ),
    (
        Metric::counter(
            "peer.received",
            "datagrams",
            "datagrams accepted from peers",
        ),
        |c| c.received,
    ),
    (
        Metric::counter(
            "peer.malformed",
            "datagrams",
            "datagrams dropped because they were too long or did not decode",
        ),
        |c| c.malformed,
    ),
    (
        Metric::counter(
            "peer.other_group",
            "datagrams",
            "datagrams dropped because they belong to another user's group",
        ),
        |c| c.other_group,
    ),
];

/// Sends metrics of one daemon; without a server address it does nothing.
pub(crate) struct Reporter {
    client: Option<StatsdClient>,
    totals: HashMap<&'static str, u64>,
}

impl Reporter {
    /// Returns the reporter of the daemon `name`.
    pub(crate) fn new(statsd: Option<SocketAddr>, role: Role, name: &str) -> Self {
        let prefix = format!("{METRIC_PREFIX}.{role}.{name}");
        let client = statsd.and_then(|address| match connect(address, &prefix) {
            Ok(client) => Some(client),
            Err(e) => {
                tracing::error!(%address, error = %e, "metrics are not sent");
                None
            }
        });
        Self {
            client,
            totals: HashMap::new(),
        }
    }

    /// Sends how much each counter rose since the last report.
    pub(super) fn send_counters<T>(&mut self, table: &[(Metric, Getter<T>)], values: &T) {
        for (metric, read) in table {
            self.send_count(metric, read(values));
        }
    }

    /// Sends current values.
    pub(super) fn send_gauges<T>(&self, table: &[(Metric, Getter<T>)], values: &T) {
        let Some(client) = &self.client else {
            return;
        };
        for (metric, read) in table {
            // A full queue drops the value; the next report has a newer one.
            let _ = client.gauge(metric.name, read(values));
        }
    }

    /// Sends what all daemons count.
    pub(crate) fn send_common(&mut self, peers: &PeerCounters, recorder: &Recorder) {
        self.send_counters(PEER_COUNTERS, peers);
        self.send_count(&TIMELINE_DROPPED, recorder.dropped());
    }

    fn send_count(&mut self, metric: &Metric, total: u64) {
        let Some(client) = &self.client else {
            return;
        };
        let before = self.totals.entry(metric.name).or_default();
        let increase = i64::try_from(total.saturating_sub(*before)).unwrap_or(i64::MAX);
        if increase > 0 && client.count(metric.name, increase).is_ok() {
            *before = total;
        }
    }
}

fn connect(address: SocketAddr, prefix: &str) -> Result<StatsdClient, cadence::MetricError> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket)?;
    let queue = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
    Ok(StatsdClient::from_sink(prefix, queue))
}
