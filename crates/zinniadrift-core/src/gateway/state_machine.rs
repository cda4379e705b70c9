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

/// Dispatches the requests that one gateway receives.
#[derive(Debug)]
pub struct Gateway {
    cfg: GatewaySettings,
    catalog: Arc<ServiceCatalog>,
    gateways: Vec<Peer>,
    dispatcher: Dispatcher,
    claims: ClaimRouter,
    rng: Xoshiro256PlusPlus,
    counters: Counters,
    last_claim: u64,
    leaving: Option<MonoTime>,
    exited: bool,
}

impl Gateway {
    /// Returns a gateway that has no settings yet.
    pub fn new(cfg: GatewaySettings) -> Self {
        let claims = ClaimRouter::new(claims_settings(&cfg));
        let rng = Xoshiro256PlusPlus::seed_from_u64(cfg.seed);
        let mut gateway = Self {
            dispatcher: Dispatcher::new(run_hash(&cfg)),
            cfg,
            catalog: Arc::default(),
            gateways: Vec::new(),
            claims,
            rng,
            counters: Counters::default(),
            last_claim: 0,
            leaving: None,
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

    /// Returns what the gateway has counted since its start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: MonoTime, event: GatewayEvent, out: &mut Vec<GatewayAction>) {
        let mut claims = Vec::new();
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
                self.claims
                    .on_read(now, call_id, shard, result, &mut claims);
            }
            GatewayEvent::ShardWritten {
                call_id,
                shard,
                result,
            } => {
                self.claims
                    .on_written(now, call_id, shard, result, &mut claims);
            }
            GatewayEvent::ClaimsForwarded {
                from,
                batch,
                shard,
                claims: ops,
            } => self
                .claims
                .on_forwarded(now, from, batch, shard, ops, &mut claims),
            GatewayEvent::ClaimsAnswered { batch, verdicts } => {
                self.claims.on_answered(now, batch, verdicts, &mut claims);
            }
            GatewayEvent::Report(report) => self.dispatcher.pools_mut().record_report(now, &report),
            GatewayEvent::Settings(catalog) => self.install(now, catalog, out),
            GatewayEvent::Peers(peers) => self.set_peers(peers),
            GatewayEvent::Tick => {}
            GatewayEvent::Leave => self.leave(now, out),
        }
        self.apply(now, claims, out);
        self.tick(now, out);
    }

    /// Returns the next time at which a `Tick` is needed.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        if self.exited {
            return None;
        }
        [
            self.dispatcher.next_deadline(),
            self.claims.next_deadline(),
            self.leaving,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    #[allow(clippy::too_many_arguments)] // The fields of the event.
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
        self.counters.arrived += 1;
        if self.leaving.is_some() {
            return self.dispatch(now, out, |_, cx| {
                cx.answer(id, not_run(ErrorKind::ShuttingDown));
            });
        }
        // Without a key no duplicate can be recognised, so there is nothing to claim; the request
        // still gets at most one attempt that may have run.
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
            failed: Vec::new(),
        };
        self.dispatch(now, out, |d, cx| d.on_arrived(cx, id, req));
    }

    /// Lets the dispatcher handle an event, and gets the changes of claims that follow written.
    fn dispatch(
        &mut self,
        now: MonoTime,
        out: &mut Vec<GatewayAction>,
        f: impl FnOnce(&mut Dispatcher, &mut Cx<'_>),
    ) {
        let mut ops: Vec<ClaimOp> = Vec::new();
        let mut cx = Cx {
            now,
            member: self.cfg.member,
            on: self.cfg.mechanisms,
            rng: &mut self.rng,
            counters: &mut self.counters,
            out,
            ops: &mut ops,
        };
        f(&mut self.dispatcher, &mut cx);
        let mut actions = Vec::new();
        for op in ops {
            self.claims.submit(now, op, &mut actions);
        }
        self.apply(now, actions, out);
    }

    /// Turns the actions of the claims into those of the gateway.
    fn apply(&mut self, now: MonoTime, actions: Vec<ClaimAction>, out: &mut Vec<GatewayAction>) {
        for action in actions {
            out.push(match action {
                ClaimAction::Decided {
                    token,
                    start,
                    verdict,
                } => {
                    self.dispatch(now, out, |d, cx| d.on_claim(cx, token, start, verdict));
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
        self.claims.on_tick(now, &mut actions);
        self.apply(now, actions, out);
        let Some(deadline) = self.leaving else {
            return;
        };
        let idle = self.dispatcher.is_idle() && self.claims.is_idle();
        if !self.exited && (idle || now >= deadline) {
            self.exited = true;
            out.push(GatewayAction::Exit);
        }
    }

    fn install(
        &mut self,
        now: MonoTime,
        catalog: Arc<ServiceCatalog>,
        out: &mut Vec<GatewayAction>,
    ) {
        if catalog.version <= self.version() {
            return;
        }
        // All services of a user share its claim shards; the first service's policies govern them.
        if let Some(service) = catalog.services.first() {
            let first = self.version() == Version::default();
            let policies = &service.policies.claims;
            self.claims.settings_mut().configure(policies, first);
        }
        self.dispatcher
            .pools_mut()
            .configure(now, &catalog, &self.cfg.zone, &self.gateways);
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
        self.claims
            .set_peers(peers.iter().map(|p| p.member).collect::<Vec<MemberId>>());
        self.dispatcher
            .pools_mut()
            .set_gateways(&self.cfg.zone, &peers);
        self.gateways = peers;
    }

    fn leave(&mut self, now: MonoTime, out: &mut Vec<GatewayAction>) {
        if self.leaving.is_some() {
            return;
        }
        self.leaving = Some(now + self.cfg.leave_deadline);
        self.claims.flush();
        out.push(GatewayAction::Timeline(TimelineEvent::Leaving));
    }

    /// Returns a token that no other claim of the same key has.
    fn next_token(&mut self) -> ClaimToken {
        self.last_claim += 1;
        let run = run_hash(&self.cfg);
        xxh3_64_with_seed(&self.last_claim.to_le_bytes(), run).into()
    }
}

/// Returns a number that differs between all runs of all gateways.
///
/// Attempt ids follow it, because a target that swaps responses may do so between gateways.
fn run_hash(cfg: &GatewaySettings) -> u64 {
    let incarnation = u64::from(cfg.incarnation);
    xxh3_64_with_seed(&incarnation.to_le_bytes(), cfg.member.get().into())
}

fn claims_settings(cfg: &GatewaySettings) -> ClaimSettings {
    let on = cfg.mechanisms;
    ClaimSettings {
        member: cfg.member,
        id_base: run_hash(cfg),
        unix_origin_s: cfg.unix_origin_s,
        store_timeout: cfg.store_timeout,
        token_read_back: on.token_read_back,
        fail_fast: on.fail_fast,
        rules: ShardRules {
            lease_s: (!on.permanent_claims).then_some(cfg.lease.as_secs()),
            start_write: on.start_write,
            ..ShardRules::default()
        },
        ..ClaimSettings::default()
    }
}
