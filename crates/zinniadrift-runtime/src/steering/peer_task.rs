use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use zinniadrift_core::ids::ZoneName;
use zinniadrift_core::steering::{
    PauseCount, PeerInfo, PeerSelector, PeerUpdate, ReporterId, StoreNeed,
};
use zinniadrift_core::units::MonoTime;
use zinniadrift_store::{HttpTransport, StoreError};

use crate::daemon::RunClock;

use super::feed_task::wait_for_pause;
use super::input::{DriverState, Input};
use super::observation_task::report_observations;
use super::peer_message::{COMPACT, PeerRequest, PeerResponse};
use super::peer_service::NEWS_PATH;

/// The time-out of a request in addition to its wait. Peers respond within milliseconds, slow ones
/// within tenths of a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The time-out of a connection attempt to a peer. A host without power does not respond, and TCP
/// sends its next SYN only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The delay after a failed request or too many referrals.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The delay after a failed request that did not wait. A balancer that has just started accepts no
/// packets until it has some state, and a balancer whose peer may have lost the store tries all
/// relays in turn.
const URGENT_RETRY_DELAY: Duration = Duration::from_millis(30);

/// The interval between the first requests of a balancer that has just started, each of which goes to
/// another relay.
const FIRST_REQUEST_INTERVAL: Duration = Duration::from_millis(120);
/// The time for which a peer may hold the first request open until it has confirmed its own state.
/// Its response shows that it runs.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(100);
/// The maximum number of first requests at a time. More of them would take the places of other
/// balancers at peers that hold requests open.
const MAX_FIRST_REQUESTS: usize = 4;

/// A task that requests updates from relays or from the peers that they refer to.
#[derive(Clone)]
pub(super) struct PeerTask {
    /// The addresses of all relays; this balancer's own address is skipped.
    pub(super) relays: watch::Receiver<Vec<SocketAddr>>,
    pub(super) clock: RunClock,
    pub(super) own_address: Option<SocketAddr>,
    pub(super) zone: ZoneName,
    /// Distributes the balancers over the relays.
    pub(super) relay_offset: usize,
    /// The age of a confirmation beyond which a peer has probably lost its connection to the store.
    pub(super) expected_max_age: Duration,
    pub(super) state: watch::Receiver<DriverState>,
    pub(super) inputs: mpsc::Sender<Input>,
    /// Publishes to the feed tasks whether and why the store has to be called.
    pub(super) need: watch::Sender<StoreNeed>,
    /// The same for the drained zones, which peers of older builds do not send.
    pub(super) zones_need: watch::Sender<StoreNeed>,
    /// Publishes the peer that updates are requested from.
    pub(super) peer: watch::Sender<Option<SocketAddr>>,
    pub(super) stop: CancellationToken,
}

