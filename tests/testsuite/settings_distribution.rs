//! Distribution of settings: how a daemon receives new versions and puts them in force.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;

use zinniadrift_core::distribution::{
    Distribution, DistributionAction, DistributionEvent, DistributionSettings, LiveMember,
    PlatformFailure, select_watchers,
};
use zinniadrift_core::ids::MemberId;
use zinniadrift_core::settings::{Document, Node};
use zinniadrift_core::units::{MonoTime, Version};

fn document(version: u64, edit_id: &str) -> Bytes {
    let doc = Document {
        version: Version::from(version),
        edit_id: edit_id.into(),
        tree: Node::default(),
        ..Document::default()
    };
    serde_json::to_vec(&doc).expect("JSON").into()
}

fn member(name: &str) -> LiveMember {
    LiveMember {
        id: MemberId::from_name(name),
        zone: "lowell".into(),
    }
}

fn platform_answer(version: u64) -> DistributionEvent {
    DistributionEvent::PlatformAnswer {
        revision: version,
        document: Ok(Some(document(version, "e"))),
    }
}

fn peer_document(from: &str, version: u64) -> DistributionEvent {
    DistributionEvent::PeerDocument {
        from: MemberId::from_name(from),
        document: Some(document(version, "e")),
    }
}

fn peer_version(from: &str, version: u64) -> DistributionEvent {
    DistributionEvent::PeerVersion {
        from: MemberId::from_name(from),
        version: Version::from(version),
    }
}

/// The distribution state machine of one daemon, with a simulated clock and the actions of the last
/// event.
struct Harness {
    distribution: Distribution,
    now: MonoTime,
    actions: Vec<DistributionAction>,
}

impl Harness {
    fn new(cfg: &DistributionSettings) -> Self {
        let mut harness = Self {
            distribution: Distribution::new(DistributionSettings {
                member: MemberId::from_name("self"),
                zone: "lowell".into(),
                ..cfg.clone()
            }),
            now: MonoTime::default(),
            actions: Vec::new(),
        };
        harness.handle(DistributionEvent::Tick);
        harness
    }

    fn handle(&mut self, event: DistributionEvent) -> u64 {
        self.actions.clear();
        self.distribution.handle(self.now, event, &mut self.actions);
        self.distribution.version().get()
    }

    fn advance(&mut self, millis: u64) -> u64 {
        self.now = self.now + Duration::from_millis(millis);
        self.handle(DistributionEvent::Tick)
    }

    fn pulls_from(&self, name: &str) -> bool {
        let peer = MemberId::from_name(name);
        self.actions
            .contains(&DistributionAction::PullFrom { peer })
    }
}

/// Declares one test per source that guards against a lower version from it being put in force.
macro_rules! refuses_lower_version {
    ($($name:ident: $event:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut harness = Harness::new(&DistributionSettings::default());
                assert_eq!(harness.handle(platform_answer(7)), 7);
                assert_eq!(harness.handle($event), 7);
                let installs = |a: &DistributionAction| matches!(a, DistributionAction::Install(_));
                assert!(!harness.actions.iter().any(installs));

                let mut unchecked = Harness::new(&DistributionSettings {
                    refuse_lower_versions: false,
                    ..DistributionSettings::default()
                });
                unchecked.handle(platform_answer(7));
                assert_eq!(unchecked.handle($event), 6, "the check of versions prevents the revert");
            }
        )*
    };
}

refuses_lower_version! {
    older_version_of_platform_is_refused: platform_answer(6);
    older_version_of_peer_is_refused: peer_document("a", 6);
}

/// Guards against editors that do not notice a reset of the store to an older state: the daemon
/// must write its status, which contains the higher version.
#[test]
fn older_version_of_platform_causes_status_write() {
    let mut harness = Harness::new(&DistributionSettings::default());
    harness.handle(platform_answer(7));
    harness.advance(2_000);
    let event = DistributionEvent::PlatformAnswer {
        revision: 3,
        document: Ok(Some(document(3, "older"))),
    };
    harness.handle(event);
    assert!(harness.actions.contains(&DistributionAction::WriteStatus));
}

/// Guards against a restarted daemon that puts the older settings of a reset store in force
/// although its peers have a higher version.
#[test]
fn restarted_daemon_prefers_version_of_peers() {
    let mut harness = Harness::new(&DistributionSettings {
        expects_peers: true,
        ..DistributionSettings::default()
    });
    assert_eq!(harness.handle(platform_answer(3)), 0);
    harness.handle(DistributionEvent::Members(vec![member("a")]));
    harness.handle(peer_version("a", 7));
    assert!(harness.pulls_from("a"));
    assert_eq!(harness.handle(peer_document("a", 7)), 7);
}

#[test]
fn started_daemon_uses_platform_if_no_peer_answers() {
    let mut harness = Harness::new(&DistributionSettings {
        expects_peers: true,
        ..DistributionSettings::default()
    });
    harness.handle(platform_answer(3));
    assert_eq!(harness.advance(1_000), 0);
    assert_eq!(harness.advance(500), 3);
}

