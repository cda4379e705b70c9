//! Linearizability of concurrent edits, checked against the specification of a versioned register.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use parking_lot::Mutex;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::json;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use zinniadrift_core::settings::{Document, Node};
use zinniadrift_store::{
    EditError, MemoryStore, RepositorySettings, SettingsRepository, StoreFaults, StoredSettings,
};

const SETTING_COUNT: usize = 2;
const OPERATIONS_PER_OPERATOR: usize = 4;

type Values = [u64; SETTING_COUNT];

/// An operation and its result; a call is recorded with a placeholder for the result.
#[derive(Clone, Debug)]
enum Operation {
    Read {
        version: u64,
        values: Values,
    },
    Edit {
        setting: usize,
        base: u64,
        value: u64,
        outcome: Outcome,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Outcome {
    Pending,
    Accepted(u64),
    /// The edit conflicted with another stored value of the same setting.
    Refused,
    NotStored,
    Unknown(Box<str>),
}

/// The specification: values under a version that increases by one with each edit.
struct VersionedRegister;

impl Specification for VersionedRegister {
    type State = (u64, Values);
    type Operation = Operation;

    fn init() -> Self::State {
        (1, [0; SETTING_COUNT])
    }

    fn apply(op: &Operation, state: &Self::State) -> (bool, Self::State) {
        let (version, values) = *state;
        match op {
            Operation::Read {
                version: v,
                values: read,
            } => ((*v, *read) == (version, values), *state),
            Operation::Edit {
                setting,
                base,
                value,
                outcome,
            } => {
                let unchanged = values[*setting] == *base;
                match outcome {
                    Outcome::Accepted(v) => {
                        let mut next = values;
                        next[*setting] = *value;
                        (unchanged && *v == version + 1, (version + 1, next))
                    }
                    Outcome::Refused => (!unchanged, *state),
                    Outcome::NotStored => (true, *state),
                    Outcome::Pending | Outcome::Unknown(_) => (false, *state),
                }
            }
        }
    }
}

type Log = Mutex<Vec<(usize, Action<Operation>)>>;

/// Runs operators that read and edit settings under random faults, and returns their history.
fn run_history(seed: u64, operators: usize, read_back: bool) -> Vec<(usize, Action<Operation>)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let store = Arc::new(MemoryStore::default());
        let cfg = RepositorySettings {
            read_back,
            ..RepositorySettings::default()
        };
        let new_repository =
            || SettingsRepository::with_settings(Arc::clone(&store), "granite", cfg.clone());
        new_repository()
            .apply(tree([0; SETTING_COUNT]))
            .await
            .expect("a first tree");
        let log = Log::default();
        let runs = (0..operators).map(|id| run_operator(id, seed, new_repository(), &log));
        tokio::select! {
            _ = join_all(runs) => {}
            () = inject_faults(seed, &store) => {}
        }
        store.set_faults(StoreFaults::default());
        let last = new_repository().read().await.expect("settings").document;
        let mut history = log.into_inner();
        for (_, action) in &mut history {
            resolve_outcome(action, &last);
        }
        history
    })
}

async fn run_operator(
    id: usize,
    seed: u64,
    repository: SettingsRepository<Arc<MemoryStore>>,
    log: &Log,
) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ (id as u64 + 1) << 40);
    for n in 0..OPERATIONS_PER_OPERATOR {
        let pending = Operation::Read {
            version: 0,
            values: [0; SETTING_COUNT],
        };
        let Ok(base) = read_and_record(id, &repository, pending, log).await else {
            continue;
        };
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..30))).await;
        let setting = rng.random_range(0..SETTING_COUNT);
        let mut values = values_of(&base.document);
        let edit = |outcome| Operation::Edit {
            setting,
            base: values_of(&base.document)[setting],
            value: (id * OPERATIONS_PER_OPERATOR + n + 1) as u64,
            outcome,
        };
        values[setting] = (id * OPERATIONS_PER_OPERATOR + n + 1) as u64;
        log.lock().push((id, Action::Call(edit(Outcome::Pending))));
        let outcome = match repository.submit(&base, &tree(values)).await {
            Ok(done) => Outcome::Accepted(done.version.get()),
            Err(EditError::Conflict { .. }) => Outcome::Refused,
            Err(EditError::OutcomeUnknown { edit_id, .. }) => Outcome::Unknown(edit_id),
            Err(_) => Outcome::NotStored,
        };
        log.lock().push((id, Action::Response(edit(outcome))));
    }
}

