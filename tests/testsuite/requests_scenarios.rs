//! Runs the scenarios in `testsuite/requests/`; the head of each file states the failure that it
//! guards against.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use datadriven::TestCase;
use zinniadrift_core::claim::{ReadResult, ShardId, StoreCallId, WriteResult};
use zinniadrift_core::gateway::{
    AttemptId, AttemptResult, Gateway, GatewayAction, GatewayEvent, GatewaySettings,
    IdempotencyKey, Mechanisms, RequestId,
};
use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::settings::ServiceCatalog;
use zinniadrift_core::units::MonoTime;

const SETTINGS: &[u8] = br#"{"version":1,"edit_id":"e","tree":{"nodes":{"svc":{
    "service":{"address":"127.0.0.1:80"},
    "targets":{"a":{"address":"127.0.0.1:1","zone":"bern","slots":1},
               "b":{"address":"127.0.0.1:2","zone":"bern","slots":1}}}}}}"#;

/// Declares one test per scenario file.
macro_rules! scenarios {
    ($($name:ident;)*) => {
        $(
            #[test]
            fn $name() {
                datadriven::walk(concat!("testsuite/requests/", stringify!($name)), |file| {
                    let mut scenario = Scenario::new(Mechanisms::default());
                    file.run(|case| scenario.execute(case));
                });
            }
        )*
    };
}

scenarios! {
    deadline_in_the_past;
    late_and_swapped;
    lost_store_answer;
    paused_holder;
    platform_down;
    silent_connection;
    truncated;
}

/// A gateway with a virtual clock, driven by the steps of a scenario file.
struct Scenario {
    core: Gateway,
    now: MonoTime,
    /// The attempts sent so far; steps refer to them by number, starting at 1.
    attempts: Vec<AttemptId>,
    /// The store call in progress.
    store_call: Option<(StoreCallId, ShardId)>,
}

impl Scenario {
    fn new(mechanisms: Mechanisms) -> Self {
        let mut core = Gateway::new(GatewaySettings {
            zone: "bern".into(),
            mechanisms,
            ..GatewaySettings::default()
        });
        let catalog = Arc::new(ServiceCatalog::parse(SETTINGS).expect("valid settings"));
        let now = MonoTime::from_millis(1_000);
        core.handle(now, GatewayEvent::Settings(catalog), &mut Vec::new());
        Self {
            core,
            now,
            attempts: Vec::new(),
            store_call: None,
        }
    }

