use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use http::Request;
use http_body_util::Full;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use zinniadrift_core::steering::ObservationReport;
use zinniadrift_store::{HttpTransport, StoreError};

use super::input::{DriverState, Input, OutgoingObservations};
use super::peer_service::OBSERVATIONS_PATH;

/// The interval at which relays report to each other.
const RELAY_INTERVAL: Duration = Duration::from_secs(1);
/// The time-out of a report; a lost one is followed by the next.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// A task that reports observations beside the requests to the peer: at once when a target falls
/// silent, and as a relay to all other relays.
#[derive(Clone)]
pub(super) struct ObservationTask {
    /// The addresses of all relays.
    pub(super) relays: watch::Receiver<Vec<SocketAddr>>,
    pub(super) own_address: Option<SocketAddr>,
    /// The peer that updates are requested from.
    pub(super) peer: watch::Receiver<Option<SocketAddr>>,
    pub(super) state: watch::Receiver<DriverState>,
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) stop: CancellationToken,
}

impl ObservationTask {
    /// Runs until the process stops.
    pub(super) async fn run(mut self) {
        let transport = HttpTransport::with_connect_timeout(REPORT_TIMEOUT);
        let mut ticks = tokio::time::interval(RELAY_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut seen = 0;
        loop {
            let urgent = tokio::select! {
                () = self.stop.cancelled() => return,
                _ = ticks.tick() => None,
                urgent = wait_for_urgent(&mut self.state, seen) => Some(urgent),
            };
            let is_relay = self.is_relay();
            match urgent {
                Some(count) => seen = count,
                None if is_relay && self.state.borrow().observations.enabled => {}
                None => continue,
            }
            let report = report_observations(&self.inputs, is_relay).await.report;
            let Some(report) = report else { continue };
            let sent = self
                .receivers(is_relay)
                .into_iter()
                .map(|peer| send_report(&transport, peer, &report));
            for result in join_all(sent).await {
                if let Err(e) = result {
                    tracing::debug!(error = %e, "report of observations not delivered");
                }
            }
        }
    }

    fn is_relay(&self) -> bool {
        let own = self.own_address;
        own.is_some_and(|address| self.relays.borrow().contains(&address))
    }

    fn receivers(&self, is_relay: bool) -> Vec<SocketAddr> {
        if !is_relay {
            return self.peer.borrow().iter().copied().collect();
        }
        let relays = self.relays.borrow();
        let others = relays.iter().filter(|r| Some(**r) != self.own_address);
        others.copied().collect()
    }
}

/// Waits until something has to be reported at once, and returns how often that was so.
async fn wait_for_urgent(state: &mut watch::Receiver<DriverState>, seen: u64) -> u64 {
    let changed = state.wait_for(|s| s.observations.urgent_reports != seen);
    if let Ok(state) = changed.await {
        return state.observations.urgent_reports;
    }
    // The driver has ended, so the process is about to stop.
    std::future::pending().await
}

/// Asks the driver what to report; nothing if it has ended.
pub(super) async fn report_observations(
    inputs: &mpsc::Sender<Input>,
    is_relay: bool,
) -> OutgoingObservations {
    let (tx, rx) = oneshot::channel();
    let input = Input::ReportObservations { is_relay, tx };
    if inputs.send(input).await.is_err() {
        return OutgoingObservations::default();
    }
    rx.await.unwrap_or_default()
}

async fn send_report(
    transport: &HttpTransport,
    peer: SocketAddr,
    report: &ObservationReport,
) -> Result<(), StoreError> {
    let body = serde_json::to_vec(report).map_err(StoreError::unavailable)?;
    let uri = format!("http://{peer}{OBSERVATIONS_PATH}");
    let req = Request::post(uri).body(Full::new(body.into()));
    let req = req.map_err(StoreError::unavailable)?;
    let resp = transport.call(req, REPORT_TIMEOUT).await?;
    if resp.status().is_success() {
        return Ok(());
    }
    Err(StoreError::Refused {
        status: resp.status().as_u16(),
    })
}
