//! Replays demand above the capacity, without a network, with the admission of new flows by route
//! and caller on and off; and checks its decisions one by one.

use std::net::Ipv4Addr;
use std::time::Duration;

use zinniadrift_core::steering::{
    RefusalCause, RoomAnswer, RoomPolicy, RoomRequest, RoomSettings, RoomView,
};
use zinniadrift_core::units::MonoTime;
use zinniadrift_lab::experiments::overload::{
    CallerRoute, Fault, RouteTally, SINGLE_REQUESTS, Scenario, Tally, policy_settings, run,
};

use super::world::{CERTIFICATE, address};

const ONE_ROUTE: [CallerRoute; 1] = [CallerRoute {
    share: 1.0,
    ..SINGLE_REQUESTS[1]
}];

fn load(burst_load: f64) -> Scenario {
    Scenario {
        burst_load,
        routes: &SINGLE_REQUESTS,
        ..Scenario::default()
    }
}

fn route<'a>(tally: &'a Tally, name: &str) -> &'a RouteTally {
    let mut routes = tally.routes();
    routes.find(|(n, _)| *n == name).map(|(_, t)| t).unwrap()
}

/// Returns whether the urgent route was served, as far as its demand and the floors of the others
/// fit the capacity, and every route got its floor: a third of a tenth of the capacity.
fn urgent_first(scenario: &Scenario, tally: &Tally) -> bool {
    let demand = SINGLE_REQUESTS[0].share * scenario.burst_load;
    let fits = (0.9 / demand).min(1.0);
    let capacity = scenario.capacity_per_s() * scenario.burst.as_secs_f64();
    let has_floor = |(_, t): (&str, &RouteTally)| {
        let floor = (capacity * 0.1 / 3.0).min(t.asked as f64);
        (t.in_time + t.late) as f64 >= floor
    };
    route(tally, "urgent").in_time_share() >= 0.9 * fits && tally.routes().all(has_floor)
}

fn urgent_first_in_all_zones(scenario: &Scenario, tally: &Tally) -> bool {
    zones_alike(scenario, tally) && urgent_first(scenario, tally)
}

/// Returns whether the first caller, which asks for a quarter of the requests, gave way to the
/// others: the served part of its requests is at most half of theirs.
fn first_caller_gives_way(_: &Scenario, tally: &Tally) -> bool {
    let (own_asked, own_served) = tally.caller(0);
    let all = tally.total();
    let others = (all.in_time - own_served) as f64 / (all.asked - own_asked) as f64;
    own_served as f64 / own_asked as f64 <= 0.5 * others
}

/// Returns whether callers of all zones were served alike, up to a fifth.
fn zones_alike(scenario: &Scenario, tally: &Tally) -> bool {
    let share = |zone: usize| {
        let callers = (zone..scenario.callers).step_by(scenario.zones);
        let (asked, served) = callers
            .map(|c| tally.caller(c))
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
        served as f64 / asked as f64
    };
    let shares = (0..scenario.zones).map(share);
    shares.clone().fold(1.0, f64::min) >= 0.8 * shares.fold(0.0, f64::max)
}

/// Returns whether refusals were those of balancers, at most one in fifty of them while a tenth of
/// the slots were free, and no opening packet was left unanswered that was its caller's last.
fn refusals_are_due(tally: &Tally) -> bool {
    let opens = &tally.opens;
    opens.refused_with_free_slots * 50 <= opens.refused && opens.held_at_last == 0
}

fn summary(tally: &Tally) -> String {
    let routes = tally.routes().map(|(name, t)| {
        format!(
            "{name}: {} of {} in time, {} late",
            t.in_time, t.asked, t.late
        )
    });
    let routes: Vec<String> = routes.collect();
    format!("{}; first caller {:?}", routes.join("; "), tally.caller(0))
}

macro_rules! replays {
    ($($name:ident: $scenario:expr, $check:ident, without $($off:literal),+;)*) => {
        $(
            /// Guards against capacity that goes to whoever asks first.
            #[test]
            fn $name() {
                let scenario = $scenario;
                let cfg = |policy| policy_settings(policy).unwrap();
                for seed in [1, 2] {
                    let on = run(&scenario, &cfg("room"), seed);
                    assert!($check(&scenario, &on), "{}", summary(&on));
                    assert!(refusals_are_due(&on), "{:?}", on.opens);
                    for policy in [$($off),+] {
                        let off = run(&scenario, &cfg(policy), seed);
                        let passes = $check(&scenario, &off);
                        assert!(!passes, "{policy}: {}", summary(&off));
                    }
                }
            }
        )*
    };
}

replays! {
    urgent_route_at_1_2_times_the_capacity: load(1.2), urgent_first, without "default";
    urgent_route_at_twice_the_capacity: load(2.0), urgent_first, without "default";
    urgent_route_at_three_times_the_capacity: load(3.0), urgent_first, without "default";
    zones_are_alike_at_twice_the_capacity: load(2.0), urgent_first_in_all_zones, without "default";
    urgent_route_with_many_balancers: Scenario { balancers: 32, ..load(2.0) }, urgent_first, without "default";
    urgent_route_in_a_burst_of_another: Scenario {
        base_load: 0.6,
        burst_route: Some(1),
        ..load(2.0)
    }, urgent_first, without "default";
    caller_of_a_hundred_flows: Scenario {
        routes: &ONE_ROUTE,
        first_caller_factor: 33.0,
        ..load(2.0)
    }, first_caller_gives_way, without "default", "room.enabled=true,room.fair_by_caller=false";
    floors_at_three_times_the_capacity: load(3.0), urgent_first, without "room.enabled=true,room.floor_share=0.0";
}

