//! Life cycle and synchronisation of members, and the size of the messages between them.

use std::time::Duration;

use zinniadrift_core::balancer::{Mechanisms, PeerMessage, SyncLossReason, TimelineEvent};
use zinniadrift_core::flow::Pin;
use zinniadrift_core::membership::MemberState;

use crate::flows_world::{TargetSpec, World};

fn settled_world(members: usize) -> World {
    World::settled(1, Mechanisms::default(), members)
}

fn member_state(w: &World, member: usize) -> MemberState {
    w.group.members[member].core.state()
}

/// Guards against a member that serves before it has the settings and the flow entries of its
/// peers.
#[test]
fn member_serves_only_after_settings_and_synchronisation() {
    let mut w = settled_world(3);
    let joined = w.join("m9", "bern");
    assert_eq!(member_state(&w, joined), MemberState::Starting);
    // The member pulls the settings from its peers; the platform is not involved.
    w.advance(3_000);
    let timeline = &w.group.members[joined].timeline;
    let position = |e: TimelineEvent| timeline.iter().position(|(_, x)| *x == e);
    let serving = position(TimelineEvent::State(MemberState::Serving));
    assert!(serving.is_some());
    assert!(position(TimelineEvent::Synchronised) < serving);
    assert!(position(TimelineEvent::Settings(1.into())) < serving);
}

/// Guards against a single member that waits for peers before it serves.
#[test]
fn member_without_peers_serves() {
    let w = settled_world(1);
    assert_eq!(member_state(&w, 0), MemberState::Serving);
}

/// Guards against a leaving member that never stops, or that stops without a goodbye to its peers.
#[test]
fn leaving_member_sends_goodbye_and_stops() {
    let mut w = settled_world(3);
    w.group.leave(0);
    w.advance(1_000);
    assert_eq!(member_state(&w, 0), MemberState::Leaving);
    w.advance(2_000);
    assert_eq!(member_state(&w, 0), MemberState::Stopped);
    assert_eq!(w.group.members[1].core.live_peers().len(), 1);
}

/// Guards against messages of an earlier run of a restarted host, which would break its flows.
#[test]
fn restarted_member_keeps_its_flows() {
    let mut w = settled_world(3);
    w.set_target("gradebook", "t0", Some(TargetSpec::DRAINING));
    w.edit_all(Duration::ZERO);
    w.advance(10);
    w.open("gradebook", 100, 0);
    w.advance(1_000);
    w.group.kill(0);
    w.advance(500);
    w.group.restart(0);
    w.advance(5_000);
    assert_eq!(member_state(&w, 0), MemberState::Serving);
    let tally = w.probe(0);
    assert_eq!((tally.kept, tally.broken), (100, 0));
}

/// Guards against an undetected pause of a process, after which it would serve with stale flow
/// entries.
#[test]
fn pause_is_detected_and_resynchronised() {
    let mut w = settled_world(3);
    w.group.pause(2);
    w.advance(4_000);
    w.group.resume(2);
    w.advance(3_000);
    let m = &w.group.members[2];
    let lost = TimelineEvent::Unsynchronised(SyncLossReason::Paused);
    assert!(m.timeline.iter().any(|(_, e)| *e == lost));
    assert!(m.core.is_synchronised());
    assert_eq!(m.core.counters().pauses, 1);
}

/// Guards against control traffic at rest above the budget of 3,000 bytes per second and member:
/// each of the eight members sends one heartbeat per second to each peer.
#[test]
fn messages_at_rest_stay_within_budget() {
    let mut w = settled_world(8);
    let before = w.group.members[0].bytes_sent();
    w.advance(20_000);
    let per_second = (w.group.members[0].bytes_sent() - before) / 20;
    assert!(per_second < 3_000, "{per_second} bytes per second");
}

/// Guards against a publication that does not fit into a datagram of 1,400 bytes.
#[test]
fn largest_publication_fits_datagram() {
    let pins = (0..zinniadrift_core::balancer::MAX_PINS as u32).map(|i| Pin {
        service: i.into(),
        target: i.into(),
        time: u64::MAX.into(),
        caller: "10.0.0.1:65535".parse().expect("an address"),
    });
    let msg = PeerMessage::Publish {
        number: u64::MAX,
        pins: pins.collect(),
    };
    let ip_and_udp = 28;
    assert!(
        msg.encoded_len() - ip_and_udp <= 1_400,
        "{}",
        msg.encoded_len()
    );
}
