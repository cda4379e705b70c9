//! Checks which calls a balancer makes to the store and to its peers.

use std::net::SocketAddr;
use std::time::Duration;

use zinniadrift_core::steering::{
    ListExtent, PeerSelector, Position, StoreCallError, StoreNeed, StoreStep, WatchLoop,
    WatchSettings,
};
use zinniadrift_core::units::MonoTime;

const EXPECTED_MAX_AGE: Duration = Duration::from_secs(2);
const NO_PEER_POSITION: Position = Position::ZERO;

const SECOND: Duration = Duration::from_secs(1);

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn settings() -> WatchSettings {
    WatchSettings {
        watch_wait: Duration::from_secs(4),
        coalesce_delay: Duration::from_millis(400),
        retry_min: Duration::from_millis(100),
        retry_max: Duration::from_secs(1),
    }
}

fn after_list(revision: u64) -> WatchLoop {
    let mut watch = WatchLoop::new(settings());
    assert_eq!(
        watch.next_step(at(0), StoreNeed::NoRelay, NO_PEER_POSITION),
        StoreStep::List {
            stale: true,
            extent: ListExtent::All
        }
    );
    watch.on_response(at(0), revision.into(), false);
    watch
}

fn long_watch(from: u64) -> StoreStep {
    StoreStep::Watch {
        from: from.into(),
        wait: Duration::from_secs(4),
    }
}

/// Guards against lists where a watch is sufficient.
#[test]
fn one_list_then_watches() {
    let mut watch = after_list(7);
    assert_eq!(
        watch.next_step(at(1), StoreNeed::NoRelay, NO_PEER_POSITION),
        long_watch(7)
    );
    watch.on_response(at(2), 9.into(), false);
    assert_eq!(
        watch.next_step(at(3), StoreNeed::NoRelay, NO_PEER_POSITION),
        long_watch(9)
    );
}

/// Guards against a separate call for each of many changes in quick succession.
#[test]
fn changes_in_quick_succession_are_coalesced() {
    let mut watch = after_list(7);
    watch.on_response(at(100), 8.into(), true);
    assert_eq!(
        watch.next_step(at(100), StoreNeed::NoRelay, NO_PEER_POSITION),
        StoreStep::WaitUntil(at(500))
    );
    assert_eq!(
        watch.next_step(at(500), StoreNeed::NoRelay, NO_PEER_POSITION),
        long_watch(8)
    );
}

/// Guards against calls by a balancer that a relay keeps up to date.
#[test]
fn relayed_balancer_makes_no_call() {
    let mut watch = after_list(7);
    assert_eq!(
        watch.next_step(at(1), StoreNeed::None, NO_PEER_POSITION),
        StoreStep::Idle
    );
    // When the relay is lost, the watch begins at the revision that the relay provided. The store
    // may be lost too, so the first call does not wait.
    assert_eq!(
        watch.next_step(at(2), StoreNeed::NoRelay, 40.into()),
        watch_without_wait(40)
    );
    watch.on_response(at(3), 41.into(), false);
    assert_eq!(
        watch.next_step(at(3), StoreNeed::NoRelay, NO_PEER_POSITION),
        long_watch(41)
    );
}

/// Guards against a fleet that lists all targets from the store whenever its balancers start: 13
/// pages for each of 295 balancers were nearly half of the calls of a day (large site, quiet-1).
#[test]
fn new_balancer_asks_peers_before_the_store() {
    let mut watch = WatchLoop::new(settings());
    let need = StoreNeed::After(at(350));
    assert_eq!(watch.next_step(at(0), need, NO_PEER_POSITION), FIRST_PAGE);
    watch.on_failure(at(8), StoreCallError::MorePages);
    let step = watch.next_step(at(8), need, NO_PEER_POSITION);
    assert_eq!(step, StoreStep::WaitUntil(at(350)));
    // A peer provides the state in time, so the store is not called.
    assert_eq!(
        watch.next_step(at(20), StoreNeed::None, 40.into()),
        StoreStep::Idle
    );
    // When the peer is lost, the watch begins at the position that it provided.
    assert_eq!(
        watch.next_step(at(9_000), StoreNeed::NoRelay, 47.into()),
        watch_without_wait(47)
    );
}

