use std::sync::Arc;

use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::cx::{Cx, not_run};
use super::dispatcher::Dispatcher;
use super::request::{Request, RequestClaim, Stage};
use super::{
    Counters, GatewayAction, GatewayEvent, GatewaySettings, IdempotencyKey, Peer, RequestId,
    TimelineEvent,
};
use crate::claim::{
    ClaimAction, ClaimKey, ClaimOp, ClaimRouter, ClaimSettings, ClaimToken, ShardRules,
};
use crate::error::ErrorKind;
use crate::ids::{MemberId, ServiceId};
use crate::settings::ServiceCatalog;
use crate::units::{MonoTime, Version};

/// The state machine of a gateway, which dispatches the requests that the gateway receives.
#[derive(Debug)]
pub struct Gateway {
    cfg: GatewaySettings,
    catalog: Arc<ServiceCatalog>,
    gateways: Vec<Peer>,
    dispatcher: Dispatcher,
    claim_router: ClaimRouter,
    rng: Xoshiro256PlusPlus,
    counters: Counters,
    last_claim_number: u64,
    /// The time at which the gateway exits at the latest; set once the gateway is leaving.
    exit_deadline: Option<MonoTime>,
    exited: bool,
}

impl Gateway {
    /// Returns a gateway that has no settings yet.
    pub fn new(cfg: GatewaySettings) -> Self {
        let claim_router = ClaimRouter::new(claim_settings(&cfg));
        let rng = Xoshiro256PlusPlus::seed_from_u64(cfg.seed);
        let mut gateway = Self {
            dispatcher: Dispatcher::new(run_hash(&cfg)),
            cfg,
            catalog: Arc::default(),
            gateways: Vec::new(),
            claim_router,
            rng,
            counters: Counters::default(),
            last_claim_number: 0,
            exit_deadline: None,
            exited: false,
        };
        gateway.set_peers(Vec::new());
        gateway
    }

    /// Returns this gateway's configuration.
    pub fn settings(&self) -> &GatewaySettings {
        &self.cfg
    }

    /// Returns the version of the settings in force.
    pub fn version(&self) -> Version {
        self.catalog.version
    }

