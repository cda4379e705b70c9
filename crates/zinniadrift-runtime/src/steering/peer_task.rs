use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use zinniadrift_core::steering::{KnownState, PeerUpdate, RelayChoice, StoreNeed};
use zinniadrift_store::{HttpTransport, StoreError};

use super::input::{Input, StateMark};
use super::peer_service::{NEWS_PATH, PeerQuestion};

/// How long a relay may wait for news; a relay that went silent is noticed after it.
const NEWS_WAIT: Duration = Duration::from_millis(1_000);
/// The time limit beyond the wait; relays answer within milliseconds, slowed ones within tenths.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// The pause after a relay did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// The same for a newcomer, which takes no packets before it knows something.
const NEWCOMER_PAUSE: Duration = Duration::from_millis(30);

/// How long a newcomer waits for the store's first list; the store answers within 10 ms, and a slow
/// processor needs some more.
const LIST_PATIENCE: Duration = Duration::from_millis(80);

/// Asks relays for news.
pub(super) struct PeerTask {
    /// All relays; this balancer's own address is skipped.
    pub(super) relays: watch::Receiver<Vec<SocketAddr>>,
    pub(super) own: Option<SocketAddr>,
    /// Spreads the balancers over the relays.
    pub(super) first: usize,
    pub(super) mark: watch::Receiver<StateMark>,
    pub(super) inputs: mpsc::Sender<Input>,
    /// Tells the feeds why the store has to be called.
    pub(super) need: watch::Sender<StoreNeed>,
    pub(super) stop: CancellationToken,
}

impl PeerTask {
    /// Runs until the process stops.
    pub(super) async fn run(mut self) {
        let transport = HttpTransport::new();
        self.wait_for_first_list().await;
        loop {
            let all = self.relays.borrow_and_update().clone();
            let is_relay = self.own.is_some_and(|own| all.contains(&own));
            let others = all.iter().copied().filter(|r| Some(*r) != self.own);
            let others: Vec<SocketAddr> = others.collect();
            let mut choice = RelayChoice::new(others.len(), self.first, is_relay);
            self.need.send_replace(choice.store_need());
            while !self.relays.has_changed().unwrap_or(true) {
                let Some(position) = choice.relay() else {
                    break;
                };
                tokio::select! {
                    () = self.stop.cancelled() => return,
                    () = self.ask_once(&transport, others[position], &mut choice) => {}
                }
            }
            tokio::select! {
                () = self.stop.cancelled() => return,
                Ok(()) = self.relays.changed() => {}
            }
        }
    }

    /// Waits a moment for the store's first list, so that relays need not send everything.
    async fn wait_for_first_list(&mut self) {
        let known = self.mark.wait_for(|m| m.known != KnownState::default());
        // Without the list the relays are asked for everything.
        let _listed = tokio::time::timeout(LIST_PATIENCE, known).await;
    }

    async fn ask_once(
        &self,
        transport: &HttpTransport,
        relay: SocketAddr,
        choice: &mut RelayChoice,
    ) {
        let known = self.mark.borrow().known;
        // A newcomer has nothing to wait for: a relay that does not answer at once is passed over.
        let wait = if known == KnownState::default() {
            Duration::ZERO
        } else {
            NEWS_WAIT
        };
        let question = PeerQuestion {
            known,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let before = choice.store_need();
        let answer = ask(transport, relay, question, wait + ANSWER_LIMIT).await;
        let age = match &answer {
            Ok(update) => {
                let age = update.directory_age.max(update.routes_age);
                choice.on_answer(age);
                Some(age)
            }
            Err(e) => {
                tracing::debug!(%relay, error = %e, "relay did not answer");
                choice.on_fault();
                None
            }
        };
        let after = choice.store_need();
        if before != after {
            let age_ms = age.and_then(|a| u64::try_from(a.as_millis()).ok());
            tracing::info!(%relay, age_ms, store_need = ?after, "source of news changed");
            self.need.send_replace(after);
        }
        match answer {
            // The driver is gone only when the process stops.
            Ok(update) => self
                .inputs
                .send(Input::Peer(Box::new(update)))
                .await
                .unwrap_or_default(),
            Err(_) if wait.is_zero() => tokio::time::sleep(NEWCOMER_PAUSE).await,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn ask(
    transport: &HttpTransport,
    relay: SocketAddr,
    question: PeerQuestion,
    limit: Duration,
) -> Result<PeerUpdate, StoreError> {
    let unreadable = |e: &dyn std::fmt::Display| StoreError::Unavailable {
        reason: e.to_string().into(),
    };
    let body = serde_json::to_vec(&question).map_err(|e| unreadable(&e))?;
    let uri = format!("http://{relay}{NEWS_PATH}");
    let req = Request::post(uri).body(Full::new(body.into()));
    let req = req.map_err(|e| unreadable(&e))?;
    let (status, body) = transport.call(req, limit).await?;
    if status != StatusCode::OK {
        return Err(StoreError::Refused {
            status: status.as_u16(),
        });
    }
    serde_json::from_slice(&body).map_err(|e| unreadable(&e))
}
