use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::sync::{Notify, mpsc, watch};
use tokio_util::sync::CancellationToken;

use zinniadrift_core::ids::ZoneName;
use zinniadrift_core::steering::{KnownState, PeerInfo, PeerSelector, Revision, StoreNeed};
use zinniadrift_core::units::Version;
use zinniadrift_store::{HttpTransport, StoreError};

use super::input::{DriverState, Input};
use super::peer_message::{PeerRequest, PeerResponse};
use super::peer_service::NEWS_PATH;

/// The time limit beyond the wait; peers answer within milliseconds, slowed ones within tenths.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The pause after a peer did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The same after a question that was not to wait: a newcomer takes no packets before it knows
/// something, and a balancer whose peer may have lost the store asks all relays in turn.
const URGENT_RETRY_DELAY: Duration = Duration::from_millis(30);

/// How long a newcomer waits for the store's first lists: those of the planned 3,500 targets take a
/// second on a link of 10 Mbit/s.
const FIRST_LISTS_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Asks relays, or peers that they refer to, for news.
pub(super) struct PeerTask {
    /// All relays; this balancer's own address is skipped.
    pub(super) relays: watch::Receiver<Vec<SocketAddr>>,
    pub(super) own_address: Option<SocketAddr>,
    pub(super) zone: ZoneName,
    /// Spreads the balancers over the relays.
    pub(super) relay_offset: usize,
    /// The age of a confirmation from which a peer has probably lost the store.
    pub(super) expected_max_age: Duration,
    pub(super) state: watch::Receiver<DriverState>,
    pub(super) inputs: mpsc::Sender<Input>,
    /// Is notified of every failed call to the store.
    pub(super) store_failed: Arc<Notify>,
    /// Tells the feeds why the store has to be called.
    pub(super) need: watch::Sender<StoreNeed>,
    pub(super) stop: CancellationToken,
}

impl PeerTask {
    /// Runs until the process stops.
    pub(super) async fn run(mut self) {
        let transport = HttpTransport::new();
        self.wait_for_first_lists().await;
        loop {
            let all = self.relays.borrow_and_update().clone();
            let is_relay = self.own_address.is_some_and(|a| all.contains(&a));
            let others = all.iter().copied().filter(|r| Some(*r) != self.own_address);
            let others: Vec<SocketAddr> = others.collect();
            let requester = self
                .own_address
                .filter(|_| !is_relay)
                .map(|address| PeerInfo {
                    address,
                    zone: self.zone.clone(),
                });
            let mut selector =
                PeerSelector::new(others, self.relay_offset, is_relay, self.expected_max_age);
            self.need.send_replace(selector.store_need());
            while !self.relays.has_changed().unwrap_or(true) {
                let Some(peer) = selector.peer() else {
                    break;
                };
                tokio::select! {
                    () = self.stop.cancelled() => return,
                    () = self.request_update(&transport, peer, requester.clone(), &mut selector) => {}
                }
            }
            tokio::select! {
                () = self.stop.cancelled() => return,
                Ok(()) = self.relays.changed() => {}
            }
        }
    }

    /// Waits for the store's first lists, unless a call fails, so that peers on slow links need not
    /// send everything.
    async fn wait_for_first_lists(&mut self) {
        let is_known = |s: &DriverState| {
            s.known.targets != Revision::ZERO && s.known.version != Version::default()
        };
        tokio::select! {
            // Without the lists peers are asked for everything.
            _ = self.state.wait_for(is_known) => {}
            () = self.store_failed.notified() => {}
            () = tokio::time::sleep(FIRST_LISTS_TIMEOUT) => {}
        }
    }

    async fn request_update(
        &self,
        transport: &HttpTransport,
        peer: SocketAddr,
        asker: Option<PeerInfo>,
        selector: &mut PeerSelector,
    ) {
        let known = self.state.borrow().known;
        // A newcomer has nothing to wait for: a relay that does not answer at once is passed over.
        let wait = if known == KnownState::default() {
            Duration::ZERO
        } else {
            selector.long_poll_wait()
        };
        let request = PeerRequest {
            known,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
            asker,
        };
        let before = selector.store_need();
        let answer = send_request(transport, peer, &request, wait + RESPONSE_TIMEOUT).await;
        let mut age = None;
        let delay = match &answer {
            Ok(PeerResponse::Update(update)) => {
                let oldest = update.directory_age.max(update.routes_age);
                selector.on_response(oldest);
                age = u64::try_from(oldest.as_millis()).ok();
                Duration::ZERO
            }
            Ok(PeerResponse::Refer(peers)) if selector.on_referral(peers) => Duration::ZERO,
            Ok(PeerResponse::Refer(peers)) => {
                tracing::debug!(%peer, peers = peers.len(), "too many referrals");
                RETRY_DELAY
            }
            Err(e) => {
                tracing::debug!(%peer, error = %e, "peer did not answer");
                selector.on_failure();
                if wait.is_zero() {
                    URGENT_RETRY_DELAY
                } else {
                    RETRY_DELAY
                }
            }
        };
        let after = selector.store_need();
        if before != after {
            tracing::info!(%peer, age_ms = age, store_need = ?after, "source of news changed");
            self.need.send_replace(after);
        }
        if let Ok(PeerResponse::Update(update)) = answer {
            // The driver is gone only when the process stops.
            let sent = self.inputs.send(Input::PeerUpdate(update)).await;
            sent.unwrap_or_default();
        }
        tokio::time::sleep(delay).await;
    }
}

async fn send_request(
    transport: &HttpTransport,
    peer: SocketAddr,
    request: &PeerRequest,
    timeout: Duration,
) -> Result<PeerResponse, StoreError> {
    let body = serde_json::to_vec(request).map_err(StoreError::unavailable)?;
    let uri = format!("http://{peer}{NEWS_PATH}");
    let req = Request::post(uri).body(Full::new(body.into()));
    let req = req.map_err(StoreError::unavailable)?;
    let (status, body) = transport.call(req, timeout).await?;
    if status != StatusCode::OK {
        return Err(StoreError::Refused {
            status: status.as_u16(),
        });
    }
    serde_json::from_slice(&body).map_err(StoreError::unavailable)
}
