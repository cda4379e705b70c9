use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use prost::Message;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tonic::transport::{Channel, Endpoint};

use zinniadrift_proto::v1::timeline_client::TimelineClient;
use zinniadrift_proto::v1::{TimelineEvent, TimelineReport};

use super::Event;

/// The mean rate of reports in bytes per second: a third of a process's budget for control traffic.
pub const REPORT_BYTES_PER_S: usize = 1_024;
/// The most bytes of reports that may be sent at once after an idle time.
pub const REPORT_BURST_BYTES: usize = 8_192;

/// The interval between reports; the events of an interval share a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit of the last report when the process stops.
const FINAL_REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends reports until `stop` is cancelled, and then a last one.
pub(super) async fn run_sender(
    collector: SocketAddr,
    rx: mpsc::Receiver<Event>,
    dropped: Arc<AtomicU64>,
    stop: CancellationToken,
) {
    let Ok(endpoint) = Endpoint::from_shared(format!("http://{collector}")) else {
        return;
    };
    let endpoint = endpoint.connect_timeout(CALL_TIMEOUT).timeout(CALL_TIMEOUT);
    let mut sender = Sender {
        client: TimelineClient::new(endpoint.connect_lazy()),
        rx,
        dropped,
        reported_drops: 0,
        unsent: Vec::new(),
        budget: REPORT_BURST_BYTES,
        refilled_at: Instant::now(),
    };
    while !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => {}
            () = sleep(REPORT_INTERVAL) => sender.report().await,
        }
    }
    // The last events show how the process ended, so the budget does not delay them.
    sender.budget = REPORT_BURST_BYTES;
    if timeout(FINAL_REPORT_TIMEOUT, sender.report())
        .await
        .is_err()
    {
        tracing::debug!("collector did not accept the last events in time");
    }
}

struct Sender {
    client: TimelineClient<Channel>,
    rx: mpsc::Receiver<Event>,
    dropped: Arc<AtomicU64>,
    reported_drops: u64,
    unsent: Vec<TimelineEvent>,
    budget: usize,
    refilled_at: Instant,
}

impl Sender {
    async fn report(&mut self) {
        self.refill_budget();
        if self.unsent.is_empty() {
            self.drain_queue();
        }
        if self.unsent.is_empty() {
            return;
        }
        let dropped = self.dropped.load(Ordering::Relaxed);
        let report = TimelineReport {
            events: self.unsent.clone(),
            dropped: dropped - self.reported_drops,
        };
        let bytes = report.encoded_len();
        match self.client.report(report).await {
            Ok(_) => {
                self.unsent.clear();
                self.reported_drops = dropped;
                self.budget = self.budget.saturating_sub(bytes);
            }
            Err(e) => tracing::debug!(error = %e, "cannot send events to the collector"),
        }
    }

    /// Moves events from the queue to `unsent` until the budget is reached.
    fn drain_queue(&mut self) {
        let mut bytes = 0;
        while bytes < self.budget {
            let Ok(event) = self.rx.try_recv() else {
                return;
            };
            let event = TimelineEvent::from(event);
            bytes += event.encoded_len();
            self.unsent.push(event);
        }
    }

    fn refill_budget(&mut self) {
        let elapsed = self.refilled_at.elapsed().as_secs_f64();
        self.refilled_at = Instant::now();
        let refill_bytes = (elapsed * REPORT_BYTES_PER_S as f64) as usize;
        self.budget = (self.budget + refill_bytes).min(REPORT_BURST_BYTES);
    }
}