    /// Returns the event counts since the gateway's start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, event: GatewayEvent, out: &mut Vec<GatewayAction>) {
        let mut claim_actions = Vec::new();
        match event {
            GatewayEvent::RequestArrived {
                req,
                service,
                idempotent,
                key,
                deadline,
            } => self.on_arrived(now, req, service, idempotent, key, deadline, out),
            GatewayEvent::AttemptFinished { attempt, result } => {
                self.dispatch(now, out, |d, cx| d.on_finished(cx, attempt, result));
            }
            GatewayEvent::RequestCancelled { req } => {
                self.dispatch(now, out, |d, cx| d.on_cancelled(cx, req));
            }
            GatewayEvent::ShardRead {
                call_id,
                shard,
                result,
            } => {
                self.claim_router
                    .on_read(now, call_id, shard, result, &mut claim_actions);
            }
            GatewayEvent::ShardWritten {
                call_id,
                shard,
                result,
            } => {
                self.claim_router
                    .on_written(now, call_id, shard, result, &mut claim_actions);
            }
            GatewayEvent::ClaimsForwarded {
                from,
                batch,
                shard,
                claims: ops,
            } => self
                .claim_router
                .on_forwarded(now, from, batch, shard, ops, &mut claim_actions),
            GatewayEvent::ClaimsAnswered { batch, verdicts } => {
                self.claim_router
                    .on_answered(now, batch, verdicts, &mut claim_actions);
            }
            GatewayEvent::Report(report) => self.dispatcher.pools_mut().record_report(now, &report),
            GatewayEvent::Settings(catalog) => self.apply_settings(now, catalog, out),
            GatewayEvent::Peers(peers) => self.set_peers(peers),
            GatewayEvent::Tick => {}
            GatewayEvent::Leave => self.leave(now, out),
        }
        self.handle_claim_actions(now, claim_actions, out);
        self.tick(now, out);
    }

    /// Returns the next time at which a `Tick` is needed.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        if self.exited {
            return None;
        }
        [
            self.dispatcher.next_deadline(),
            self.claim_router.next_deadline(),
            self.exit_deadline,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    #[allow(clippy::too_many_arguments)] // One per field of the event.
    fn on_arrived(
        &mut self,
        now: MonoTime,
        id: RequestId,
        service: ServiceId,
        idempotent: bool,
        key: Option<IdempotencyKey>,
        deadline: MonoTime,
        out: &mut Vec<GatewayAction>,
    ) {
        self.counters.received += 1;
        if self.exit_deadline.is_some() {
            return self.dispatch(now, out, |_, cx| {
                cx.answer(id, not_run(ErrorKind::ShuttingDown));
            });
        }
        // Without an idempotency key duplicates cannot be recognised, so the request is not
        // claimed. It still gets at most one attempt that may have run.
        let claimed = key.filter(|_| !idempotent && self.cfg.mechanisms.claims);
        let claim = claimed.map(|key| RequestClaim {
            key: ClaimKey::new(service, &key),
            token: self.next_token(),
        });
        let stage = if claim.is_some() {
            Stage::Claiming
        } else {
            Stage::Waiting
        };
        let req = Request {
            service,
            idempotent,
            claim,
            arrived: now,
            deadline,
            stage,
            may_have_run: false,
            candidate: None,
            hedge: None,
            failed: Vec::new(),
        };
        self.dispatch(now, out, |d, cx| d.on_arrived(cx, id, req));
    }

    /// Runs `f` on the dispatcher and submits the changes of claims that result.
    fn dispatch(
        &mut self,
        now: MonoTime,
        out: &mut Vec<GatewayAction>,
        f: impl FnOnce(&mut Dispatcher, &mut Cx<'_>),
    ) {
        let mut claim_ops: Vec<ClaimOp> = Vec::new();
        let mut cx = Cx {
            now,
            member: self.cfg.member,
            mechanisms: self.cfg.mechanisms,
            rng: &mut self.rng,
            counters: &mut self.counters,
            out,
            claim_ops: &mut claim_ops,
        };
        f(&mut self.dispatcher, &mut cx);
        let mut actions = Vec::new();
        for op in claim_ops {
            self.claim_router.submit(now, op, &mut actions);
        }
        self.handle_claim_actions(now, actions, out);
    }

    /// Converts actions of the claim router to actions of the gateway.
    fn handle_claim_actions(
        &mut self,
        now: MonoTime,
        actions: Vec<ClaimAction>,
        out: &mut Vec<GatewayAction>,
    ) {
        for action in actions {
            out.push(match action {
                ClaimAction::Decided {
                    token,
                    is_start,
                    verdict,
                } => {
                    self.dispatch(now, out, |d, cx| d.on_claim(cx, token, is_start, verdict));
                    continue;
                }
                ClaimAction::Read { call_id, shard } => GatewayAction::ReadShard { call_id, shard },
                ClaimAction::Write {
                    call_id,
                    shard,
                    expected,
                    value,
                } => GatewayAction::WriteShard {
                    call_id,
                    shard,
                    expected,
                    value,
                },
                ClaimAction::Forward {
                    to,
                    batch,
                    shard,
                    claims,
                } => GatewayAction::ForwardClaims {
                    to,
                    batch,
                    shard,
                    claims,
                },
                ClaimAction::Reply {
                    to,
                    batch,
                    verdicts,
                } => GatewayAction::AnswerClaims {
                    to,
                    batch,
                    verdicts,
                },
                ClaimAction::PlatformAvailable(true) => {
                    GatewayAction::Timeline(TimelineEvent::PlatformUp)
                }
                ClaimAction::PlatformAvailable(false) => {
                    GatewayAction::Timeline(TimelineEvent::PlatformDown)
                }
            });
        }
    }

    fn tick(&mut self, now: MonoTime, out: &mut Vec<GatewayAction>) {
        self.dispatch(now, out, |d, cx| d.on_tick(cx));
        let mut actions = Vec::new();
        self.claim_router.on_tick(now, &mut actions);
        self.handle_claim_actions(now, actions, out);
        let Some(deadline) = self.exit_deadline else {
            return;
        };
        let idle = self.dispatcher.is_idle() && self.claim_router.is_idle();
        if !self.exited && (idle || now >= deadline) {
            self.exited = true;
            out.push(GatewayAction::Exit);
        }
    }

    fn apply_settings(
        &mut self,
        now: MonoTime,
        catalog: Arc<ServiceCatalog>,
        out: &mut Vec<GatewayAction>,
    ) {
        if catalog.version <= self.version() {
            return;
        }
        // All services of a user share the claim shards, so the policies of the first service apply
        // to all.
        if let Some(service) = catalog.services.first() {
            let first = self.version() == Version::default();
            let policies = &service.policies.claims;
            self.claim_router.settings_mut().configure(policies, first);
        }
        self.dispatcher
            .pools_mut()
            .configure(now, &catalog, &self.cfg, &self.gateways);
        out.push(GatewayAction::Timeline(TimelineEvent::SettingsInForce(
            catalog.version,
        )));
        self.catalog = catalog;
    }

    fn set_peers(&mut self, mut peers: Vec<Peer>) {
        if !peers.iter().any(|p| p.member == self.cfg.member) {
            peers.push(Peer {
                member: self.cfg.member,
                zone: self.cfg.zone.clone(),
            });
        }
        self.claim_router
            .set_peers(peers.iter().map(|p| p.member).collect::<Vec<MemberId>>());
        self.dispatcher
            .pools_mut()
            .set_gateways(&self.cfg.zone, &peers);
        self.gateways = peers;
    }

    fn leave(&mut self, now: MonoTime, out: &mut Vec<GatewayAction>) {
        if self.exit_deadline.is_some() {
            return;
        }
        self.exit_deadline = Some(now + self.cfg.leave_deadline);
        self.claim_router.flush();
        out.push(GatewayAction::Timeline(TimelineEvent::Leaving));
    }

    /// Returns a token that differs from the token of every other claim of the same key.
    fn next_token(&mut self) -> ClaimToken {
        self.last_claim_number += 1;
        let run = run_hash(&self.cfg);
        xxh3_64_with_seed(&self.last_claim_number.to_le_bytes(), run).into()
    }
}

/// Returns a number that differs between all runs of all gateways.
///
/// Attempt ids start after it, so that they are unique across gateways: a target that swaps
/// responses may swap those of different gateways.
fn run_hash(cfg: &GatewaySettings) -> u64 {
    let incarnation = u64::from(cfg.incarnation);
    xxh3_64_with_seed(&incarnation.to_le_bytes(), cfg.member.get().into())
}

fn claim_settings(cfg: &GatewaySettings) -> ClaimSettings {
    let mechanisms = cfg.mechanisms;
    ClaimSettings {
        member: cfg.member,
        id_base: run_hash(cfg),
        unix_origin_s: cfg.unix_origin_s,
        store_timeout: cfg.store_timeout,
        token_read_back: mechanisms.token_read_back,
        fail_fast: mechanisms.fail_fast,
        rules: ShardRules {
            lease_s: (!mechanisms.permanent_claims).then_some(cfg.lease.as_secs()),
            start_write: mechanisms.start_write,
            ..ShardRules::default()
        },
        ..ClaimSettings::default()
    }
}