const FIRST_PAGE: StoreStep = StoreStep::List {
    stale: true,
    extent: ListExtent::FirstPage,
};

/// Guards against a balancer of a small fleet that waits for relays without power although the
/// store's list is short: on the three small sites the seconds after a loss of power cost 0.015.
#[test]
fn short_list_is_used_at_once() {
    let mut watch = WatchLoop::new(settings());
    let need = StoreNeed::After(at(350));
    assert_eq!(watch.next_step(at(0), need, NO_PEER_POSITION), FIRST_PAGE);
    watch.on_stale_list(at(8), 7.into());
    // Peers may confirm it until then.
    assert_eq!(
        watch.next_step(at(8), need, 7.into()),
        StoreStep::WaitUntil(at(350))
    );
    assert_eq!(
        watch.next_step(at(350), need, 7.into()),
        watch_without_wait(7)
    );
}

/// Guards against a new balancer that waits for peers forever, and one that serves from a list that
/// may be seconds old longer than a call takes.
#[test]
fn new_balancer_without_peers_lists_and_confirms() {
    let mut watch = WatchLoop::new(settings());
    let need = StoreNeed::After(at(350));
    assert_eq!(watch.next_step(at(0), need, NO_PEER_POSITION), FIRST_PAGE);
    watch.on_failure(at(8), StoreCallError::MorePages);
    assert_eq!(
        watch.next_step(at(350), need, NO_PEER_POSITION),
        StoreStep::List {
            stale: true,
            extent: ListExtent::All
        }
    );
    watch.on_stale_list(at(360), 7.into());
    assert_eq!(
        watch.next_step(at(360), need, 7.into()),
        watch_without_wait(7)
    );
}

/// Guards against a watch on history that the store has compacted, and against a stale list after
/// it.
#[test]
fn compaction_is_followed_by_a_current_list() {
    let mut watch = after_list(7);
    watch.on_failure(at(10), StoreCallError::Compacted);
    let step = watch.next_step(at(10), StoreNeed::NoRelay, NO_PEER_POSITION);
    assert_eq!(
        step,
        StoreStep::List {
            stale: false,
            extent: ListExtent::All
        }
    );
}

/// Guards against a balancer that asks for the same changes again and again if the answer cannot be
/// read.
#[test]
fn unreadable_changes_are_followed_by_a_current_list() {
    let mut watch = after_list(7);
    watch.on_failure(at(10), StoreCallError::Unreadable);
    let step = watch.next_step(at(10), StoreNeed::Relay, 7.into());
    let StoreStep::WaitUntil(until) = step else {
        panic!("no pause: {step:?}");
    };
    assert_eq!(
        watch.next_step(until, StoreNeed::Relay, 7.into()),
        StoreStep::List {
            stale: false,
            extent: ListExtent::All
        }
    );
}

/// Guards against calls without back-off to a store that reports compaction on every call.
#[test]
fn repeated_compaction_is_retried_with_back_off() {
    let mut watch = after_list(7);
    watch.on_failure(at(10), StoreCallError::Compacted);
    watch.on_failure(at(10), StoreCallError::Compacted);
    let step = watch.next_step(at(10), StoreNeed::NoRelay, NO_PEER_POSITION);
    assert!(matches!(step, StoreStep::WaitUntil(_)), "{step:?}");
}

/// Guards against calls without back-off to a store that refuses them or does not respond.
#[test]
fn failures_are_retried_with_back_off() {
    for error in [
        StoreCallError::Refused,
        StoreCallError::NoAnswer,
        StoreCallError::Unreadable,
    ] {
        let mut watch = after_list(7);
        let mut now = at(0);
        let mut pauses = Vec::new();
        for _ in 0..6 {
            watch.on_failure(now, error);
            let StoreStep::WaitUntil(until) =
                watch.next_step(now, StoreNeed::Relay, NO_PEER_POSITION)
            else {
                panic!("no pause after {error}");
            };
            pauses.push(until.since(now).as_millis());
            now = until;
        }
        assert_eq!(pauses, [100, 200, 400, 800, 1_000, 1_000], "{error}");
        watch.on_response(now, 8.into(), false);
        assert_eq!(
            watch.next_step(now, StoreNeed::Relay, NO_PEER_POSITION),
            long_watch(8)
        );
    }
}