impl PeerTask {
    /// Runs until the process stops.
    pub(super) async fn run(mut self) {
        let transport = HttpTransport::with_connect_timeout(CONNECT_TIMEOUT);
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
            let mut selector = PeerSelector::new(
                self.clock.now(),
                others,
                self.relay_offset,
                is_relay,
                self.expected_max_age,
            );
            self.publish_need(&selector);
            let stop = self.stop.clone();
            let run = async {
                self.request_first_state(&transport, requester.as_ref(), &mut selector)
                    .await;
                while let Some(peer) = selector.peer() {
                    self.peer
                        .send_if_modified(|p| p.replace(peer) != Some(peer));
                    self.request_update(&transport, peer, requester.clone(), &mut selector)
                        .await;
                }
                std::future::pending::<()>().await;
            };
            let mut relays = self.relays.clone();
            tokio::select! {
                () = stop.cancelled() => return,
                Ok(()) = relays.changed() => {}
                () = run => {}
            }
        }
    }

    /// Asks one relay after the other, without waiting for the previous one's response, until a
    /// peer has sent its state or the state is known from the store.
    async fn request_first_state(
        &self,
        transport: &HttpTransport,
        requester: Option<&PeerInfo>,
        selector: &mut PeerSelector,
    ) {
        if selector.peer().is_none() {
            return;
        }
        let mut state = self.state.clone();
        let mut attempts = FuturesUnordered::new();
        let mut ticks = tokio::time::interval(FIRST_REQUEST_INTERVAL);
        let mut started = 0;
        let mut is_contacted = false;
        loop {
            tokio::select! {
                () = wait_until_known(&mut state) => return,
                _ = ticks.tick() => {
                    // A peer that runs and has no state yet is asked again, not replaced.
                    let is_due = !is_contacted || attempts.is_empty();
                    if is_due && attempts.len() < MAX_FIRST_REQUESTS {
                        let selector = selector.for_first_request(started);
                        attempts.push(self.first_request(transport, requester, selector));
                        started += 1;
                    }
                }
                Some(attempt) = attempts.next(), if !attempts.is_empty() => match attempt {
                    FirstResponse::Update(winner, update, pauses) => {
                        *selector = winner;
                        let sent_at = self.clock.now();
                        self.apply(selector, update, pauses, sent_at).await;
                        return;
                    }
                    FirstResponse::NoState(peer) => {
                        is_contacted = true;
                        selector.on_contact();
                        self.publish_need(selector);
                        attempts.push(self.first_request(transport, requester, peer));
                    }
                    FirstResponse::Failed => {}
                }
            }
        }
    }

    /// Requests the state from the selector's peer, or from those that it refers to.
    async fn first_request(
        &self,
        transport: &HttpTransport,
        requester: Option<&PeerInfo>,
        mut selector: PeerSelector,
    ) -> FirstResponse {
        while let Some(peer) = selector.peer() {
            let state = *self.state.borrow();
            let request = PeerRequest {
                known: state.known,
                wait_ms: whole_millis(FIRST_REQUEST_WAIT),
                requester: requester.cloned(),
                subtree: 1,
                // Several of these requests overlap, so that a response may not be the last.
                wants_share: false,
                observations: None,
                observations_epoch: None,
                observations_seq: None,
            };
            let timeout = FIRST_REQUEST_WAIT + RESPONSE_TIMEOUT;
            match send_request(transport, peer, &request, timeout).await {
                Ok(PeerResponse::Update(update)) => {
                    return FirstResponse::Update(selector, update, state.pauses);
                }
                Ok(PeerResponse::Refer(peers)) => {
                    if !selector.on_referral(self.clock.now(), &peers) {
                        break;
                    }
                }
                Err(StoreError::Refused { .. }) => {
                    // A build that does not hold requests open responds at once.
                    tokio::time::sleep(URGENT_RETRY_DELAY).await;
                    return FirstResponse::NoState(selector);
                }
                Err(e) => {
                    tracing::debug!(%peer, error = %e, "first request to a peer failed");
                    break;
                }
            }
        }
        FirstResponse::Failed
    }

    async fn request_update(
        &self,
        transport: &HttpTransport,
        peer: SocketAddr,
        requester: Option<PeerInfo>,
        selector: &mut PeerSelector,
    ) {
        let mut driver = self.state.clone();
        let state = *driver.borrow_and_update();
        let wait = match state.last_confirmed {
            Some(_) => selector.long_poll_wait(),
            // After a pause of the process, the state has to be confirmed at once.
            None => Duration::ZERO,
        };
        let request = PeerRequest {
            known: state.known,
            wait_ms: whole_millis(wait),
            subtree: state.subtree,
            wants_share: state.wants_share && requester.is_some(),
            requester,
            observations: None,
            observations_epoch: None,
            observations_seq: None,
        };
        // Relays report to all other relays beside their requests, see `ObservationTask`.
        let is_reporting = state.observations.enabled && !selector.is_relay();
        let request = if is_reporting {
            request.with_observations(report_observations(&self.inputs, false).await)
        } else {
            request
        };
        let before = selector.store_need();
        // A grant counts from here: the peer cannot have responded before.
        let sent_at = self.clock.now();
        let response = tokio::select! {
            response = send_request(transport, peer, &request, wait + RESPONSE_TIMEOUT) => response,
            () = wait_for_pause(&mut driver, state.pauses) => return,
        };
        let now = self.clock.now();
        let delay = match response {
            Ok(PeerResponse::Update(update)) => {
                self.apply(selector, update, state.pauses, sent_at).await;
                Duration::ZERO
            }
            Ok(PeerResponse::Refer(peers)) if selector.on_referral(now, &peers) => Duration::ZERO,
            Ok(PeerResponse::Refer(peers)) => {
                tracing::debug!(
                    %peer,
                    peers = peers.len(),
                    "referral not followed; retrying with a relay"
                );
                RETRY_DELAY
            }
            Err(e) => {
                tracing::debug!(%peer, error = %e, "peer did not respond");
                selector.on_failure(now);
                if wait.is_zero() {
                    URGENT_RETRY_DELAY
                } else {
                    RETRY_DELAY
                }
            }
        };
        let after = selector.store_need();
        if before != after {
            tracing::info!(%peer, store_need = ?after, "source of news changed");
        }
        self.publish_need(selector);
        tokio::time::sleep(delay).await;
    }

    /// Passes a peer's update to the driver.
    async fn apply(
        &self,
        selector: &mut PeerSelector,
        mut update: Box<PeerUpdate>,
        pauses: PauseCount,
        sent_at: MonoTime,
    ) {
        if selector.is_relay() {
            // The sums of another relay include what this one has reported to it.
            update.observations.clear();
            update.observations_epoch = ReporterId::NONE;
        }
        let age = update.directory_age.max(update.routes_age);
        selector.on_response(self.clock.now(), age);
        selector.on_zone_drains(update.zones.is_some());
        // The driver drops the receiver only when the process stops.
        let input = Input::PeerUpdate(update, pauses, sent_at);
        let sent = self.inputs.send(input).await;
        sent.unwrap_or_default();
        self.publish_need(selector);
    }

    fn publish_need(&self, selector: &PeerSelector) {
        for (tx, need) in [
            (&self.need, selector.store_need()),
            (&self.zones_need, selector.zone_drains_need()),
        ] {
            tx.send_if_modified(|n| std::mem::replace(n, need) != need);
        }
    }
}

