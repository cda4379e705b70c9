//! Checks which calls a balancer makes to the store and to its peers.

use std::net::SocketAddr;
use std::time::Duration;

use zinniadrift_core::steering::{
    PeerSelector, Revision, StoreCallError, StoreNeed, StoreStep, WatchLoop, WatchSettings,
};
use zinniadrift_core::units::MonoTime;

const USUAL_AGE: Duration = Duration::from_secs(2);
const NONE: Revision = Revision::ZERO;

const SECOND: Duration = Duration::from_secs(1);

fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn settings() -> WatchSettings {
    WatchSettings {
        watch_wait: Duration::from_secs(4),
        coalesce_delay: Duration::from_millis(400),
        relay_wait: Duration::from_millis(300),
        retry_min: Duration::from_millis(100),
        retry_max: Duration::from_secs(1),
    }
}

fn listed(revision: u64) -> WatchLoop {
    let mut watch = WatchLoop::new(settings());
    assert_eq!(
        watch.next_step(at(0), StoreNeed::NoRelay, NONE),
        StoreStep::List { stale: true }
    );
    watch.on_response(at(0), revision.into(), false);
    watch
}

fn watching(from: u64) -> StoreStep {
    StoreStep::Watch {
        from: from.into(),
        wait: Duration::from_secs(4),
    }
}

/// Guards against lists where a watch is sufficient.
#[test]
fn one_list_then_watches() {
    let mut watch = listed(7);
    assert_eq!(
        watch.next_step(at(1), StoreNeed::NoRelay, NONE),
        watching(7)
    );
    watch.on_response(at(2), 9.into(), false);
    assert_eq!(
        watch.next_step(at(3), StoreNeed::NoRelay, NONE),
        watching(9)
    );
}

/// Guards against a separate call for each of many changes in quick succession.
#[test]
fn changes_close_together_are_collected() {
    let mut watch = listed(7);
    watch.on_response(at(100), 8.into(), true);
    assert_eq!(
        watch.next_step(at(100), StoreNeed::NoRelay, NONE),
        StoreStep::WaitUntil(at(500))
    );
    assert_eq!(
        watch.next_step(at(500), StoreNeed::NoRelay, NONE),
        watching(8)
    );
}

/// Guards against calls by a balancer that a relay keeps up to date.
#[test]
fn relayed_balancer_makes_no_call() {
    let mut watch = listed(7);
    assert_eq!(
        watch.next_step(at(1), StoreNeed::None, NONE),
        StoreStep::Idle
    );
    // When the relay is lost, the watch begins at the revision that the relay provided. The store
    // may be lost too, so the first call does not wait.
    assert_eq!(
        watch.next_step(at(2), StoreNeed::NoRelay, 40.into()),
        confirming(40)
    );
    watch.on_response(at(3), 41.into(), false);
    assert_eq!(
        watch.next_step(at(3), StoreNeed::NoRelay, NONE),
        watching(41)
    );
}

/// Guards against a new balancer that waits for a relay before its first list.
#[test]
fn newcomer_lists_at_once() {
    let mut watch = WatchLoop::new(settings());
    let step = watch.next_step(at(0), StoreNeed::None, NONE);
    assert_eq!(step, StoreStep::List { stale: true });
}

/// Guards against a watch on history that the store has compacted, and against a stale list after
/// it.
#[test]
fn dropped_history_is_followed_by_a_current_list() {
    let mut watch = listed(7);
    watch.on_failure(at(10), StoreCallError::Compacted);
    let step = watch.next_step(at(10), StoreNeed::NoRelay, NONE);
    assert_eq!(step, StoreStep::List { stale: false });
}

/// Guards against calls without back-off to a store that reports compaction on every call.
#[test]
fn repeated_loss_of_history_is_slowed_down() {
    let mut watch = listed(7);
    watch.on_failure(at(10), StoreCallError::Compacted);
    watch.on_failure(at(10), StoreCallError::Compacted);
    let step = watch.next_step(at(10), StoreNeed::NoRelay, NONE);
    assert!(matches!(step, StoreStep::WaitUntil(_)), "{step:?}");
}

/// Guards against calls without back-off to a store that refuses them or does not respond.
#[test]
fn failures_are_retried_with_growing_pauses() {
    for fault in [
        StoreCallError::Refused,
        StoreCallError::NoAnswer,
        StoreCallError::Unreadable,
    ] {
        let mut watch = listed(7);
        let mut now = at(0);
        let mut pauses = Vec::new();
        for _ in 0..6 {
            watch.on_failure(now, fault);
            let StoreStep::WaitUntil(until) = watch.next_step(now, StoreNeed::NoRelay, NONE) else {
                panic!("no pause after {fault}");
            };
            pauses.push(until.since(now).as_millis());
            now = until;
        }
        assert_eq!(pauses, [100, 200, 400, 800, 1_000, 1_000], "{fault}");
        watch.on_response(now, 8.into(), false);
        assert_eq!(watch.next_step(now, StoreNeed::NoRelay, NONE), watching(8));
    }
}

/// Guards against a long watch at a store that accepts calls and never responds: a change right
/// after its recovery came into force 4 s late (glag-ore mix --seed 412175982773, rule CONFIG).
#[test]
fn failed_call_is_followed_by_a_short_one() {
    for fault in [StoreCallError::Refused, StoreCallError::NoAnswer] {
        let mut watch = listed(7);
        watch.on_failure(at(0), fault);
        let step = watch.next_step(at(100), StoreNeed::Relay, NONE);
        assert_eq!(step, confirming(7), "{fault}");
        watch.on_response(at(110), 8.into(), false);
        let step = watch.next_step(at(110), StoreNeed::Relay, NONE);
        assert_eq!(step, watching(8));
    }
}