/// Guards against a long watch at a store that accepts calls and never responds: a change right
/// after its recovery came into force 4 s late (glag-ore mix --seed 412175982773, rule CONFIG).
#[test]
fn call_after_a_failure_does_not_wait() {
    for error in [StoreCallError::Refused, StoreCallError::NoAnswer] {
        let mut watch = after_list(7);
        watch.on_failure(at(0), error);
        let step = watch.next_step(at(100), StoreNeed::Relay, NO_PEER_POSITION);
        assert_eq!(step, watch_without_wait(7), "{error}");
        watch.on_response(at(110), 8.into(), false);
        let step = watch.next_step(at(110), StoreNeed::Relay, NO_PEER_POSITION);
        assert_eq!(step, long_watch(8));
    }
}

/// Guards against state that is not read again after a pause of the process: every change since the
/// known position has to arrive, with a call that does not wait.
#[test]
fn changes_are_read_again_after_a_pause() {
    let mut watch = after_list(7);
    watch.restart(at(50));
    for need in [StoreNeed::NoRelay, StoreNeed::Relay] {
        let step = watch.next_step(at(50), need, NO_PEER_POSITION);
        assert_eq!(step, watch_without_wait(7));
    }
    watch.on_failure(at(60), StoreCallError::Compacted);
    let step = watch.next_step(at(60), StoreNeed::NoRelay, 7.into());
    assert_eq!(
        step,
        StoreStep::List {
            stale: false,
            extent: ListExtent::All
        }
    );
}

