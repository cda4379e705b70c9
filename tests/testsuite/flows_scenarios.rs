//! Runs the scenarios in `testsuite/flows/`; the head of each file states the failure that it
//! guards against.

use std::fmt::Write;
use std::time::Duration;

use datadriven::TestCase;
use zinniadrift_core::balancer::Mechanisms;
use zinniadrift_core::settings::TargetState;

use crate::flows_world::{Tally, TargetSpec, World};

/// Declares one test per scenario file.
macro_rules! scenarios {
    ($($name:ident;)*) => {
        $(
            #[test]
            fn $name() {
                run(concat!("testsuite/flows/", stringify!($name)));
            }
        )*
    };
}

scenarios! {
    balancer_dies;
    drain_and_add;
    flow_table_is_bounded;
    graceful_leave;
    half_closed;
    partition_heals;
    unhealthy_target;
}

fn run(path: &str) {
    datadriven::walk(path, |file| {
        let mut world = World::new(1, Mechanisms::default());
        file.run(|case| execute(&mut world, case));
    });
}

fn execute(w: &mut World, case: &mut TestCase) -> String {
    match case.directive.as_str() {
        "policy" => set_policy(w, case),
        "join" => each_line(&case.input, |words| {
            w.join(words[0], words[1]);
        }),
        "edit" => edit(w, case),
        "open" => open(w, case),
        "probe" => probe(w, case, World::probe),
        "half-close" => probe(w, case, World::half_close),
        "advance" => advance(w, case),
        "report" => report(w, case),
        "kill" => on_member(w, case, |w, m| w.group.kill(m)),
        "leave" => on_member(w, case, |w, m| w.group.leave(m)),
        "pause" => on_member(w, case, |w, m| w.group.pause(m)),
        "resume" => on_member(w, case, |w, m| w.group.resume(m)),
        "restart" => on_member(w, case, |w, m| w.group.restart(m)),
        "cut" => cut(w, case),
        "heal" => {
            w.group.network.heal();
            String::new()
        }
        "status" => status(w),
        other => format!("unknown directive {other}\n"),
    }
}

fn each_line(input: &str, mut f: impl FnMut(&[&str])) -> String {
    for line in input.lines() {
        f(&line.split_whitespace().collect::<Vec<_>>());
    }
    String::new()
}

fn arg<T>(case: &mut TestCase, name: &str, default: T) -> T
where
    T: std::str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let given = case.try_take_arg(name).expect("a valid argument");
    given.unwrap_or(default)
}

fn members(w: &World, case: &mut TestCase, name: &str) -> Vec<usize> {
    let names: Option<Vec<String>> = case.try_take_args(name).expect("member names");
    match names {
        Some(names) => names.iter().map(|n| w.member(n)).collect(),
        None => w.running(),
    }
}

fn set_policy(w: &mut World, case: &mut TestCase) -> String {
    let flows = &mut w.policies.flows;
    flows.flow_table_capacity = arg(case, "capacity", flows.flow_table_capacity);
    flows.imbalance_tolerance = arg(case, "tolerance", flows.imbalance_tolerance);
    String::new()
}

/// Applies an edit; each line holds a service, a target and `active`, `draining` or `removed`.
fn edit(w: &mut World, case: &mut TestCase) -> String {
    let input = case.input.clone();
    each_line(&input, |words| {
        let spec = match words[2] {
            "active" => Some(TargetSpec::ACTIVE),
            "draining" => Some(TargetSpec::DRAINING),
            _ => None,
        };
        w.set_target(words[0], words[1], spec);
    });
    let catalog = w.edit();
    let to = members(w, case, "to");
    let spread: u64 = arg(case, "spread-ms", 0);
    for (i, member) in to.into_iter().enumerate() {
        let delay = Duration::from_millis(spread * i as u64);
        w.group.deliver_settings(member, &catalog, delay);
    }
    String::new()
}

/// Opens flows through the given members in turn.
fn open(w: &mut World, case: &mut TestCase) -> String {
    let service: String = case.take_arg("service").expect("a service");
    let n: usize = arg(case, "n", 1);
    let via = members(w, case, "via");
    let before = w.flows.len();
    for i in 0..n {
        w.open(&service, 1, via[i % via.len()]);
        w.advance(1);
    }
    w.advance(100);
    format!("established {}\n", w.flows.len() - before)
}

fn probe(w: &mut World, case: &mut TestCase, send: impl Fn(&mut World, usize) -> Tally) -> String {
    let mut sum = Tally::default();
    for member in members(w, case, "via") {
        let t = send(w, member);
        sum.kept += t.kept;
        sum.broken += t.broken;
        sum.wrong_service += t.wrong_service;
        sum.lost += t.lost;
    }
    format!(
        "kept {} broken {} wrong service {} lost {}\n",
        sum.kept, sum.broken, sum.wrong_service, sum.lost
    )
}

fn advance(w: &mut World, case: &mut TestCase) -> String {
    w.advance(arg(case, "ms", 0));
    String::new()
}

fn report(w: &mut World, case: &mut TestCase) -> String {
    let service: String = case.take_arg("service").expect("a service");
    let target: String = case.take_arg("target").expect("a target");
    let healthy: bool = arg(case, "healthy", true);
    let flows: u32 = arg(case, "flows", 0);
    w.report(&service, &target, flows, healthy);
    String::new()
}

fn on_member(w: &mut World, case: &mut TestCase, f: impl Fn(&mut World, usize)) -> String {
    for member in members(w, case, "m") {
        f(w, member);
    }
    String::new()
}

fn cut(w: &mut World, case: &mut TestCase) -> String {
    let a = members(w, case, "a");
    let b = members(w, case, "b");
    w.group.partition(&a, &b);
    String::new()
}

/// Prints each member, then the number of flows on each target in the settings.
fn status(w: &World) -> String {
    let mut text = String::new();
    for (name, m) in w.names.iter().zip(&w.group.members) {
        let core = &m.core;
        let sync = if core.is_synchronised() { "" } else { "un" };
        let alive = if m.alive { "" } else { " stopped" };
        let (state, version) = (core.state(), core.version());
        let _ = write!(text, "{name}{alive} {state} {sync}synchronised v{version}");
        let _ = write!(text, " peers {}", core.live_peers().len());
        for path in w.services.keys() {
            let id = zinniadrift_core::ids::ServiceId::from_name(path);
            let _ = write!(text, " {path} {}", core.rebase_phase(id));
        }
        text.push('\n');
    }
    for (path, targets) in &w.services {
        for (target, spec) in targets {
            let n = w.flows_of(path, target).len();
            let drains = spec.state == TargetState::Draining;
            let mark = if drains { " draining" } else { "" };
            let _ = writeln!(text, "{path}/{target}{mark} {n}");
        }
    }
    text
}