/// Reads the settings; records the read if it succeeds.
async fn read_and_record(
    id: usize,
    repository: &SettingsRepository<Arc<MemoryStore>>,
    pending: Operation,
    log: &Log,
) -> Result<StoredSettings, EditError> {
    let at = log.lock().len();
    let result = repository.read().await;
    if let Ok(stored) = &result {
        let done = Operation::Read {
            version: stored.document.version.get(),
            values: values_of(&stored.document),
        };
        let mut log = log.lock();
        log.insert(at, (id, Action::Call(pending)));
        log.push((id, Action::Response(done)));
    }
    result
}

/// Changes the faults of the store at random until the future is dropped.
async fn inject_faults(seed: u64, store: &MemoryStore) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(!seed);
    loop {
        let down = rng.random_bool(0.1);
        store.set_faults(StoreFaults {
            down,
            lose_answers: rng.random_range(0..2),
            lose_requests: rng.random_range(0..2),
            delay_ms: rng.random_range(0..20),
            answer_delay_ms: rng.random_range(0..20),
            ..StoreFaults::default()
        });
        // Some outages last longer than all attempts at an edit.
        let longest = if down { 8_000 } else { 200 };
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..longest))).await;
    }
}

/// Replaces an unknown outcome by the one that the recent edits of the last document show.
fn resolve_outcome(action: &mut Action<Operation>, last: &Document) {
    if let Action::Response(Operation::Edit { outcome, .. }) = action
        && let Outcome::Unknown(edit_id) = outcome
    {
        *outcome = match last.version_of_edit(edit_id) {
            Some(version) => Outcome::Accepted(version.get()),
            None => Outcome::NotStored,
        };
    }
}

fn tree(values: Values) -> Node {
    let [ramp, rate] = values;
    let flows = json!({"ramp_s": ramp, "publish_rate": rate});
    serde_json::from_value(json!({"policies": {"flows": flows}})).expect("a tree")
}

fn values_of(document: &Document) -> Values {
    let flows = &document.tree.policies["flows"];
    ["ramp_s", "publish_rate"].map(|name| flows[name].as_u64().expect("a number"))
}

fn is_linearizable(history: Vec<(usize, Action<Operation>)>) -> bool {
    history.is_empty()
        || WGLChecker::<VersionedRegister>::is_linearizable(History::from_actions(history))
}

proptest! {
    /// Guards against lost, duplicated and falsely reported edits under any interleaving.
    #[test]
    fn concurrent_edits_are_linearizable(seed in any::<u64>(), operators in 1_usize..5) {
        let history = run_history(seed, operators, true);
        prop_assert!(is_linearizable(history.clone()), "seed {seed}: {history:#?}");
    }
}

/// Shows that the linearizability check detects the faults that the read-back of edit ids prevents.
#[test]
fn without_read_back_histories_are_not_linearizable() {
    let not_linearizable = (0..100).filter(|seed| !is_linearizable(run_history(*seed, 3, false)));
    assert!(not_linearizable.count() > 0);
}

/// Guards against histories that lack an outcome and so would not check its handling.
#[test]
fn histories_contain_every_outcome() {
    let mut seen = [0; 3];
    for (_, action) in (0..50).flat_map(|seed| run_history(seed, 3, true)) {
        let Action::Response(Operation::Edit { outcome, .. }) = action else {
            continue;
        };
        match outcome {
            Outcome::Accepted(_) => seen[0] += 1,
            Outcome::Refused => seen[1] += 1,
            Outcome::NotStored => seen[2] += 1,
            Outcome::Pending | Outcome::Unknown(_) => unreachable!("settled above"),
        }
    }
    assert!(seen.iter().all(|count| *count > 0), "{seen:?}");
}
