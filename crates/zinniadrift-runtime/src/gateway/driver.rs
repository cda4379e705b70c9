use std::collections::HashMap;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, sleep_until};

use zinniadrift_core::balancer::PeerMessage;
use zinniadrift_core::claim::{BatchId, ClaimVerdict};
use zinniadrift_core::gateway::{
    AttemptId, AttemptResult, Gateway, GatewayAction, GatewayEvent, GatewaySettings, LoadReport,
    Outcome, RequestId, TimelineEvent,
};
use zinniadrift_core::ids::{MemberId, TargetId};
use zinniadrift_core::membership::MemberState;
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;
use zinniadrift_store::HttpStore;

use super::attempt::FinishedAttempt;
use super::attempt_set::AttemptSet;
use super::claim_client::ClaimClient;
use super::peer_exchange::PeerExchange;
use super::pending_request::{PendingRequest, RequestResult, is_idempotent};
use super::store_calls::{read_shard, write_shard};
use crate::daemon::{DaemonSettings, Role, RunClock, SharedInputs, SharedOutputs, shutdown_signal};
use crate::distribution::DistributionOutput;
use crate::metrics::{GatewayCounters, REPORT_INTERVAL, Reporter, report_gateway};
use crate::peer::{ClaimCall, PeerLink};
use crate::targets::PollResult;
use crate::timeline::{Recorder, Subject};

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The receiving ends of the channels from the daemon's other tasks.
pub(super) struct DriverInputs {
    pub(super) requests: mpsc::Receiver<PendingRequest>,
    pub(super) cancellations: mpsc::UnboundedReceiver<RequestId>,
    pub(super) claims: mpsc::Receiver<ClaimCall>,
    pub(super) shared: SharedInputs,
}

/// The driver of one gateway's state machine, which passes it events and executes its actions.
pub(super) struct Driver {
    core: Gateway,
    cfg: DaemonSettings,
    clock: RunClock,
    store: HttpStore,
    peers: PeerExchange,
    recorder: Recorder,
    reporter: Reporter,
    counters: GatewayCounters,
    outputs: SharedOutputs,
    catalog: Arc<ServiceCatalog>,
    requests: HashMap<RequestId, PendingRequest>,
    attempts: AttemptSet,
    pending_calls: FuturesUnordered<BoxFuture<'static, GatewayEvent>>,
    claim_client: ClaimClient,
    verdict_senders: HashMap<(MemberId, BatchId), oneshot::Sender<Vec<ClaimVerdict>>>,
    state: MemberState,
    exiting: bool,
}

impl Driver {
    pub(super) fn new(
        cfg: DaemonSettings,
        clock: RunClock,
        store: HttpStore,
        link: PeerLink,
        recorder: Recorder,
        outputs: SharedOutputs,
    ) -> Self {
        let member = MemberId::from_name(&cfg.name);
        let defaults = GatewaySettings::default();
        let leave_deadline = cfg.drain_deadline_ms.map(Duration::from_millis);
        let core = Gateway::new(GatewaySettings {
            member,
            incarnation: clock.incarnation(),
            zone: cfg.zone.clone(),
            seed: clock.incarnation().into(),
            // The driver's clock counts from the Unix epoch.
            unix_origin_s: 0,
            hedging: cfg.hedging,
            leave_deadline: leave_deadline.unwrap_or(defaults.leave_deadline),
            ..defaults
        });
        let peers = PeerExchange::new(&cfg, clock.now(), link, outputs.distribution.clone());
        Self {
            core,
            clock,
            store,
            peers,
            recorder,
            reporter: Reporter::new(cfg.statsd, Role::Gateway, &cfg.name),
            counters: GatewayCounters::default(),
            outputs,
            catalog: Arc::default(),
            requests: HashMap::new(),
            attempts: AttemptSet::new(),
            pending_calls: FuturesUnordered::new(),
            claim_client: ClaimClient::new(&cfg.user, member),
            verdict_senders: HashMap::new(),
            state: MemberState::Starting,
            exiting: false,
            cfg,
        }
    }

