//! Checks recorded histories of concurrent requests under faults for at-most-once execution and
//! correct outcomes, with the linearizability checker of Wing, Gong and Lowe (WGL).

use std::collections::BTreeMap;
use std::time::Duration;

use todc_utils::{Action, History, Specification, WGLChecker};
use zinniadrift_core::gateway::Mechanisms;
use zinniadrift_lab::experiments::requests::{
    CallerOutcome, EntryKind, Faults, HistoryEntry, Simulation, SimulationSettings, WORKLOAD_START,
    Workload,
};

/// An operation on a piece of non-idempotent work.
#[derive(Clone, Copy, Debug)]
enum Operation {
    /// A target ran the work on behalf of the request.
    Run(usize),
    /// The caller of the request received the outcome; `None` while the request is in progress.
    Request(usize, Option<CallerOutcome>),
}

/// The state of a piece of work: the request that ran it, and the requests answered "not run",
/// which must not run it later.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct State {
    ran_for: Option<usize>,
    not_run: Vec<usize>,
}

/// The specification: the work runs at most once, "done" is reported only after the run, and "not
/// run" only for a request that never runs it.
struct AtMostOnce;

impl Specification for AtMostOnce {
    type State = State;
    type Operation = Operation;

    fn init() -> State {
        State::default()
    }

    fn apply(op: &Operation, state: &State) -> (bool, State) {
        let mut next = state.clone();
        let valid = match *op {
            Operation::Run(request) => {
                next.ran_for = Some(request);
                state.ran_for.is_none() && !state.not_run.contains(&request)
            }
            Operation::Request(_, Some(CallerOutcome::Done)) => state.ran_for.is_some(),
            Operation::Request(_, Some(CallerOutcome::WrongResponse)) => false,
            Operation::Request(request, Some(CallerOutcome::NotRun(..))) => {
                next.not_run.push(request);
                state.ran_for != Some(request)
            }
            Operation::Request(
                _,
                Some(CallerOutcome::Unknown(_) | CallerOutcome::NoAnswer) | None,
            ) => true,
        };
        (valid, if valid { next } else { state.clone() })
    }
}

/// Returns the pieces of work whose histories are not linearizable.
fn violating_jobs(entries: &[HistoryEntry]) -> Vec<usize> {
    let mut by_job: BTreeMap<usize, Vec<&HistoryEntry>> = BTreeMap::new();
    for e in entries {
        by_job.entry(e.job).or_default().push(e);
    }
    by_job
        .into_iter()
        .filter(|(_, entries)| !WGLChecker::<AtMostOnce>::is_linearizable(history(entries)))
        .map(|(job, _)| job)
        .collect()
}

/// Converts the entries of one piece of work to the checker's history; operations still in progress
/// end after all others.
fn history(entries: &[&HistoryEntry]) -> History<Operation> {
    let mut processes: BTreeMap<usize, usize> = BTreeMap::new();
    let mut open: BTreeMap<usize, Operation> = BTreeMap::new();
    let mut actions = Vec::new();
    for e in entries {
        let next = processes.len();
        let process = *processes.entry(e.operation).or_insert(next);
        match e.kind {
            EntryKind::RequestStarted(request) => {
                // The checker applies the operation in the response, so the call needs no outcome.
                open.insert(process, Operation::Request(request, None));
                actions.push((process, Action::Call(Operation::Request(request, None))));
            }
            EntryKind::RunStarted(request) => {
                open.insert(process, Operation::Run(request));
                actions.push((process, Action::Call(Operation::Run(request))));
            }
            EntryKind::RequestEnded(request, ending) => {
                open.remove(&process);
                actions.push((
                    process,
                    Action::Response(Operation::Request(request, Some(ending))),
                ));
            }
            EntryKind::RunEnded(request) => {
                open.remove(&process);
                actions.push((process, Action::Response(Operation::Run(request))));
            }
        }
    }
    for (process, operation) in open {
        actions.push((process, Action::Response(operation)));
    }
    History::from_actions(actions)
}

fn faults() -> Faults {
    let secs = Duration::from_secs;
    Faults {
        lost_write_answers: 0.1,
        lost_writes: 0.05,
        late_writes: 0.05,
        lost_connections: 0.05,
        truncated_responses: 0.02,
        swapped_responses: 0.02,
        late_responses: 0.02,
        paused_sends: 0.03,
        kill_interval: Some(secs(3)),
        pause_interval: Some(secs(3)),
        outage_interval: Some(secs(8)),
        drain_interval: Some(secs(6)),
    }
}