/// Waits until the state is confirmed; forever if the driver has ended.
async fn wait_until_known(state: &mut watch::Receiver<DriverState>) {
    let has_ended = state
        .wait_for(|s| s.last_confirmed.is_some())
        .await
        .is_err();
    if has_ended {
        std::future::pending::<()>().await;
    }
}

fn whole_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The outcome of one of the first requests.
enum FirstResponse {
    /// The state of a peer, and the number of pauses before the request.
    Update(PeerSelector, Box<PeerUpdate>, PauseCount),
    /// The selected peer runs but has no state yet.
    NoState(PeerSelector),
    /// No peer responded.
    Failed,
}

async fn send_request(
    transport: &HttpTransport,
    peer: SocketAddr,
    request: &PeerRequest,
    timeout: Duration,
) -> Result<PeerResponse, StoreError> {
    let body = serde_json::to_vec(request).map_err(StoreError::unavailable)?;
    let uri = format!("http://{peer}{NEWS_PATH}");
    let req = Request::post(uri).header(header::ACCEPT, COMPACT);
    let req = req.body(Full::new(body.into()));
    let req = req.map_err(StoreError::unavailable)?;
    let resp = transport.call(req, timeout).await?;
    if resp.status() != StatusCode::OK {
        return Err(StoreError::Refused {
            status: resp.status().as_u16(),
        });
    }
    // A build that does not know the compact format responds in JSON.
    let content_type = resp.headers().get(header::CONTENT_TYPE);
    if content_type.is_some_and(|t| t == COMPACT) {
        PeerResponse::from_compact(resp.body()).map_err(StoreError::unavailable)
    } else {
        serde_json::from_slice(resp.body()).map_err(StoreError::unavailable)
    }
}
