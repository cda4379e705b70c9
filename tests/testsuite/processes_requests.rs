//! Checks the outcomes that a gateway process answers for malformed, truncated, refused and
//! cancelled requests.

#![allow(clippy::unwrap_used)]

use http::Method;

use zinniadrift_lab::doubles::TargetBehavior;
use zinniadrift_runtime::daemon::Role::Gateway;

use super::processes_world::{Daemon, World};

/// The fault of a request, its method, headers and body, and the status of the refusal.
type Case<'a> = (&'a str, Method, &'a [(&'a str, &'a str)], &'a str, u16);

/// Starts a target and a gateway, and waits until the gateway serves.
async fn one_gateway(number: u8) -> (World, Daemon) {
    let mut world = World::start(number, 1).await;
    world.plan(Gateway, 1);
    let gateway = world.run(Gateway, 0);
    world.apply(1, &[]).await;
    world.serving(1, &[&gateway]).await;
    (world, gateway)
}

/// Guards against malformed requests that reach a target, and against refusals without the outcome
/// "not run".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn malformed_requests_are_refused() {
    let (world, gateway) = one_gateway(8).await;
    let long = "x".repeat(1_001);
    let cases: [Case<'_>; 7] = [
        ("no key", Method::POST, &[], "", 400),
        (
            "empty key",
            Method::POST,
            &[("idempotency-key", "")],
            "",
            400,
        ),
        ("method", Method::TRACE, &[], "", 400),
        (
            "deadline now",
            Method::GET,
            &[("x-deadline-ms", "0")],
            "",
            503,
        ),
        (
            "deadline passed",
            Method::GET,
            &[("x-deadline-ms", "-5")],
            "",
            503,
        ),
        (
            "no number",
            Method::GET,
            &[("x-deadline-ms", "soon")],
            "",
            400,
        ),
        ("oversize", Method::PUT, &[], &long, 400),
    ];
    for (what, method, headers, body, status) in cases {
        let answer = world.send(gateway.cfg.listen, method, headers, body).await;
        let answer = answer.unwrap();
        assert_eq!(
            (&*answer.outcome, answer.status),
            ("not run", status),
            "{what}"
        );
    }
    assert_eq!(world.runs(1, "none").await, 0);
}

/// Guards against delivering a truncated response, and against the outcome "not run" for work that
/// ran although the response was truncated or missing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn incomplete_responses_are_unknown() {
    let (world, gateway) = one_gateway(9).await;
    for (key, fault) in [("k1", "truncate"), ("k2", "silent")] {
        let headers = [("idempotency-key", key), ("x-target-fault", fault)];
        let answer = world
            .send(gateway.cfg.listen, Method::POST, &headers, "")
            .await;
        assert_eq!(answer.unwrap().outcome, "unknown", "{fault}");
        assert_eq!(world.runs(1, key).await, 1, "{fault}");
    }
}

/// Guards against a request that stays claimed after a draining target declined it: the outcome is
/// "not run", so the caller may send the same key again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn declined_requests_are_not_run() {
    let (world, gateway) = one_gateway(10).await;
    let draining = TargetBehavior {
        draining: true,
        ..TargetBehavior::default()
    };
    world.control(0, &draining).await;
    let headers = [("idempotency-key", "k"), ("x-deadline-ms", "1000")];
    let answer = world
        .send(gateway.cfg.listen, Method::POST, &headers, "")
        .await;
    assert_eq!(answer.unwrap().outcome, "not run");
    world.control(0, &TargetBehavior::default()).await;
    // The gateway avoids the target for a short time, so the caller retries until the work is done.
    let done = async || {
        let answer = world.post(gateway.cfg.listen, "k").await.unwrap();
        let runs = world.runs(1, "k").await;
        assert_eq!(runs, u64::from(answer.outcome == "done"), "{answer:?}");
        answer.outcome == "done"
    };
    world.eventually("the same key is accepted", done).await;
}

/// Guards against a target that continues work whose caller has disconnected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_goes_away_cancels_the_work() {
    let (world, gateway) = one_gateway(11).await;
    let headers = [("x-target-fault", "late=600000"), ("idempotency-key", "k")];
    let started = world.eventually("the work started", async || world.runs(1, "k").await == 1);
    tokio::select! {
        answer = world.send(gateway.cfg.listen, Method::GET, &headers, "") => {
            panic!("answered: {answer:?}");
        }
        () = started => {}
    }
    let cancelled = async || world.count(1, "k", "cancelled").await == 1;
    world.eventually("the work was cancelled", cancelled).await;
}

/// Guards against a gateway that receives SIGTERM and exits before the request in progress is
/// answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_finishes_requests_before_it_stops() {
    let (world, mut gateway) = one_gateway(12).await;
    let listen = gateway.cfg.listen;
    let headers = [("x-target-fault", "late=1500"), ("idempotency-key", "k")];
    let stop = async {
        world
            .eventually("the work started", async || world.runs(1, "k").await == 1)
            .await;
        gateway.signal("TERM");
        world.ended(&mut gateway).await;
    };
    let (answer, ()) = tokio::join!(world.send(listen, Method::POST, &headers, ""), stop);
    assert_eq!(answer.unwrap().outcome, "done");
}
