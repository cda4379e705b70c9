//! Checks how balancers find a peer that grants them a lease.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use zinniadrift_core::steering::{Admission, FanOut, PeerInfo, PeerSelector, StoreNeed};
use zinniadrift_core::units::MonoTime;

const ZONES: [&str; 3] = ["lowell", "nashua", "concord"];
const SECOND: Duration = Duration::from_secs(1);
const USUAL_AGE: Duration = Duration::from_secs(2);

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn name(n: u16) -> PeerInfo {
    PeerInfo {
        address: address(n),
        zone: ZONES[usize::from(n) % ZONES.len()].into(),
    }
}

fn fill(fan_out: &mut FanOut, now: MonoTime, peers: impl IntoIterator<Item = u16>) {
    for n in peers {
        assert_eq!(fan_out.admit(now, &name(n)), Admission::Accept);
    }
}

/// Guards against an unbounded number of peers at one balancer, and against referrals to another
/// zone without need.
#[test]
fn full_balancer_refers_within_the_zone() {
    let now = MonoTime::default();
    let mut fan_out = FanOut::new(4);
    fill(&mut fan_out, now, [3, 4, 6, 7]);
    let near = Admission::Refer(vec![address(3), address(6)]);
    assert_eq!(fan_out.admit(now, &name(9)), near);
    // No peer of the third zone has a lease.
    let all = [3, 4, 6, 7].map(address).to_vec();
    assert_eq!(fan_out.admit(now, &name(5)), Admission::Refer(all));
    assert_eq!(fan_out.active_leases(now), 4);
}

/// Guards against peers that lose their lease while they send requests, and against leases that are
/// never freed after their peer is gone.
#[test]
fn places_are_kept_while_they_are_used() {
    let mut now = MonoTime::default();
    let mut fan_out = FanOut::new(2);
    fill(&mut fan_out, now, [3, 4]);
    for _ in 0..5 {
        now = now + SECOND;
        fill(&mut fan_out, now, [3]);
    }
    fill(&mut fan_out, now, [5, 3]);
    assert_eq!(fan_out.active_leases(now), 2);
}

/// Guards against a balancer that follows circular referrals forever.
#[test]
fn endless_referrals_are_left() {
    let relays = vec![address(1), address(2)];
    let mut choice = PeerSelector::new(relays, 0, false, USUAL_AGE);
    choice.on_response(Duration::ZERO);
    let mut followed = 0;
    while choice.on_referral(&[address(7), address(8)]) {
        assert!([Some(address(7)), Some(address(8))].contains(&choice.peer()));
        followed += 1;
        assert!(followed < 20);
    }
    assert_eq!(choice.peer(), Some(address(2)));
    assert_eq!(choice.store_need(), StoreNeed::NoRelay);
    assert!(!choice.on_referral(&[]));
}

/// Guards against a balancer that stays with a peer that does not respond or whose state is stale.
#[test]
fn referred_peer_is_left() {
    let relays = vec![address(1), address(2)];
    let mut choice = PeerSelector::new(relays, 0, false, USUAL_AGE);
    assert!(choice.on_referral(&[address(7)]));
    choice.on_response(Duration::ZERO);
    assert_eq!(choice.peer(), Some(address(7)));
    assert_eq!(choice.store_need(), StoreNeed::None);
    choice.on_failure();
    assert_eq!(choice.peer(), Some(address(2)));
    assert!(choice.on_referral(&[address(8)]));
    choice.on_response(Duration::from_secs(9));
    assert_eq!(choice.peer(), Some(address(1)));
}

/// A fleet in which balancers request updates in turn, once in each round.
struct Fleet {
    now: MonoTime,
    fan_outs: HashMap<SocketAddr, FanOut>,
    asking: Vec<(PeerInfo, PeerSelector)>,
}

impl Fleet {
    fn new(size: u16) -> Self {
        let relays: Vec<SocketAddr> = (0..3).map(address).collect();
        let fan_out = |n| (address(n), FanOut::new(FanOut::DEFAULT_CAPACITY));
        let choice = |n: u16| {
            let spread = usize::from(n).wrapping_mul(0x9E37_79B9);
            (
                name(n),
                PeerSelector::new(relays.clone(), spread, false, USUAL_AGE),
            )
        };
        Self {
            now: MonoTime::default(),
            fan_outs: (0..size).map(fan_out).collect(),
            asking: (3..size).map(choice).collect(),
        }
    }

    /// Lets every balancer send requests until a peer accepts it or does not respond; returns the
    /// number of accepted balancers and the most requests of a single balancer.
    fn round(&mut self) -> (usize, usize) {
        self.now = self.now + SECOND;
        let (mut answered, mut most) = (0, 0);
        for (asker, choice) in &mut self.asking {
            let mut questions = 0;
            loop {
                questions += 1;
                let peer = choice.peer().unwrap();
                let Some(fan_out) = self.fan_outs.get_mut(&peer) else {
                    choice.on_failure();
                    break;
                };
                match fan_out.admit(self.now, asker) {
                    Admission::Accept => {
                        choice.on_response(Duration::ZERO);
                        answered += 1;
                        break;
                    }
                    Admission::Refer(peers) => {
                        if !choice.on_referral(&peers) {
                            break;
                        }
                    }
                }
            }
            most = most.max(questions);
        }
        (answered, most)
    }

    fn remove(&mut self, gone: impl Fn(u16) -> bool) {
        self.fan_outs.retain(|a, _| !gone(a.port()));
        self.asking.retain(|(n, _)| !gone(n.address.port()));
    }
}

/// Guards against fleets in which a balancer gets no lease.
#[test]
fn every_balancer_of_a_large_fleet_finds_a_place() {
    for size in [19, 51, 91, 300, 1_000] {
        let mut fleet = Fleet::new(size);
        let (answered, most) = fleet.round();
        assert_eq!(answered, usize::from(size) - 3, "of {size}");
        assert!(most <= 4, "{most} questions of one balancer of {size}");
        assert_eq!(fleet.round(), (usize::from(size) - 3, 1), "of {size}");
    }
}

/// Guards against balancers that stay without a peer after an availability zone and a relay are
/// lost; leases of lost peers expire after three seconds.
#[test]
fn places_are_found_again_after_the_loss_of_a_zone() {
    let mut fleet = Fleet::new(1_000);
    fleet.round();
    fleet.remove(|n| n % 3 == 1);
    let rounds = (0..8).map(|_| fleet.round().0);
    let answered: Vec<usize> = rounds.collect();
    let all = fleet.asking.len();
    assert_eq!(answered[6..], [all, all], "{answered:?} of {all}");
}
