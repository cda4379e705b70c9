//! Checks how balancers find a peer that grants them a lease.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use zinniadrift_core::steering::{Admission, FanOut, PeerInfo, PeerSelector, StoreNeed};
use zinniadrift_core::units::MonoTime;

const ZONES: [&str; 3] = ["lowell", "nashua", "concord"];
const SECOND: Duration = Duration::from_secs(1);
const EXPECTED_MAX_AGE: Duration = Duration::from_secs(2);

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn peer_info(n: u16) -> PeerInfo {
    PeerInfo {
        address: address(n),
        zone: ZONES[usize::from(n) % ZONES.len()].into(),
    }
}

fn fill(fan_out: &mut FanOut, now: MonoTime, peers: impl IntoIterator<Item = u16>) {
    for n in peers {
        assert_eq!(fan_out.admit(now, &peer_info(n)), Admission::Accept);
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
    assert_eq!(fan_out.admit(now, &peer_info(9)), near);
    // No peer of the third zone has a lease.
    let all = [3, 4, 6, 7].map(address).to_vec();
    assert_eq!(fan_out.admit(now, &peer_info(5)), Admission::Refer(all));
    assert_eq!(fan_out.active_leases(now), 4);
}

/// Guards against peers that lose their lease while they send requests, and against leases that are
/// never freed after their peer is gone.
#[test]
fn leases_are_renewed_by_requests() {
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
fn endless_referrals_are_abandoned() {
    let relays = vec![address(1), address(2)];
    let mut selector = PeerSelector::new(MonoTime::default(), relays, 0, false, EXPECTED_MAX_AGE);
    selector.on_response(MonoTime::default(), Duration::ZERO);
    let mut followed = 0;
    while selector.on_referral(MonoTime::default(), &[address(7), address(8)]) {
        assert!([Some(address(7)), Some(address(8))].contains(&selector.peer()));
        followed += 1;
        assert!(followed < 20);
    }
    assert_eq!(selector.peer(), Some(address(2)));
    assert!(matches!(selector.store_need(), StoreNeed::After(_)));
    assert!(!selector.on_referral(MonoTime::default(), &[]));
}

/// Guards against a balancer that stays with a peer that does not respond or whose state is stale.
#[test]
fn failed_or_stale_referred_peer_is_abandoned() {
    let relays = vec![address(1), address(2)];
    let mut selector = PeerSelector::new(MonoTime::default(), relays, 0, false, EXPECTED_MAX_AGE);
    assert!(selector.on_referral(MonoTime::default(), &[address(7)]));
    selector.on_response(MonoTime::default(), Duration::ZERO);
    assert_eq!(selector.peer(), Some(address(7)));
    assert_eq!(selector.store_need(), StoreNeed::None);
    selector.on_failure(MonoTime::default());
    assert_eq!(selector.peer(), Some(address(2)));
    assert!(selector.on_referral(MonoTime::default(), &[address(8)]));
    selector.on_response(MonoTime::default(), Duration::from_secs(9));
    assert_eq!(selector.peer(), Some(address(1)));
}

/// A fleet in which balancers request updates in turn, once in each round.
struct Fleet {
    now: MonoTime,
    fan_outs: HashMap<SocketAddr, FanOut>,
    requesters: Vec<(PeerInfo, PeerSelector)>,
}

impl Fleet {
    fn new(size: u16) -> Self {
        let relays: Vec<SocketAddr> = (0..3).map(address).collect();
        let fan_out = |n| (address(n), FanOut::new(FanOut::capacity_for(None)));
        let selector = |n: u16| {
            let offset = usize::from(n).wrapping_mul(0x9E37_79B9);
            (
                peer_info(n),
                PeerSelector::new(
                    MonoTime::default(),
                    relays.clone(),
                    offset,
                    false,
                    EXPECTED_MAX_AGE,
                ),
            )
        };
        Self {
            now: MonoTime::default(),
            fan_outs: (0..size).map(fan_out).collect(),
            requesters: (3..size).map(selector).collect(),
        }
    }

    /// Lets every balancer send requests until a peer accepts it or does not respond; returns the
    /// number of accepted balancers and the most requests of a single balancer.
    fn round(&mut self) -> (usize, usize) {
        self.now = self.now + SECOND;
        let (mut accepted, mut max_requests) = (0, 0);
        for (requester, selector) in &mut self.requesters {
            let mut requests = 0;
            loop {
                requests += 1;
                let peer = selector.peer().unwrap();
                let Some(fan_out) = self.fan_outs.get_mut(&peer) else {
                    selector.on_failure(MonoTime::default());
                    break;
                };
                match fan_out.admit(self.now, requester) {
                    Admission::Accept => {
                        selector.on_response(MonoTime::default(), Duration::ZERO);
                        accepted += 1;
                        break;
                    }
                    Admission::Refer(peers) => {
                        if !selector.on_referral(MonoTime::default(), &peers) {
                            break;
                        }
                    }
                }
            }
            max_requests = max_requests.max(requests);
        }
        (accepted, max_requests)
    }

    fn remove(&mut self, is_gone: impl Fn(u16) -> bool) {
        self.fan_outs.retain(|a, _| !is_gone(a.port()));
        self.requesters.retain(|(n, _)| !is_gone(n.address.port()));
    }
}

macro_rules! capacities {
    ($($name:ident: $mbps:expr => $capacity:expr;)*) => {
        $(
            /// Guards against a relay on a slow link that has to send many full lists at once, and
            /// against a tree that is deeper than the links ask for.
            #[test]
            fn $name() {
                let link: Option<u32> = $mbps;
                assert_eq!(FanOut::capacity_for(link.map(Into::into)), $capacity);
            }
        )*
    };
}

capacities! {
    capacity_without_a_known_link: None => 16;
    capacity_of_a_slow_link: Some(20) => 16;
    capacity_of_a_medium_link: Some(100) => 25;
    capacity_of_a_fast_link: Some(1_000) => 48;
    capacity_of_an_absurd_link: Some(u32::MAX) => 48;
}

/// Guards against fleets in which a balancer gets no lease.
#[test]
fn every_balancer_of_a_large_fleet_gets_a_lease() {
    for size in [19, 51, 91, 300, 1_000] {
        let mut fleet = Fleet::new(size);
        let (accepted, max_requests) = fleet.round();
        assert_eq!(accepted, usize::from(size) - 3, "of {size}");
        assert!(
            max_requests <= 4,
            "{max_requests} requests of one balancer of {size}"
        );
        assert_eq!(fleet.round(), (usize::from(size) - 3, 1), "of {size}");
    }
}

/// Guards against balancers that stay without a peer after an availability zone and a relay are
/// lost; leases of lost peers expire after three seconds.
#[test]
fn leases_are_regained_after_zone_loss() {
    let mut fleet = Fleet::new(1_000);
    fleet.round();
    fleet.remove(|n| n % 3 == 1);
    let rounds = (0..8).map(|_| fleet.round().0);
    let accepted: Vec<usize> = rounds.collect();
    let all = fleet.requesters.len();
    assert_eq!(accepted[6..], [all, all], "{accepted:?} of {all}");
}