/// Guards against refusals at a load that the targets bear.
#[test]
fn nothing_is_lost_up_to_the_capacity() {
    let cfg = policy_settings("room").unwrap();
    let below = run(&load(0.9), &cfg, 1);
    assert!(below.total().in_time_share() >= 0.99, "{}", summary(&below));
    let at = run(&load(1.0), &cfg, 1);
    assert!(at.total().in_time_share() >= 0.97, "{}", summary(&at));
    assert!(
        route(&at, "urgent").in_time_share() >= 0.97,
        "{}",
        summary(&at)
    );
}

fn check_slow_targets(seeds: impl IntoIterator<Item = u64>) {
    let scenario = Scenario {
        burst_load: 0.6,
        fault: Some(Fault::DeadAndSlowTargets),
        ..Scenario::default()
    };
    for seed in seeds {
        let tally = run(&scenario, &policy_settings("room").unwrap(), seed);
        assert_eq!(tally.opens.refused, 0, "seed {seed}: {}", summary(&tally));
    }
}

macro_rules! slow_targets {
    ($($name:ident: $seeds:expr;)*) => {
        $(
            /// Guards against refusals because of requests that wait for a few slow or dead targets
            /// while others have room: the load is 0.95 of what those that are left can do.
            #[test]
            fn $name() {
                check_slow_targets($seeds);
            }
        )*
    };
}

slow_targets! {
    slow_targets_refuse_no_flow_of_others: [1, 2, 3];
    slow_targets_refuse_no_flow_with_other_arrivals: 4..=23;
}

const START: MonoTime = MonoTime::from_millis(1_000_000);

/// Returns ten targets with two slots and eight queue places; the wait follows from `outstanding`.
fn view(outstanding: f32) -> RoomView {
    RoomView {
        slots: 20,
        places: 100,
        outstanding,
        response_time: Duration::from_millis(80),
        completed_per_s: 25.0,
    }
}

fn request(caller: u32) -> RoomRequest {
    RoomRequest {
        route: address(CERTIFICATE),
        priority: 1,
        latency_target: Duration::from_millis(400),
        timeout: Duration::from_secs(3),
        caller: Ipv4Addr::from_bits(Ipv4Addr::new(100, 64, 0, 0).to_bits() + caller),
        retransmissions: 0,
        requests_per_flow: 1.0,
    }
}

/// A policy that gets an opening packet every 20 ms.
struct Asker {
    policy: RoomPolicy,
    now: MonoTime,
}

impl Asker {
    fn new() -> Self {
        Self {
            policy: RoomPolicy::default(),
            now: START,
        }
    }

    fn ask(&mut self, view: &RoomView, req: &RoomRequest) -> RoomAnswer {
        self.now = self.now + Duration::from_millis(20);
        let cfg = RoomSettings::default();
        self.policy.decide(&cfg, self.now, view, req)
    }
}

/// Guards against refusals while targets have room, whatever was refused before.
#[test]
fn nothing_is_refused_while_there_is_room() {
    let mut asker = Asker::new();
    for n in 0..200 {
        asker.ask(&view(90.0), &request(n % 7));
        let answer = asker.ask(&view(40.0), &request(0));
        assert_eq!(answer, RoomAnswer::Admitted);
    }
}

/// Guards against flows that are placed although they cannot be answered before their timeout.
#[test]
fn flow_without_time_is_refused_whatever_its_priority() {
    let mut asker = Asker::new();
    let urgent = RoomRequest {
        priority: 0,
        timeout: Duration::from_millis(300),
        ..request(1)
    };
    let expected = RoomAnswer::Refused(RefusalCause::Timeout);
    assert_eq!(asker.ask(&view(90.0), &urgent), expected);
}

/// Guards against callers that are refused again and again while others come for the first time.
#[test]
fn refused_callers_return_first() {
    let mut asker = Asker::new();
    let is_admitted = |answer| answer == RoomAnswer::Admitted;
    let (mut returned, mut returned_admitted, mut new_admitted) = (0, 0, 0);
    let mut refused = std::collections::VecDeque::new();
    for n in 0..400 {
        let new = request(n);
        if is_admitted(asker.ask(&view(70.0), &new)) {
            new_admitted += 1;
        } else {
            refused.push_back((asker.now, new));
        }
        if let Some((_, req)) =
            refused.pop_front_if(|(at, _)| asker.now.since(*at) > Duration::from_millis(1_500))
        {
            returned += 1;
            returned_admitted += u32::from(is_admitted(asker.ask(&view(70.0), &req)));
        }
    }
    let (returned_share, new_share) = (
        f64::from(returned_admitted) / f64::from(returned),
        f64::from(new_admitted) / 400.0,
    );
    assert!(
        returned_share >= 2.0 * new_share,
        "{returned_share} of returned, {new_share} of new"
    );
}

/// Guards against uploads that are reset although they have time, against a wait after the caller's
/// last opening packet, and against a wait of flows that are late after it.
#[test]
fn flows_with_time_wait_for_their_retransmission() {
    let mut asker = Asker::new();
    let mut waits = [0; 3];
    let view = RoomView {
        completed_per_s: 10.0,
        ..view(80.0)
    };
    for n in 0..300 {
        let upload = RoomRequest {
            latency_target: Duration::from_millis(1_200),
            timeout: Duration::from_secs(10),
            retransmissions: n % 3,
            ..request(n)
        };
        let answer = asker.ask(&view, &upload);
        waits[n as usize % 3] += u32::from(answer == RoomAnswer::Waits);
    }
    assert!(waits[0] > 0, "{waits:?}");
    assert_eq!(waits[2], 0, "{waits:?}");
    let mut asker = Asker::new();
    let answers = (0..300).map(|n| asker.ask(&view, &request(n)));
    assert_eq!(answers.filter(|a| *a == RoomAnswer::Waits).count(), 0);
}