    /// Runs until the core reports that the process may exit.
    pub(super) async fn run(&mut self, mut inputs: DriverInputs) {
        let mut heartbeats = interval(HEARTBEAT_INTERVAL);
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut metric_reports = interval(REPORT_INTERVAL);
        metric_reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut signal = Box::pin(shutdown_signal());
        while !self.exiting {
            let deadline = self.core.next_deadline().map(|t| self.clock.instant(t));
            let timer = async {
                match deadline {
                    Some(t) => sleep_until(t).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = &mut signal => {
                    signal = Box::pin(shutdown_signal());
                    self.recorder.record("stop", "asked to stop");
                    self.set_state(MemberState::Leaving);
                    self.handle_event(GatewayEvent::Leave);
                }
                Some(pending) = inputs.requests.recv() => self.handle_request(pending),
                Some(req) = inputs.cancellations.recv() => self.cancel_request(req),
                (req, finished) = self.attempts.next_finished() => self.finish_attempt(req, finished),
                Some(event) = self.pending_calls.next() => self.handle_event(event),
                Some(call) = inputs.claims.recv() => self.handle_claims(call),
                () = timer => self.handle_event(GatewayEvent::Tick),
                () = self.peers.readable() => self.read_peers(),
                Some(output) = inputs.shared.distribution.recv() => self.handle_output(output).await,
                Some(statuses) = inputs.shared.statuses.recv() => self.peers.add_listed(self.clock.now(), &statuses),
                Some(result) = inputs.shared.reports.recv() => self.handle_poll_result(&result),
                _ = metric_reports.tick() => self.report_metrics(),
                _ = heartbeats.tick() => self.send_heartbeats().await,
            }
        }
        self.peers.send_all(&PeerMessage::Goodbye).await;
        self.set_state(MemberState::Stopped);
        self.attempts.shutdown().await;
    }

    fn now(&self) -> MonoTime {
        self.clock.now()
    }

    fn handle_event(&mut self, event: GatewayEvent) {
        let mut out = Vec::new();
        self.core.handle(self.now(), event, &mut out);
        for action in out {
            self.execute(action);
        }
    }

    fn handle_request(&mut self, pending: PendingRequest) {
        let event = GatewayEvent::RequestArrived {
            req: pending.id,
            service: pending.service,
            idempotent: is_idempotent(&pending.method).unwrap_or(false),
            key: pending.key.clone(),
            deadline: pending.deadline,
        };
        self.counters.received += 1;
        self.requests.insert(pending.id, pending);
        self.handle_event(event);
    }

    fn cancel_request(&mut self, req: RequestId) {
        if self.requests.remove(&req).is_some() {
            self.counters.cancelled += 1;
            self.handle_event(GatewayEvent::RequestCancelled { req });
        }
    }

    fn execute(&mut self, action: GatewayAction) {
        match action {
            GatewayAction::Send {
                req,
                attempt,
                target,
                deadline,
            } => self.start_attempt(req, attempt, target, deadline),
            GatewayAction::CancelAttempt { attempt }
            | GatewayAction::RetireConnection { attempt } => self.attempts.cancel(attempt),
            GatewayAction::Answer { req, outcome } => self.answer_request(req, outcome),
            GatewayAction::ReadShard { call_id, shard } => {
                let (store, user) = (self.store.clone(), self.cfg.user.clone());
                self.pending_calls
                    .push(Box::pin(read_shard(store, user, call_id, shard)));
            }
            GatewayAction::WriteShard {
                call_id,
                shard,
                expected,
                value,
            } => {
                self.counters.store_writes += 1;
                let (store, user) = (self.store.clone(), self.cfg.user.clone());
                let call = write_shard(store, user, call_id, shard, expected, value);
                self.pending_calls.push(Box::pin(call));
            }
            GatewayAction::ForwardClaims {
                to,
                batch,
                shard,
                claims,
            } => {
                self.counters.claims_forwarded += 1;
                let address = self.peers.address_of(to);
                let call = self.claim_client.send_batch(address, batch, shard, claims);
                self.pending_calls.push(Box::pin(call));
            }
            GatewayAction::AnswerClaims {
                to,
                batch,
                verdicts,
            } => {
                if let Some(tx) = self.verdict_senders.remove(&(to, batch)) {
                    // The receiver is dropped if the requesting gateway stopped waiting.
                    let _ = tx.send(verdicts);
                }
            }
            GatewayAction::Timeline(event) => self.record_event(&event),
            GatewayAction::Exit => self.exiting = true,
        }
    }

    fn start_attempt(
        &mut self,
        req: RequestId,
        attempt: AttemptId,
        target: TargetId,
        deadline: MonoTime,
    ) {
        let remaining = deadline.since(self.now());
        let pending = self.requests.get(&req);
        if pending.is_some_and(|p| self.attempts.start(attempt, target, p, remaining)) {
            self.counters.attempts += 1;
            return;
        }
        // Nothing was sent. The result is queued as an event, so that the core is not called while
        // its actions are executed.
        let result = AttemptResult::ConnectFailed;
        let event = GatewayEvent::AttemptFinished { attempt, result };
        self.pending_calls.push(Box::pin(async move { event }));
    }

    fn finish_attempt(&mut self, req: Option<RequestId>, finished: FinishedAttempt) {
        if let Some(pending) = req.and_then(|r| self.requests.get_mut(&r)) {
            pending.response_headers = finished.headers;
        }
        let (attempt, result) = (finished.attempt, finished.result);
        self.counters.count_result(&result);
        self.handle_event(GatewayEvent::AttemptFinished { attempt, result });
    }

    fn answer_request(&mut self, req: RequestId, outcome: Outcome) {
        let Some(pending) = self.requests.remove(&req) else {
            return;
        };
        self.counters.count_outcome(&outcome);
        if let Outcome::Unknown { kind } = &outcome {
            let subject = self.subject_of(&pending);
            let text = format!("outcome unknown: {kind}");
            self.recorder.record_about(subject, "request", text);
        }
        let headers = pending.response_headers;
        // The receiver is dropped if the caller disconnected.
        let _ = pending.result_tx.send(RequestResult { outcome, headers });
    }

    fn report_metrics(&mut self) {
        let in_progress = self.requests.len() as u64;
        self.counters.copy_hedges(self.core.counters());
        report_gateway(&mut self.reporter, &self.counters, in_progress);
        self.reporter
            .send_common(self.peers.counters(), &self.recorder);
    }

    fn subject_of(&self, pending: &PendingRequest) -> Subject {
        let services = &self.catalog.services;
        let service = services.iter().find(|s| s.id == pending.service);
        Subject {
            service: service.map_or_else(Box::default, |s| s.path.clone()),
            request: pending
                .key
                .as_ref()
                .map(|k| k.to_string().into())
                .unwrap_or_default(),
            ..Subject::default()
        }
    }

    fn handle_claims(&mut self, call: ClaimCall) {
        // The core answers every batch; entries whose requesting gateway stopped waiting are
        // removed here.
        self.verdict_senders.retain(|_, tx| !tx.is_closed());
        self.verdict_senders
            .insert((call.from, call.batch), call.verdicts_tx);
        self.handle_event(GatewayEvent::ClaimsForwarded {
            from: call.from,
            batch: call.batch,
            shard: call.shard,
            claims: call.claims,
        });
    }

    fn read_peers(&mut self) {
        self.peers.read_datagrams(self.now());
        self.update_live_peers();
    }

    async fn send_heartbeats(&mut self) {
        let now = self.now();
        self.update_live_peers();
        self.peers
            .send_heartbeats(&self.cfg, now, self.state, &self.catalog)
            .await;
    }

    /// Passes the live gateways to the core and the time line if their set changed.
    fn update_live_peers(&mut self) {
        let Some(peers) = self.peers.update_live(self.now()) else {
            return;
        };
        let live = self.peers.live_addresses();
        let addresses: Vec<String> = live.iter().map(ToString::to_string).collect();
        self.recorder
            .record("peer", format!("live gateways: {}", addresses.join(" ")));
        self.claim_client.retain_connections(&live);
        self.handle_event(GatewayEvent::Peers(peers));
    }

    async fn handle_output(&mut self, output: DistributionOutput) {
        match output {
            DistributionOutput::Install(catalog) => self.apply_settings(catalog),
            DistributionOutput::Notify(version) => {
                let msg = PeerMessage::SettingsNotice { version };
                self.peers.send_all(&msg).await;
            }
        }
    }

    fn apply_settings(&mut self, catalog: Arc<ServiceCatalog>) {
        self.attempts.update_targets(&catalog);
        self.catalog = catalog.clone();
        self.outputs.catalog.send_replace(catalog.clone());
        self.handle_event(GatewayEvent::Settings(catalog));
        if self.state == MemberState::Starting {
            self.set_state(MemberState::Serving);
        } else {
            self.set_state(self.state);
        }
    }

    fn handle_poll_result(&mut self, result: &PollResult) {
        let Some(load) = result.load else {
            return;
        };
        self.handle_event(GatewayEvent::Report(LoadReport {
            target: result.target,
            busy: u16::try_from(load.busy).unwrap_or(u16::MAX),
            age: load.age(),
        }));
    }

    fn record_event(&self, event: &TimelineEvent) {
        let kind = match event {
            TimelineEvent::SettingsInForce(_) => "settings",
            TimelineEvent::TargetEjected(_) | TimelineEvent::TargetRestored(_) => "target",
            TimelineEvent::OverloadStarted(_) | TimelineEvent::OverloadEnded(_) => "overload",
            TimelineEvent::HedgingStopped(..) | TimelineEvent::HedgingResumed(_) => "hedging",
            TimelineEvent::PlatformDown | TimelineEvent::PlatformUp => "platform",
            TimelineEvent::Leaving => "state",
        };
        tracing::info!(kind, "{event}");
        self.recorder.record(kind, event.to_string());
    }

    fn set_state(&mut self, state: MemberState) {
        self.state = state;
        let version = self.catalog.version;
        self.outputs.status.send_if_modified(|status| {
            let state_text: Box<str> = state.to_string().into();
            let changed = status.state != state_text || status.version != version;
            status.state = state_text;
            status.version = version;
            changed
        });
    }
}
