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

use super::attempt::Finished;
use super::attempts::Attempts;
use super::claim_calls::ClaimCalls;
use super::peers::Peers;
use super::pending::{Answered, Pending, is_idempotent};
use super::store_calls::{read_shard, write_shard};
use crate::daemon::{DaemonSettings, Role, RunClock, SharedInputs, SharedOutputs, shutdown_signal};
use crate::distribution::DistributionOutput;
use crate::metrics::{GatewayCounters, REPORT_INTERVAL, Reporter, report_gateway};
use crate::peer::{ClaimCall, PeerLink};
use crate::targets::PollResult;
use crate::timeline::{Recorder, Subject};

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Holds the channels from the daemon's other tasks.
pub(super) struct Inputs {
    pub(super) calls: mpsc::Receiver<Pending>,
    pub(super) cancels: mpsc::UnboundedReceiver<RequestId>,
    pub(super) claims: mpsc::Receiver<ClaimCall>,
    pub(super) shared: SharedInputs,
}

/// Runs one gateway's state machine.
pub(super) struct Driver {
    core: Gateway,
    cfg: DaemonSettings,
    clock: RunClock,
    store: HttpStore,
    peers: Peers,
    recorder: Recorder,
    reporter: Reporter,
    counters: GatewayCounters,
    outlets: SharedOutputs,
    catalog: Arc<ServiceCatalog>,
    requests: HashMap<RequestId, Pending>,
    attempts: Attempts,
    calls: FuturesUnordered<BoxFuture<'static, GatewayEvent>>,
    claim_calls: ClaimCalls,
    claim_answers: HashMap<(MemberId, BatchId), oneshot::Sender<Vec<ClaimVerdict>>>,
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
        outlets: SharedOutputs,
    ) -> Self {
        let member = MemberId::from_name(&cfg.name);
        let defaults = GatewaySettings::default();
        let leave_deadline = cfg.drain_deadline_ms.map(Duration::from_millis);
        let core = Gateway::new(GatewaySettings {
            member,
            incarnation: clock.incarnation(),
            zone: cfg.zone.clone(),
            seed: clock.incarnation().into(),
            // The clock counts from the Unix epoch.
            unix_origin_s: 0,
            leave_deadline: leave_deadline.unwrap_or(defaults.leave_deadline),
            ..defaults
        });
        let peers = Peers::new(&cfg, clock.now(), link, outlets.distribution.clone());
        Self {
            core,
            clock,
            store,
            peers,
            recorder,
            reporter: Reporter::new(cfg.statsd, Role::Gateway, &cfg.name),
            counters: GatewayCounters::default(),
            outlets,
            catalog: Arc::default(),
            requests: HashMap::new(),
            attempts: Attempts::new(),
            calls: FuturesUnordered::new(),
            claim_calls: ClaimCalls::new(&cfg.user, member),
            claim_answers: HashMap::new(),
            state: MemberState::Starting,
            exiting: false,
            cfg,
        }
    }

    /// Runs until the core says that the process may stop.
    pub(super) async fn run(&mut self, mut inputs: Inputs) {
        let mut heartbeats = interval(HEARTBEAT_INTERVAL);
        heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut reports = interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
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
                    self.event(GatewayEvent::Leave);
                }
                Some(pending) = inputs.calls.recv() => self.take_request(pending),
                Some(req) = inputs.cancels.recv() => self.cancel(req),
                (req, finished) = self.attempts.next() => self.finish_attempt(req, finished),
                Some(event) = self.calls.next() => self.event(event),
                Some(call) = inputs.claims.recv() => self.take_claims(call),
                () = timer => self.event(GatewayEvent::Tick),
                () = self.peers.readable() => self.read_peers(),
                Some(output) = inputs.shared.distribution.recv() => self.take_output(output).await,
                Some(statuses) = inputs.shared.statuses.recv() => self.peers.learn(self.clock.now(), &statuses),
                Some(state) = inputs.shared.reports.recv() => self.take_report(&state),
                _ = reports.tick() => self.report_metrics(),
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

    fn event(&mut self, event: GatewayEvent) {
        let mut out = Vec::new();
        self.core.handle(self.now(), event, &mut out);
        for action in out {
            self.execute(action);
        }
    }

    fn take_request(&mut self, pending: Pending) {
        let event = GatewayEvent::RequestArrived {
            req: pending.id,
            service: pending.service,
            idempotent: is_idempotent(&pending.method).unwrap_or(false),
            key: pending.key.clone(),
            deadline: pending.deadline,
        };
        self.counters.received += 1;
        self.requests.insert(pending.id, pending);
        self.event(event);
    }

    fn cancel(&mut self, req: RequestId) {
        if self.requests.remove(&req).is_some() {
            self.counters.cancelled += 1;
            self.event(GatewayEvent::RequestCancelled { req });
        }
    }

    fn execute(&mut self, action: GatewayAction) {
        match action {
            GatewayAction::Send {
                req,
                attempt,
                target,
                deadline,
            } => self.send(req, attempt, target, deadline),
            GatewayAction::CancelAttempt { attempt }
            | GatewayAction::RetireConnection { attempt } => self.attempts.stop(attempt),
            GatewayAction::Answer { req, outcome } => self.answer(req, outcome),
            GatewayAction::ReadShard { call_id, shard } => {
                let (store, user) = (self.store.clone(), self.cfg.user.clone());
                self.calls
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
                self.calls.push(Box::pin(call));
            }
            GatewayAction::ForwardClaims {
                to,
                batch,
                shard,
                claims,
            } => {
                self.counters.claims_forwarded += 1;
                let address = self.peers.address_of(to);
                let call = self.claim_calls.call(address, batch, shard, claims);
                self.calls.push(Box::pin(call));
            }
            GatewayAction::AnswerClaims {
                to,
                batch,
                verdicts,
            } => {
                if let Some(answer) = self.claim_answers.remove(&(to, batch)) {
                    // The asking gateway may have given up.
                    let _ = answer.send(verdicts);
                }
            }
            GatewayAction::Timeline(notice) => self.record(&notice),
            GatewayAction::Exit => self.exiting = true,
        }
    }

    fn send(&mut self, req: RequestId, attempt: AttemptId, target: TargetId, deadline: MonoTime) {
        let remaining = deadline.since(self.now());
        let pending = self.requests.get(&req);
        if pending.is_some_and(|p| self.attempts.start(attempt, target, p, remaining)) {
            self.counters.attempts += 1;
            return;
        }
        // Nothing was sent, and the core learns it in a turn of its own.
        let result = AttemptResult::ConnectFailed;
        let event = GatewayEvent::AttemptFinished { attempt, result };
        self.calls.push(Box::pin(async move { event }));
    }

    fn finish_attempt(&mut self, req: Option<RequestId>, finished: Finished) {
        if let Some(pending) = req.and_then(|r| self.requests.get_mut(&r)) {
            pending.response_headers = finished.headers;
        }
        let (attempt, result) = (finished.attempt, finished.result);
        self.counters.count_result(&result);
        self.event(GatewayEvent::AttemptFinished { attempt, result });
    }

    fn answer(&mut self, req: RequestId, outcome: Outcome) {
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
        // The caller may have gone away.
        let _ = pending.answer.send(Answered { outcome, headers });
    }

    fn report_metrics(&mut self) {
        let in_progress = self.requests.len() as u64;
        report_gateway(&mut self.reporter, &self.counters, in_progress);
        self.reporter
            .send_common(self.peers.counters(), &self.recorder);
    }

    fn subject_of(&self, pending: &Pending) -> Subject {
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

    fn take_claims(&mut self, call: ClaimCall) {
        // The core answers every batch; entries of callers that gave up are dropped here.
        self.claim_answers.retain(|_, answer| !answer.is_closed());
        self.claim_answers
            .insert((call.from, call.batch), call.answer);
        self.event(GatewayEvent::ClaimsForwarded {
            from: call.from,
            batch: call.batch,
            shard: call.shard,
            claims: call.claims,
        });
    }

    fn read_peers(&mut self) {
        self.peers.read(self.now());
        self.refresh_peers();
    }

    async fn send_heartbeats(&mut self) {
        let now = self.now();
        self.refresh_peers();
        self.peers
            .send_heartbeats(&self.cfg, now, self.state, &self.catalog)
            .await;
    }

    /// Tells the core when the set of live gateways changed.
    fn refresh_peers(&mut self) {
        let Some(peers) = self.peers.refresh(self.now()) else {
            return;
        };
        let live = self.peers.live_addresses();
        let shown: Vec<String> = live.iter().map(ToString::to_string).collect();
        self.recorder
            .record("peer", format!("live gateways: {}", shown.join(" ")));
        self.claim_calls.retain(&live);
        self.event(GatewayEvent::Peers(peers));
    }

    async fn take_output(&mut self, output: DistributionOutput) {
        match output {
            DistributionOutput::Install(catalog) => self.install(catalog),
            DistributionOutput::Notify(version) => {
                let msg = PeerMessage::SettingsNotice { version };
                self.peers.send_all(&msg).await;
            }
        }
    }

    fn install(&mut self, catalog: Arc<ServiceCatalog>) {
        self.attempts.install(&catalog);
        self.catalog = catalog.clone();
        self.outlets.catalog.send_replace(catalog.clone());
        self.event(GatewayEvent::Settings(catalog));
        if self.state == MemberState::Starting {
            self.set_state(MemberState::Serving);
        } else {
            self.set_state(self.state);
        }
    }

    fn take_report(&mut self, state: &PollResult) {
        let Some(load) = state.load else {
            return;
        };
        self.event(GatewayEvent::Report(LoadReport {
            target: state.target,
            busy: u16::try_from(load.busy).unwrap_or(u16::MAX),
            age: load.age(),
        }));
    }

    fn record(&self, notice: &TimelineEvent) {
        let kind = match notice {
            TimelineEvent::SettingsInForce(_) => "settings",
            TimelineEvent::TargetEjected(_) | TimelineEvent::TargetRestored(_) => "target",
            TimelineEvent::OverloadStarted(_) | TimelineEvent::OverloadEnded(_) => "overload",
            TimelineEvent::PlatformDown | TimelineEvent::PlatformUp => "platform",
            TimelineEvent::Leaving => "state",
        };
        tracing::info!(kind, "{notice}");
        self.recorder.record(kind, notice.to_string());
    }

    fn set_state(&mut self, state: MemberState) {
        self.state = state;
        let version = self.catalog.version;
        self.outlets.status.send_if_modified(|status| {
            let shown: Box<str> = state.to_string().into();
            let changed = status.state != shown || status.version != version;
            status.state = shown;
            status.version = version;
            changed
        });
    }
}