/// Simulates callers, gateways and targets under faults for 15 s and returns the simulation with
/// its recorded history.
fn record(seed: u64, mechanisms: Mechanisms) -> Simulation {
    let cfg = SimulationSettings {
        seed,
        gateways: 3,
        targets: 3,
        shards: 2,
        caller_timeout: Duration::from_secs(1),
        caller_retries: 4,
        duplicate_share: 0.2,
        faults: faults(),
        mechanisms,
        ..SimulationSettings::default()
    };
    let workload = Workload {
        rate: 15.0,
        duration: Duration::from_secs(3),
        non_idempotent: 1.0,
        service_time: Duration::from_millis(80),
    };
    let mut sim = Simulation::new(cfg, workload.draw(seed));
    sim.run_until(WORKLOAD_START + Duration::from_secs(15));
    sim
}

/// Returns the seeds of a range for which the history violates the specification or a request was
/// answered more than once.
fn violating_seeds(seeds: std::ops::Range<u64>, mechanisms: Mechanisms) -> Vec<u64> {
    const THREADS: u64 = 4;
    let found: Vec<Vec<u64>> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS)
            .map(|i| {
                let seeds = seeds.clone().filter(move |s| s % THREADS == i);
                scope.spawn(move || {
                    seeds
                        .filter(|seed| {
                            let sim = record(*seed, mechanisms);
                            let answers = sim.callers.requests.iter().all(|a| a.answers <= 1);
                            let jobs = violating_jobs(&sim.callers.history.entries);
                            if !answers || !jobs.is_empty() {
                                println!("seed {seed}: work {jobs:?}, one answer {answers}");
                            }
                            !answers || !jobs.is_empty()
                        })
                        .collect()
                })
            })
            .collect();
        workers
            .into_iter()
            .map(|w| w.join().unwrap_or_else(|p| std::panic::resume_unwind(p)))
            .collect()
    });
    found.into_iter().flatten().collect()
}

/// Guards against work that runs twice, a false "not run", a wrong response and a second answer,
/// under random combinations of faults.
#[test]
fn default_is_linearizable() {
    let violating = violating_seeds(0..4_000, Mechanisms::default());
    assert!(violating.is_empty(), "seeds {violating:?}");
}

/// Guards against faults so rare that a history cannot show a violation: the history must contain
/// duplicates of done requests, runs, refusals and unknown outcomes.
#[test]
fn histories_contain_all_outcomes() {
    let sim = record(1, Mechanisms::default());
    let requests = &sim.callers.requests;
    let count_outcomes =
        |f: fn(&CallerOutcome) -> bool| requests.iter().filter_map(|a| a.outcome).filter(f).count();
    assert!(count_outcomes(|e| *e == CallerOutcome::Done) > 10);
    assert!(count_outcomes(|e| matches!(e, CallerOutcome::NotRun(..))) > 3);
    assert!(count_outcomes(|e| matches!(e, CallerOutcome::Unknown(_))) > 3);
    assert!(
        requests
            .iter()
            .any(|a| a.retry > 0 && a.outcome == Some(CallerOutcome::Done))
    );
}

/// Declares one test per mechanism; the check must find a violation within 100 seeds when the
/// mechanism is off.
macro_rules! violated_without {
    ($($name:ident: $field:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let mechanisms = Mechanisms { $field: false, ..Mechanisms::default() };
                assert!(!violating_seeds(0..100, mechanisms).is_empty());
            }
        )*
    };
}

violated_without! {
    expiring_lease_runs_twice: permanent_claims;
    without_claims_runs_twice: claims;
    without_read_back_runs_twice: token_read_back;
    without_proof_not_run_is_false: proof_of_not_run;
    without_matching_responses_mix: attempt_matching;
    without_framing_check_truncates: framing_check;
}

/// Guards against violations in the alternative design in which a second write marks a claim as
/// started before the request is sent.
#[test]
fn two_writes_is_linearizable() {
    let mechanisms = Mechanisms {
        start_write: true,
        ..Mechanisms::default()
    };
    let violating = violating_seeds(0..100, mechanisms);
    assert!(violating.is_empty(), "seeds {violating:?}");
}
