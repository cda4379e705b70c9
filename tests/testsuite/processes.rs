//! Checks the guarantees for flows and requests with daemon processes that are killed, paused or
//! cut off from the platform.
//!
//! No test sleeps for a fixed time: each polls the daemons' status objects, the time line or the
//! targets' run logs.

#![allow(clippy::unwrap_used)]

use serde_json::json;

use zinniadrift_lab::doubles::{FlowReport, TargetBehavior};
use zinniadrift_runtime::daemon::Role::{Balancer, Gateway};

use super::processes_testbed::{Answer, Testbed};

/// Checks that the caller opened `flows` flows, and that none of them broke or stayed unanswered.
fn assert_unbroken(report: &FlowReport, flows: u32) {
    let seen = (report.opened, report.broken, report.silent);
    assert_eq!(seen, (flows, 0, 0), "{report:?}");
}

/// Checks that the answered outcome agrees with the number of runs, and that there is at most one.
fn assert_truthful(answer: &Answer, runs: u64) {
    assert!(runs <= 1, "{runs} runs of one key");
    match &*answer.outcome {
        "done" => assert_eq!(runs, 1, "{answer:?}"),
        "not run" => assert_eq!(runs, 0, "{answer:?}"),
        _ => {}
    }
}

/// Returns the behavior of a target that takes 2 s per request, so that a gateway can be killed or
/// paused meanwhile.
fn slow_target() -> TargetBehavior {
    TargetBehavior {
        service_ms: 2_000,
        slots: 8,
        ..TargetBehavior::default()
    }
}

/// Guards against a drain that moves or breaks open flows of the target, and against new flows that
/// are placed on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_under_open_flows() {
    let mut testbed = Testbed::start(0, 3).await;
    testbed.add_seeds(Balancer, 3);
    let daemons = [0, 1, 2].map(|i| testbed.start_daemon(Balancer, i));
    let balancers: Vec<_> = daemons.iter().collect();
    testbed.apply_settings(3, &[]).await;
    testbed.wait_until_serving(1, &balancers).await;
    let mut early_caller = testbed.caller(1, &balancers).await;
    early_caller.open(90).await.unwrap();
    assert!(early_caller.report().flows_per_target.contains_key("t1"));
    testbed.apply_settings(3, &[1]).await;
    testbed.wait_until_serving(2, &balancers).await;
    let mut late_caller = testbed.caller(2, &balancers).await;
    late_caller.open(90).await.unwrap();
    early_caller.send_round().await.unwrap();
    late_caller.send_round().await.unwrap();
    assert_unbroken(&early_caller.report(), 90);
    assert_unbroken(&late_caller.report(), 90);
    assert!(!late_caller.report().flows_per_target.contains_key("t1"));
}

/// Guards against exceptions that are lost with the balancer that published them: the base table
/// alone would send the flows that it placed to another target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn balancer_killed_under_open_flows() {
    let mut testbed = Testbed::start(1, 3).await;
    testbed.add_seeds(Balancer, 3);
    let mut daemons = [0, 1, 2].map(|i| testbed.start_daemon(Balancer, i));
    testbed.apply_settings(3, &[]).await;
    testbed
        .wait_until_serving(1, &daemons.iter().collect::<Vec<_>>())
        .await;
    testbed.apply_settings(3, &[0]).await;
    testbed
        .wait_until_serving(2, &daemons.iter().collect::<Vec<_>>())
        .await;
    let mut caller = testbed.caller(1, &daemons.iter().collect::<Vec<_>>()).await;
    caller.open(120).await.unwrap();
    daemons[0].kill();
    caller.set_balancers(vec![daemons[1].cfg.listen, daemons[2].cfg.listen]);
    caller.send_round().await.unwrap();
    testbed.wait_for_event(&daemons[1], "balancer-0 dead").await;
    caller.send_round().await.unwrap();
    caller.open(60).await.unwrap();
    caller.send_round().await.unwrap();
    assert_unbroken(&caller.report(), 180);
}

/// Guards against a balancer that resumes after a pause longer than the dead timeout without
/// resynchronising: it missed exceptions and would send their flows to the base target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn balancer_paused_past_dead_timeout() {
    let mut testbed = Testbed::start(2, 3).await;
    testbed.add_seeds(Balancer, 3);
    let daemons = [0, 1, 2].map(|i| testbed.start_daemon(Balancer, i));
    let all: Vec<_> = daemons.iter().collect();
    testbed.apply_settings(3, &[]).await;
    testbed.wait_until_serving(1, &all).await;
    let mut caller = testbed.caller(1, &all[1..]).await;
    caller.open(60).await.unwrap();
    daemons[0].signal("STOP");
    testbed.wait_for_event(&daemons[1], "balancer-0 dead").await;
    testbed.apply_settings(3, &[0]).await;
    testbed.wait_until_serving(2, &all[1..]).await;
    caller.open(60).await.unwrap();
    daemons[0].signal("CONT");
    caller.set_balancers(vec![daemons[0].cfg.listen]);
    caller.send_round().await.unwrap();
    testbed.wait_until_serving(2, &all).await;
    caller.set_balancers(all.iter().map(|d| d.cfg.listen).collect());
    caller.send_round().await.unwrap();
    assert_unbroken(&caller.report(), 120);
}