    fn execute(&mut self, case: &mut TestCase) -> String {
        let mut text = String::new();
        for line in case.input.clone().lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            self.execute_step(&words, &mut text);
        }
        text
    }

    fn execute_step(&mut self, words: &[&str], text: &mut String) {
        match words {
            ["without", name] => *self = Self::new(mechanisms_without(name)),
            ["get", req, ms] => self.send_request(req, None, ms, text),
            ["post", req, key, ms] => self.send_request(req, Some((*key).into()), ms, text),
            ["finish", attempt, result @ ..] => {
                let attempt = self.attempt(attempt);
                let result = self.parse_result(result);
                self.handle(GatewayEvent::AttemptFinished { attempt, result }, text);
            }
            ["read", result] => {
                let (call_id, shard) = self.store_call.take().expect("a call in progress");
                let result = match *result {
                    "absent" => ReadResult::Absent,
                    _ => ReadResult::Unavailable,
                };
                self.handle(
                    GatewayEvent::ShardRead {
                        call_id,
                        shard,
                        result,
                    },
                    text,
                );
            }
            ["written", result] => {
                let (call_id, shard) = self.store_call.take().expect("a call in progress");
                let result = match *result {
                    "lost" => WriteResult::Unavailable,
                    "conflict" => WriteResult::Conflict,
                    revision => WriteResult::Written {
                        revision: revision.parse().expect("a well-formed step"),
                    },
                };
                self.handle(
                    GatewayEvent::ShardWritten {
                        call_id,
                        shard,
                        result,
                    },
                    text,
                );
            }
            ["advance", ms] => self.advance(ms.parse().expect("a well-formed step"), text),
            // Unlike `advance`, no timer fires; the gateway handles its next event late.
            ["pause", ms] => {
                let pause = ms.parse().expect("a well-formed step");
                self.now = self.now + Duration::from_millis(pause);
            }
            other => panic!("unknown step {other:?}"),
        }
    }

    /// Sends a request to the gateway; `ms` is the time to its deadline.
    fn send_request(
        &mut self,
        req: &str,
        key: Option<IdempotencyKey>,
        ms: &str,
        text: &mut String,
    ) {
        let event = GatewayEvent::RequestArrived {
            req: RequestId::from(req.parse::<u64>().expect("a well-formed step")),
            service: ServiceId::from_name("svc"),
            idempotent: key.is_none(),
            key,
            deadline: self.now + Duration::from_millis(ms.parse().expect("a well-formed step")),
        };
        self.handle(event, text);
    }

    /// Advances the clock by `ms` and fires the timers that are due.
    fn advance(&mut self, ms: u64, text: &mut String) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(at) = self.core.next_deadline().filter(|t| *t <= end) {
            self.now = at.max(self.now + Duration::from_micros(1));
            self.handle(GatewayEvent::Tick, text);
        }
        self.now = end;
    }

    fn handle(&mut self, event: GatewayEvent, text: &mut String) {
        let mut out = Vec::new();
        self.core.handle(self.now, event, &mut out);
        for action in out {
            self.write_action(action, text);
        }
    }

    fn write_action(&mut self, action: GatewayAction, text: &mut String) {
        let line = match action {
            GatewayAction::Send { req, attempt, .. } => {
                self.attempts.push(attempt);
                format!("send {req} as attempt {}", self.attempts.len())
            }
            GatewayAction::CancelAttempt { .. } => "cancel".into(),
            GatewayAction::RetireConnection { .. } => "retire connection".into(),
            GatewayAction::Answer { req, outcome } => format!("answer {req}: {outcome:?}"),
            GatewayAction::ReadShard { call_id, shard } => {
                self.store_call = Some((call_id, shard));
                "read shard".into()
            }
            GatewayAction::WriteShard {
                call_id,
                shard,
                value,
                ..
            } => {
                self.store_call = Some((call_id, shard));
                format!("write shard with {} claims", value.claims.len())
            }
            GatewayAction::Timeline(notice) => format!("notice: {notice}"),
            other => format!("{other:?}"),
        };
        writeln!(text, "{line}").expect("writing to a string cannot fail");
    }

    fn attempt(&self, number: &str) -> AttemptId {
        self.attempts[number.parse::<usize>().expect("a well-formed step") - 1]
    }

    fn parse_result(&self, words: &[&str]) -> AttemptResult {
        match words {
            ["whole", body, echo] => AttemptResult::Complete {
                status: 200,
                body: body.as_bytes().to_vec().into(),
                echo: Some(self.attempt(echo)),
            },
            ["shed"] => AttemptResult::Shed { retry_after: None },
            ["truncated"] => AttemptResult::Truncated,
            ["lost"] => AttemptResult::ConnectionLost,
            ["no-progress"] => AttemptResult::NoProgress,
            other => panic!("unknown result {other:?}"),
        }
    }
}

/// Returns the default mechanisms with one turned off.
fn mechanisms_without(name: &str) -> Mechanisms {
    let mut mechanisms = Mechanisms::default();
    match name {
        "attempt-matching" => mechanisms.attempt_matching = false,
        "framing-check" => mechanisms.framing_check = false,
        "proof" => mechanisms.proof_of_not_run = false,
        "read-back" => mechanisms.token_read_back = false,
        "deadline-check" => mechanisms.deadline_check = false,
        "retirement" => mechanisms.connection_retirement = false,
        "fail-fast" => mechanisms.fail_fast = false,
        other => panic!("unknown mechanism {other}"),
    }
    mechanisms
}
