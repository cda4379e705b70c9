//! Replays the loss of targets whose hosts refuse connections: callers get the refusal, open another
//! flow at once and never retransmit an opening packet.

use std::net::SocketAddrV4;
use std::time::Duration;

use zinniadrift_core::steering::{OpenEvidence, PlacementSettings, SteeringSettings};

use super::world::{CERTIFICATE, World, ZONE, cookie_of, forwarded, remote_target, target};

/// The time from an opening packet to the caller's next packet.
const OPEN_MS: u64 = 8;
/// The attempts of a caller.
const ATTEMPTS: usize = 3;

const NEAR: std::ops::RangeInclusive<u8> = 1..=40;
const FAR: std::ops::RangeInclusive<u8> = 41..=80;

/// What callers saw.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    failed: usize,
    /// The requests that were answered by a target in another zone.
    far: usize,
}

struct Replay {
    world: World,
    refusing: Vec<SocketAddrV4>,
    next_port: u16,
}

impl Replay {
    fn new(evidence: OpenEvidence, avoid_silent_zones: bool) -> Self {
        let far = FAR.map(remote_target);
        let mut world = World::new(1, NEAR.map(target).chain(far).collect());
        world.core.set_settings(SteeringSettings {
            zone: ZONE.into(),
            placement: PlacementSettings {
                open_evidence: evidence,
                avoid_silent_zones,
                ..PlacementSettings::default()
            },
            ..SteeringSettings::default()
        });
        Self {
            world,
            refusing: Vec::new(),
            next_port: 0,
        }
    }

    /// Sends a request every 200 ms for `seconds`; each takes one flow, or up to three.
    fn run(&mut self, seconds: u64) -> Outcome {
        let mut outcome = Outcome::default();
        for _ in 0..seconds * 5 {
            self.world.confirm();
            self.world.core.tick(self.world.now);
            let start = self.world.now;
            outcome.requests += 1;
            match (0..ATTEMPTS).find_map(|_| self.attempt()) {
                Some(to) => {
                    let is_far = FAR.map(target).any(|t| t.address == to);
                    outcome.far += usize::from(is_far);
                }
                None => outcome.failed += 1,
            }
            self.world.now = start + Duration::from_millis(200);
        }
        outcome
    }

    /// Opens a flow and closes it again; returns its target, or `None` if it is refused.
    fn attempt(&mut self) -> Option<SocketAddrV4> {
        self.next_port += 1;
        let port = self.next_port;
        let w = &mut self.world;
        let verdict = w.open(port, CERTIFICATE, 0);
        let (to, cookie) = (forwarded(verdict), cookie_of(verdict));
        w.advance_clock(OPEN_MS);
        if self.refusing.contains(&to) {
            return None;
        }
        forwarded(w.send(port, CERTIFICATE, cookie));
        forwarded(w.request(port, CERTIFICATE, cookie, 1));
        w.acknowledge(port, CERTIFICATE, cookie, 100);
        Some(to)
    }

    fn refuse(&mut self, targets: impl Iterator<Item = u8>) {
        self.refusing = targets.map(|n| target(n).address).collect();
    }
}

/// Guards against callers that use up their attempts at targets that refuse connections.
#[test]
fn zone_that_refuses_is_left() {
    let failed = |evidence| {
        let mut replay = Replay::new(evidence, true);
        assert_eq!(replay.run(10).failed, 0);
        replay.refuse(NEAR);
        replay.run(8).failed
    };
    let (before, after) = (
        failed(OpenEvidence::Retransmission),
        failed(OpenEvidence::Overdue),
    );
    // Each of the 40 requests fails where only retransmissions count.
    assert_eq!(before, 40);
    assert!(after <= 4, "{after} of 40 requests failed");
}

/// Guards against single targets that get a flow again and again while they refuse connections.
#[test]
fn targets_that_refuse_are_avoided() {
    let failed = |evidence| {
        let mut replay = Replay::new(evidence, true);
        replay.run(5);
        // Half of the zone refuses: an attempt fails as often, and a request one time in eight.
        replay.refuse(NEAR.take(20));
        replay.run(40).failed
    };
    let (before, after) = (
        failed(OpenEvidence::Retransmission),
        failed(OpenEvidence::Overdue),
    );
    assert!(after * 4 <= before, "{after} failed, {before} without");
}

/// Guards against a zone that stays avoided after its targets are back.
#[test]
fn zone_that_is_back_gets_its_flows() {
    let mut replay = Replay::new(OpenEvidence::Overdue, true);
    replay.run(5);
    replay.refuse(NEAR);
    assert!(replay.run(8).far >= 30);
    replay.refuse(std::iter::empty());
    // The last targets that were tried are suspect for up to 12 s.
    replay.run(3);
    let outcome = replay.run(5);
    assert_eq!((outcome.failed, outcome.far), (0, 0), "{outcome:?}");
}

/// Guards against targets that are avoided because answers take longer than they used to: 100 ms on
/// a balancer that became slow, where 8 ms were usual.
#[test]
fn slow_answers_refute_the_suspicion() {
    let mut replay = Replay::new(OpenEvidence::Overdue, true);
    replay.run(5);
    let w = &mut replay.world;
    let mut pending = std::collections::VecDeque::new();
    let mut far = 0;
    for port in 10_000..10_200 {
        let verdict = w.open(port, CERTIFICATE, 0);
        let to = forwarded(verdict);
        far += usize::from(FAR.map(target).any(|t| t.address == to));
        pending.push_back((port, cookie_of(verdict)));
        w.advance_clock(20);
        if pending.len() > 5
            && let Some((port, cookie)) = pending.pop_front()
        {
            forwarded(w.send(port, CERTIFICATE, cookie));
            forwarded(w.request(port, CERTIFICATE, cookie, 1));
            w.acknowledge(port, CERTIFICATE, cookie, 100);
        }
    }
    assert!(far <= 10, "{far} of 200 flows left the zone");
}
