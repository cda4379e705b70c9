//! Replays of one seed in two processes, whose decisions have to be the same line by line.
//!
//! The seeds of hash maps differ between processes, so that a decision that goes by the order of
//! one shows here.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::{env, fs};

use zinniadrift_lab::experiments::overload::{
    Fault, SINGLE_REQUESTS, Scenario, decision_log, policy_settings,
};

use super::fleet::{Fleet, FleetSettings};

/// Names the file that a child process writes its decisions to.
const LOG_VARIABLE: &str = "ZINNIADRIFT_DECISION_LOG";

/// Returns the decisions of a fleet in which a fifth of the targets and a relay are lost.
fn fleet(targets: usize, seed: u64) -> Vec<String> {
    let cfg = FleetSettings {
        balancers: 20,
        speeds: (0..targets).map(|n| [0.6, 1.0, 1.6][n % 3]).collect(),
        flows_per_s: targets as f64 * 5.0,
        enabled: true,
    };
    let mut fleet = Fleet::new(cfg, seed);
    fleet.decisions = Some(Vec::new());
    fleet.run(5_000);
    fleet.targets[..targets / 5]
        .iter_mut()
        .for_each(|t| t.is_dead = true);
    fleet.run(2_000);
    fleet.lose(0);
    fleet.run(3_000);
    fleet.decisions.unwrap()
}

fn overload(policy: &str, scenario: Scenario) -> Vec<String> {
    decision_log(&scenario, &policy_settings(policy).unwrap(), 1)
}

fn dead_and_slow(burst_load: f64) -> Scenario {
    Scenario {
        burst_load,
        fault: Some(Fault::DeadAndSlowTargets),
        ..Scenario::default()
    }
}

/// Starts this test program again with the one test `name`, which writes its decisions to `path`.
fn start(name: &str, path: &Path) -> Child {
    let program = env::current_exe().unwrap();
    Command::new(program)
        .args(["--exact", name, "--nocapture"])
        .env(LOG_VARIABLE, path)
        .stdout(Stdio::null())
        .spawn()
        .unwrap()
}

fn compare(name: &str, replay: impl FnOnce() -> Vec<String>) {
    if let Some(path) = env::var_os(LOG_VARIABLE) {
        fs::write(path, replay().join("\n")).unwrap();
        return;
    }
    // The filter of a test program has no crate name.
    let (_, name) = name.split_once("::").unwrap();
    let paths: [PathBuf; 2] = [1, 2].map(|n| {
        let file = format!("{}-{n}.log", name.replace("::", "-"));
        env::temp_dir().join(format!("zinniadrift-{}-{file}", std::process::id()))
    });
    let children = paths.each_ref().map(|path| start(name, path));
    for mut child in children {
        assert!(child.wait().unwrap().success());
    }
    let logs = paths
        .each_ref()
        .map(|path| fs::read_to_string(path).unwrap());
    for path in &paths {
        fs::remove_file(path).unwrap();
    }
    let [first, second] = logs.each_ref().map(|log| log.lines());
    let difference = first.clone().zip(second.clone()).position(|(a, b)| a != b);
    if let Some(n) = difference {
        let line = |log: &str| log.lines().nth(n).map(str::to_owned);
        let [a, b] = logs.each_ref().map(|log| line(log).unwrap());
        panic!("line {n} differs:\n{a}\n{b}");
    }
    let count = first.count();
    assert_eq!(count, second.count(), "one log goes on");
    assert!(count > 100, "{count} decisions");
}

macro_rules! replays {
    ($($name:ident: $replay:expr;)*) => {
        $(
            /// Guards against decisions that differ between processes with the same input.
            #[test]
            fn $name() {
                compare(concat!(module_path!(), "::", stringify!($name)), || $replay);
            }
        )*
    };
}

replays! {
    fleet_of_30_targets: fleet(30, 1);
    fleet_of_120_targets: fleet(120, 2);
    long_flows_at_dead_targets: overload("default", dead_and_slow(0.7));
    long_flows_at_dead_targets_with_room: overload("room", dead_and_slow(0.6));
    single_requests_with_room: overload("room", Scenario {
        routes: &SINGLE_REQUESTS,
        ..dead_and_slow(1.5)
    });
    single_requests_with_shared_observations: overload("observations.enabled=true", Scenario {
        routes: &SINGLE_REQUESTS,
        ..dead_and_slow(0.8)
    });
    dark_second: overload("default", Scenario {
        fault: Some(Fault::DarkSecond),
        burst_load: 1.2,
        ..Scenario::default()
    });
}