/// Guards against a started daemon that stays without settings while the platform is unavailable.
#[test]
fn daemon_started_in_outage_pulls_from_peer() {
    let mut harness = Harness::new(&DistributionSettings {
        expects_peers: true,
        ..DistributionSettings::default()
    });
    harness.handle(DistributionEvent::PlatformAnswer {
        revision: 0,
        document: Err(PlatformFailure),
    });
    harness.handle(peer_version("a", 7));
    assert!(harness.pulls_from("a"));
    assert_eq!(harness.advance(1_500), 0);
    harness.handle(peer_version("b", 7));
    assert_eq!(harness.handle(peer_document("b", 7)), 7);
}

/// Guards against a daemon that keeps waiting for a peer that does not answer a pull while another
/// peer offers the same version.
#[test]
fn failed_pull_is_retried_at_next_peer() {
    let mut harness = Harness::new(&DistributionSettings::default());
    harness.handle(platform_answer(1));
    harness.handle(peer_version("a", 2));
    harness.handle(peer_version("b", 2));
    harness.advance(1_000);
    assert!(harness.pulls_from("b"));
}

/// Guards against a new pull at each heartbeat of a peer whose document is malformed.
#[test]
fn malformed_document_is_not_pulled_again_at_once() {
    let mut harness = Harness::new(&DistributionSettings::default());
    harness.handle(platform_answer(1));
    harness.handle(peer_version("a", 2));
    harness.handle(DistributionEvent::PeerDocument {
        from: MemberId::from_name("a"),
        document: Some(Bytes::from_static(b"{}")),
    });
    harness.handle(peer_version("a", 2));
    assert!(!harness.pulls_from("a"));
    harness.handle(peer_version("a", 3));
    assert!(harness.pulls_from("a"));
}

/// Guards against status writes of all daemons without back-off, which would load a platform in an
/// outage.
#[test]
fn failed_status_writes_back_off() {
    let mut harness = Harness::new(&DistributionSettings::default());
    harness.handle(platform_answer(1));
    let mut writes = 0;
    for _ in 0..120 {
        if harness.actions.contains(&DistributionAction::WriteStatus) {
            writes += 1;
            harness.handle(DistributionEvent::StatusWritten { ok: false });
        }
        harness.advance(1_000);
    }
    assert!((2..=12).contains(&writes), "{writes} writes in two minutes");
}

#[test]
fn watch_stops_with_watcher_role() {
    let mut harness = Harness::new(&DistributionSettings::default());
    assert!(harness.distribution.is_watcher());
    let members = (0..50).map(|i| member(&format!("m{i}"))).collect();
    harness.handle(DistributionEvent::Members(members));
    assert!(!harness.distribution.is_watcher());
    assert!(harness.actions.contains(&DistributionAction::StopWatch));
}

proptest! {
    /// Guards against too many watchers and against a join that replaces more than one watcher.
    #[test]
    fn join_replaces_at_most_one_watcher(names in prop::collection::btree_set("[a-z]{4}", 1..20)) {
        let members: Vec<_> = names.iter().map(|n| member(n)).collect();
        let before = select_watchers(&members[1..], &"lowell".into(), 2);
        let after = select_watchers(&members, &"lowell".into(), 2);
        prop_assert_eq!(after.len(), members.len().min(2));
        let lost = before.iter().filter(|id| !after.contains(id)).count();
        prop_assert!(lost <= 1);
    }

    /// Guards against reverts to lower versions, platform calls over the rate limit and deadlines
    /// that are not in the future, under any order of events.
    #[test]
    fn versions_never_decrease(
        events in prop::collection::vec((0_u8..7, 0_u64..9, 0_u64..3_000), 1..120),
        seed in any::<u64>(),
    ) {
        let mut harness = Harness::new(&DistributionSettings { seed, ..Default::default() });
        let mut previous = 0;
        for (kind, n, millis) in events {
            harness.now = harness.now + Duration::from_millis(millis);
            let event = match kind {
                0 => platform_answer(n),
                1 => DistributionEvent::PlatformAnswer { revision: 0, document: Err(PlatformFailure) },
                2 => peer_version("a", n),
                3 => peer_document("a", n),
                4 => DistributionEvent::Members((0..n).map(|i| member(&i.to_string())).collect()),
                5 => DistributionEvent::StatusWritten { ok: n > 4 },
                _ => DistributionEvent::Tick,
            };
            let version = harness.handle(event);
            prop_assert!(version >= previous, "{version} after {previous}");
            previous = version;
            let deadline = harness.distribution.next_deadline();
            prop_assert!(deadline.is_none_or(|t| t > harness.now), "{deadline:?} at {}", harness.now);
        }
        let cfg = DistributionSettings::default();
        let allowed = cfg.call_burst + cfg.calls_per_s * (harness.now.as_micros() as f64 / 1e6);
        let calls = harness.distribution.counters().platform_calls as f64;
        prop_assert!(calls <= allowed + 1.0, "{calls} calls, {allowed} allowed");
    }
}