fn peer(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn peers(n: u16) -> Vec<SocketAddr> {
    (0..n).map(peer).collect()
}

/// Guards against a balancer that relies on a relay whose state is stale.
#[test]
fn stale_relay_is_abandoned() {
    let mut selector = PeerSelector::new(at(0), peers(3), 1, false, EXPECTED_MAX_AGE);
    assert_eq!(selector.peer(), Some(peer(1)));
    selector.on_response(at(0), Duration::from_secs(1));
    assert_eq!(selector.store_need(), StoreNeed::None);
    selector.on_response(at(0), Duration::from_secs(7));
    assert_eq!(selector.store_need(), StoreNeed::NoRelay);
    assert_eq!(selector.peer(), Some(peer(2)));
}

/// Guards against a balancer that gets no updates while its relay is down.
#[test]
fn unresponsive_relay_is_abandoned() {
    let mut selector = PeerSelector::new(at(0), peers(3), 2, false, EXPECTED_MAX_AGE);
    selector.on_response(at(0), Duration::ZERO);
    selector.on_failure(at(0));
    assert_eq!(selector.peer(), Some(peer(0)));
    let StoreNeed::After(until) = selector.store_need() else {
        panic!("{:?}", selector.store_need());
    };
    assert!(until <= at(1_000), "{until}");
}

/// Guards against balancers that call the store whenever a peer is killed or stopped in turn, while
/// others are up to date: 81 of 176 did so after a loss of power.
#[test]
fn other_peers_are_asked_before_the_store() {
    let mut selector = PeerSelector::new(at(0), peers(3), 2, false, EXPECTED_MAX_AGE);
    selector.on_response(at(0), Duration::ZERO);
    selector.on_failure(at(5_000));
    assert!(matches!(selector.store_need(), StoreNeed::After(t) if t > at(5_000)));
    selector.on_response(at(0), Duration::from_millis(20));
    assert_eq!(selector.store_need(), StoreNeed::None);
}

/// Guards against a fleet of which every balancer calls a store that is down: the direct peers of
/// relays call it, and the balancers behind them wait for these (5,526 calls a day on the large
/// site's trouble-3, 6 s of outage included).
#[test]
fn balancers_behind_others_call_a_lost_store_later() {
    let lost = |is_deep: bool| {
        let mut selector = PeerSelector::new(at(0), peers(3), 0, false, EXPECTED_MAX_AGE);
        if is_deep {
            assert!(selector.on_referral(at(0), &[peer(9)]));
        }
        selector.on_response(at(0), Duration::ZERO);
        for ms in [10, 20, 30, 40] {
            selector.on_response(at(ms), Duration::from_millis(2_100 + ms));
        }
        selector
    };
    assert_eq!(lost(false).store_need(), StoreNeed::NoRelay);
    let mut deep = lost(true);
    let StoreNeed::After(until) = deep.store_need() else {
        panic!("{:?}", deep.store_need());
    };
    assert!((at(4_000)..at(4_500)).contains(&until), "{until}");
    // The wait has an end even while peers respond.
    deep.on_response(at(1_000), Duration::from_secs(3));
    assert_eq!(deep.store_need(), StoreNeed::After(until));
    deep.on_response(at(4_400), Duration::from_secs(6));
    assert_eq!(deep.store_need(), StoreNeed::NoRelay);
}

/// Guards against balancers that lose their peers together and call the store together.
#[test]
fn patience_differs_between_balancers() {
    let until = |n: usize| {
        let offset = n.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let selector = PeerSelector::new(at(0), peers(3), offset, false, EXPECTED_MAX_AGE);
        match selector.store_need() {
            StoreNeed::After(until) => until,
            need => panic!("{need:?}"),
        }
    };
    let mut all: Vec<_> = (0..300).map(until).collect();
    assert!(all.iter().all(|t| (at(200)..at(600)).contains(t)));
    all.sort_unstable();
    all.dedup();
    assert!(all.len() > 200, "{} different times", all.len());
}

/// Guards against a fleet that starts at once before the store has a configuration, and lists it
/// once for each balancer (about 1,000 calls on the large site's quiet-1).
#[test]
fn peers_without_state_are_waited_for() {
    let mut selector = PeerSelector::new(at(0), peers(3), 0, false, EXPECTED_MAX_AGE);
    let until = |selector: &PeerSelector| match selector.store_need() {
        StoreNeed::After(until) => until,
        need => panic!("{need:?}"),
    };
    assert!(until(&selector) < at(600));
    selector.on_contact();
    let extended = until(&selector);
    assert!((at(1_500)..at(2_500)).contains(&extended), "{extended}");
    // Peers that never get a state do not keep the balancer from the store.
    selector.on_contact();
    assert_eq!(until(&selector), extended);
}

/// Guards against balancers that call a store that is down as often as relays do.
#[test]
fn relays_call_a_lost_store_more_often() {
    let calls = |need: StoreNeed| {
        let mut watch = after_list(7);
        let mut now = at(0);
        let mut calls = 0;
        while now < at(6_000) {
            match watch.next_step(now, need, NO_PEER_POSITION) {
                StoreStep::WaitUntil(until) => now = until,
                _ => {
                    calls += 1;
                    watch.on_failure(now, StoreCallError::Refused);
                }
            }
        }
        calls
    };
    assert_eq!((calls(StoreNeed::Relay), calls(StoreNeed::NoRelay)), (9, 5));
}

/// Guards against a start that waits for a relay that is down.
#[test]
fn first_requests_go_to_different_relays() {
    let selector = PeerSelector::new(at(0), peers(3), 1, false, EXPECTED_MAX_AGE);
    let asked: Vec<_> = (0..3)
        .map(|n| selector.for_first_request(n).peer().unwrap())
        .collect();
    assert_eq!(asked, [peer(1), peer(2), peer(0)]);
}

/// Guards against balancers that wait for updates from a relay that has lost the store while
/// another relay has them: configurations came into force 3 s late (vsn-ruf trouble-1, rule
/// CONFIG).
#[test]
fn relay_without_store_is_abandoned_for_another() {
    let mut selector = PeerSelector::new(at(0), peers(3), 0, false, EXPECTED_MAX_AGE);
    selector.on_response(at(0), Duration::from_millis(1_400));
    // The long poll ends when the age shows that the relay has lost the store.
    assert_eq!(selector.long_poll_wait(), Duration::from_millis(600));
    selector.on_response(at(0), Duration::from_millis(2_010));
    assert_eq!(selector.store_need(), StoreNeed::None);
    assert_eq!(
        (selector.peer(), selector.long_poll_wait()),
        (Some(peer(1)), Duration::ZERO)
    );
    selector.on_response(at(0), Duration::from_millis(2_300));
    assert_eq!(
        (selector.peer(), selector.long_poll_wait()),
        (Some(peer(2)), Duration::ZERO)
    );
    selector.on_response(at(0), Duration::from_millis(10));
    assert_eq!(
        (selector.peer(), selector.long_poll_wait()),
        (Some(peer(2)), SECOND)
    );
    assert_eq!(selector.store_need(), StoreNeed::None);
}

/// Guards against balancers that rely on relays none of which reaches the store: with three relays
/// isolated, configurations came into force 5 s late (glag-ore hunt-fd28-51, rule CONFIG).
#[test]
fn store_is_watched_when_all_relays_are_stale() {
    let mut selector = PeerSelector::new(at(0), peers(3), 0, false, EXPECTED_MAX_AGE);
    selector.on_response(at(0), Duration::from_millis(100));
    for needed in [StoreNeed::None, StoreNeed::None, StoreNeed::NoRelay] {
        selector.on_response(at(0), Duration::from_millis(2_100));
        assert_eq!(selector.store_need(), needed);
    }
    // The next round begins with another stale response, which changes nothing.
    selector.on_response(at(0), Duration::from_millis(3_100));
    assert_eq!(selector.store_need(), StoreNeed::NoRelay);
    selector.on_response(at(0), Duration::from_millis(50));
    assert_eq!(selector.store_need(), StoreNeed::None);
}

/// Guards against requests without a wait while no relay reaches the store.
#[test]
fn stale_relays_are_asked_once_a_second() {
    let mut selector = PeerSelector::new(at(0), peers(3), 0, false, EXPECTED_MAX_AGE);
    let mut asked = Vec::new();
    let mut waited = Duration::ZERO;
    for _ in 0..12 {
        asked.push(selector.peer().unwrap());
        waited += selector.long_poll_wait();
        selector.on_response(at(0), Duration::from_secs(3) + waited);
    }
    assert_eq!(waited, 4 * SECOND);
    for n in 0..3 {
        assert_eq!(asked.iter().filter(|p| **p == peer(n)).count(), 4);
    }
}

/// Guards against relays that stop watching the store because another relay is up to date.
#[test]
fn relay_watches_the_store_itself() {
    let mut selector = PeerSelector::new(at(0), peers(2), 0, true, EXPECTED_MAX_AGE);
    selector.on_response(at(0), Duration::ZERO);
    assert_eq!(selector.store_need(), StoreNeed::Relay);
    assert_eq!(
        PeerSelector::new(at(0), Vec::new(), 5, false, EXPECTED_MAX_AGE).peer(),
        None
    );
}

fn watch_without_wait(from: u64) -> StoreStep {
    StoreStep::Watch {
        from: from.into(),
        wait: Duration::ZERO,
    }
}

/// Guards against a relay whose first list stays unconfirmed until something changes.
#[test]
fn relay_confirms_a_stale_list_at_once() {
    let mut watch = WatchLoop::new(settings());
    watch.on_stale_list(at(0), 7.into());
    assert_eq!(
        watch.next_step(at(0), StoreNeed::Relay, NO_PEER_POSITION),
        watch_without_wait(7)
    );
    watch.on_response(at(5), 7.into(), false);
    assert_eq!(
        watch.next_step(at(5), StoreNeed::Relay, NO_PEER_POSITION),
        long_watch(7)
    );
}