/// Guards against a balancer that cannot start, or breaks open flows, while the platform is down:
/// it must get settings and exceptions from its seeds.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_balancer_during_platform_outage() {
    let mut testbed = Testbed::start(3, 3).await;
    testbed.add_seeds(Balancer, 3);
    let first = [0, 1].map(|i| testbed.start_daemon(Balancer, i));
    let balancers: Vec<_> = first.iter().collect();
    testbed.apply_settings(3, &[]).await;
    testbed.wait_until_serving(1, &balancers).await;
    testbed.apply_settings(3, &[2]).await;
    testbed.wait_until_serving(2, &balancers).await;
    let mut caller = testbed.caller(1, &balancers).await;
    caller.open(60).await.unwrap();
    testbed.inject_faults(&json!({ "down": true })).await;
    let new_balancer = testbed.start_daemon(Balancer, 2);
    testbed.wait_for_event(&new_balancer, "serving").await;
    caller.set_balancers(vec![new_balancer.cfg.listen]);
    caller.send_round().await.unwrap();
    caller.open(60).await.unwrap();
    caller.set_balancers(vec![first[0].cfg.listen, first[1].cfg.listen]);
    caller.send_round().await.unwrap();
    assert_unbroken(&caller.report(), 120);
}

/// Guards against flows that break when a balancer receives SIGTERM, and against a balancer that
/// does not exit by itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn balancer_stops_gracefully() {
    let mut testbed = Testbed::start(4, 2).await;
    testbed.add_seeds(Balancer, 2);
    let mut daemons = [0, 1].map(|i| testbed.start_daemon(Balancer, i));
    testbed.apply_settings(2, &[]).await;
    testbed
        .wait_until_serving(1, &daemons.iter().collect::<Vec<_>>())
        .await;
    let mut caller = testbed.caller(1, &daemons.iter().collect::<Vec<_>>()).await;
    caller.open(60).await.unwrap();
    daemons[0].signal("TERM");
    testbed.wait_for_event(&daemons[0], "leaving").await;
    caller.send_round().await.unwrap();
    caller.set_balancers(vec![daemons[1].cfg.listen]);
    testbed.wait_for_event(&daemons[0], "stopped").await;
    caller.send_round().await.unwrap();
    assert_unbroken(&caller.report(), 60);
    testbed.wait_for_exit(&mut daemons[0]).await;
}

/// Guards against a gateway that runs work again, or answers "not run", when another gateway was
/// killed after it had sent that work to a target.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_killed_in_mid_request() {
    let mut testbed = Testbed::start(5, 2).await;
    testbed.add_seeds(Gateway, 2);
    let mut daemons = [0, 1].map(|i| testbed.start_daemon(Gateway, i));
    testbed.apply_settings(2, &[]).await;
    testbed
        .wait_until_serving(1, &daemons.iter().collect::<Vec<_>>())
        .await;
    for target in 0..2 {
        testbed.set_behavior(target, &slow_target()).await;
    }
    let (first, second) = (daemons[0].cfg.listen, daemons[1].cfg.listen);
    let kill = async {
        testbed
            .wait_until("the work started", async || {
                testbed.started_runs(2, "k").await == 1
            })
            .await;
        daemons[0].kill();
    };
    let (lost, ()) = tokio::join!(testbed.post(first, "k"), kill);
    assert!(lost.is_none(), "{lost:?}");
    let answer = testbed.post(second, "k").await.unwrap();
    assert_ne!(answer.outcome, "not run", "{answer:?}");
    assert_truthful(&answer, testbed.started_runs(2, "k").await);
}

/// Guards against work that runs twice because the gateway that holds its claim was paused until
/// peers counted it as dead, and then resumed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_paused_past_every_timeout() {
    let mut testbed = Testbed::start(6, 2).await;
    testbed.add_seeds(Gateway, 2);
    let daemons = [0, 1].map(|i| testbed.start_daemon(Gateway, i));
    testbed.apply_settings(2, &[]).await;
    testbed
        .wait_until_serving(1, &daemons.iter().collect::<Vec<_>>())
        .await;
    for target in 0..2 {
        testbed.set_behavior(target, &slow_target()).await;
    }
    let (first, second) = (daemons[0].cfg.listen, daemons[1].cfg.listen);
    let pause = async {
        testbed
            .wait_until("the work started", async || {
                testbed.started_runs(2, "k").await == 1
            })
            .await;
        daemons[0].signal("STOP");
        testbed.wait_for_event(&daemons[1], "live gateways: ").await;
        let answer = testbed.post(second, "k").await.unwrap();
        daemons[0].signal("CONT");
        answer
    };
    let (paused_answer, peer_answer) = tokio::join!(testbed.post(first, "k"), pause);
    let runs = testbed.started_runs(2, "k").await;
    assert_ne!(peer_answer.outcome, "not run", "{peer_answer:?}");
    assert_truthful(&peer_answer, runs);
    if let Some(paused_answer) = paused_answer {
        assert_truthful(&paused_answer, runs);
    }
    // The claim still holds after the paused gateway resumed.
    let retried = testbed.post(second, "k").await.unwrap();
    assert_truthful(&retried, testbed.started_runs(2, "k").await);
}

/// Guards against work that runs twice, and against false outcomes, when the platform applies the
/// write of a claim but its answer is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn platform_loses_answers_of_writes() {
    let mut testbed = Testbed::start(7, 2).await;
    testbed.add_seeds(Gateway, 2);
    let daemons = [0, 1].map(|i| testbed.start_daemon(Gateway, i));
    testbed.apply_settings(2, &[]).await;
    testbed
        .wait_until_serving(1, &daemons.iter().collect::<Vec<_>>())
        .await;
    for i in 0..10 {
        testbed.inject_faults(&json!({ "lose_answers": 1 })).await;
        let key = format!("k{i}");
        let gateway = daemons[i % 2].cfg.listen;
        let answer = testbed.post(gateway, &key).await.unwrap();
        assert_truthful(&answer, testbed.started_runs(2, &key).await);
        let other = daemons[(i + 1) % 2].cfg.listen;
        let retried = testbed.post(other, &key).await.unwrap();
        assert_truthful(&retried, testbed.started_runs(2, &key).await);
    }
}