/// Guards against state that is not read again after a pause of the process.
#[test]
fn restart_lists_again() {
    let mut watch = listed(7);
    watch.restart(at(50));
    let step = watch.next_step(at(50), StoreNeed::NoRelay, NONE);
    assert_eq!(step, StoreStep::List { stale: false });
}

fn peer(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn peers(n: u16) -> Vec<SocketAddr> {
    (0..n).map(peer).collect()
}

/// Guards against a balancer that relies on a relay whose state is stale.
#[test]
fn outdated_relay_is_left() {
    let mut choice = PeerSelector::new(peers(3), 1, false, USUAL_AGE);
    assert_eq!(choice.store_need(), StoreNeed::NoRelay);
    assert_eq!(choice.peer(), Some(peer(1)));
    choice.on_response(Duration::from_secs(1));
    assert_eq!(choice.store_need(), StoreNeed::None);
    choice.on_response(Duration::from_secs(7));
    assert_eq!(choice.store_need(), StoreNeed::NoRelay);
    assert_eq!(choice.peer(), Some(peer(2)));
}

/// Guards against a balancer that gets no updates while its relay is down.
#[test]
fn silent_relay_is_left() {
    let mut choice = PeerSelector::new(peers(3), 2, false, USUAL_AGE);
    choice.on_response(Duration::ZERO);
    choice.on_failure();
    assert_eq!(choice.store_need(), StoreNeed::NoRelay);
    assert_eq!(choice.peer(), Some(peer(0)));
}

/// Guards against balancers that wait for updates from a relay that has lost the store while
/// another relay has them: configurations came into force 3 s late (vsn-ruf trouble-1, rule CONFIG).
#[test]
fn relay_without_the_store_is_left_for_another() {
    let mut choice = PeerSelector::new(peers(3), 0, false, USUAL_AGE);
    choice.on_response(Duration::from_millis(1_400));
    // The long poll ends when the age shows that the relay has lost the store.
    assert_eq!(choice.long_poll_wait(), Duration::from_millis(600));
    choice.on_response(Duration::from_millis(2_010));
    assert_eq!(choice.store_need(), StoreNeed::None);
    assert_eq!(
        (choice.peer(), choice.long_poll_wait()),
        (Some(peer(1)), Duration::ZERO)
    );
    choice.on_response(Duration::from_millis(2_300));
    assert_eq!(
        (choice.peer(), choice.long_poll_wait()),
        (Some(peer(2)), Duration::ZERO)
    );
    choice.on_response(Duration::from_millis(10));
    assert_eq!(
        (choice.peer(), choice.long_poll_wait()),
        (Some(peer(2)), SECOND)
    );
    assert_eq!(choice.store_need(), StoreNeed::None);
}

/// Guards against balancers that rely on relays none of which reaches the store: with three relays
/// isolated, configurations came into force 5 s late (glag-ore hunt-fd28-51, rule CONFIG).
#[test]
fn store_is_asked_when_no_relay_hears_from_it() {
    let mut choice = PeerSelector::new(peers(3), 0, false, USUAL_AGE);
    choice.on_response(Duration::from_millis(100));
    for needed in [StoreNeed::None, StoreNeed::None, StoreNeed::NoRelay] {
        choice.on_response(Duration::from_millis(2_100));
        assert_eq!(choice.store_need(), needed);
    }
    // The next round begins with another stale response, which changes nothing.
    choice.on_response(Duration::from_millis(3_100));
    assert_eq!(choice.store_need(), StoreNeed::NoRelay);
    choice.on_response(Duration::from_millis(50));
    assert_eq!(choice.store_need(), StoreNeed::None);
}

/// Guards against requests without a wait while no relay reaches the store.
#[test]
fn each_relay_is_asked_once_a_second_without_the_store() {
    let mut choice = PeerSelector::new(peers(3), 0, false, USUAL_AGE);
    let mut asked = Vec::new();
    let mut waited = Duration::ZERO;
    for _ in 0..12 {
        asked.push(choice.peer().unwrap());
        waited += choice.long_poll_wait();
        choice.on_response(Duration::from_secs(3) + waited);
    }
    assert_eq!(waited, 4 * SECOND);
    for n in 0..3 {
        assert_eq!(asked.iter().filter(|p| **p == peer(n)).count(), 4);
    }
}

/// Guards against relays that stop watching the store because another relay is up to date.
#[test]
fn relay_watches_the_store_itself() {
    let mut choice = PeerSelector::new(peers(2), 0, true, USUAL_AGE);
    choice.on_response(Duration::ZERO);
    assert_eq!(choice.store_need(), StoreNeed::Relay);
    assert_eq!(
        PeerSelector::new(Vec::new(), 5, false, USUAL_AGE).peer(),
        None
    );
}

fn confirming(from: u64) -> StoreStep {
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
        watch.next_step(at(0), StoreNeed::Relay, NONE),
        confirming(7)
    );
    watch.on_response(at(5), 7.into(), false);
    assert_eq!(watch.next_step(at(5), StoreNeed::Relay, NONE), watching(7));
}

/// Guards against calls to the store by a new balancer that a relay is about to update.
#[test]
fn newcomer_gives_relays_a_moment() {
    let mut watch = WatchLoop::new(settings());
    watch.on_stale_list(at(0), 7.into());
    let step = watch.next_step(at(0), StoreNeed::NoRelay, NONE);
    assert_eq!(step, StoreStep::WaitUntil(at(300)));
    assert_eq!(
        watch.next_step(at(300), StoreNeed::NoRelay, NONE),
        confirming(7)
    );
}
