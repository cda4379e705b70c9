//! Checks how one daemon learns of settings and puts them in force.

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

fn platform(version: u64) -> DistributionEvent {
    DistributionEvent::PlatformAnswer {
        revision: version,
        document: Ok(Some(document(version, "e"))),
    }
}

fn pulled(from: &str, version: u64) -> DistributionEvent {
    DistributionEvent::PeerDocument {
        from: MemberId::from_name(from),
        document: Some(document(version, "e")),
    }
}

fn offered(from: &str, version: u64) -> DistributionEvent {
    DistributionEvent::PeerVersion {
        from: MemberId::from_name(from),
        version: Version::from(version),
    }
}

/// Drives one daemon and keeps the actions of the last event.
struct Driver {
    core: Distribution,
    now: MonoTime,
    out: Vec<DistributionAction>,
}

impl Driver {
    fn new(cfg: &DistributionSettings) -> Self {
        let mut driver = Self {
            core: Distribution::new(DistributionSettings {
                member: MemberId::from_name("self"),
                zone: "lowell".into(),
                ..cfg.clone()
            }),
            now: MonoTime::default(),
            out: Vec::new(),
        };
        driver.give(DistributionEvent::Tick);
        driver
    }

    fn give(&mut self, event: DistributionEvent) -> u64 {
        self.out.clear();
        self.core.handle(self.now, event, &mut self.out);
        self.core.version().get()
    }

    fn wait(&mut self, millis: u64) -> u64 {
        self.now = self.now + Duration::from_millis(millis);
        self.give(DistributionEvent::Tick)
    }

    fn pulls_from(&self, name: &str) -> bool {
        let peer = MemberId::from_name(name);
        self.out.contains(&DistributionAction::PullFrom { peer })
    }
}

/// Guards against a lower version put in force, by source.
macro_rules! refuses_lower {
    ($($name:ident: $event:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut driver = Driver::new(&DistributionSettings::default());
                assert_eq!(driver.give(platform(7)), 7);
                assert_eq!(driver.give($event), 7);
                let installs = |a: &DistributionAction| matches!(a, DistributionAction::Install(_));
                assert!(!driver.out.iter().any(installs));

                let mut unchecked = Driver::new(&DistributionSettings {
                    refuse_lower_versions: false,
                    ..DistributionSettings::default()
                });
                unchecked.give(platform(7));
                assert_eq!(unchecked.give($event), 6, "the check of versions prevents the revert");
            }
        )*
    };
}

refuses_lower! {
    older_platform: platform(6);
    older_peer: pulled("a", 6);
}

/// Guards against editors that do not see that the store went back.
#[test]
fn older_platform_causes_a_status_write() {
    let mut driver = Driver::new(&DistributionSettings::default());
    driver.give(platform(7));
    driver.wait(2_000);
    let event = DistributionEvent::PlatformAnswer {
        revision: 3,
        document: Ok(Some(document(3, "older"))),
    };
    driver.give(event);
    assert!(driver.out.contains(&DistributionAction::WriteStatus));
}

/// Guards against a restarted daemon that serves the older state of a restored store.
#[test]
fn newcomer_prefers_the_version_of_its_peers() {
    let mut driver = Driver::new(&DistributionSettings {
        expects_peers: true,
        ..DistributionSettings::default()
    });
    assert_eq!(driver.give(platform(3)), 0);
    driver.give(DistributionEvent::Members(vec![member("a")]));
    driver.give(offered("a", 7));
    assert!(driver.pulls_from("a"));
    assert_eq!(driver.give(pulled("a", 7)), 7);
}

#[test]
fn newcomer_without_answering_peers_uses_the_platform() {
    let mut driver = Driver::new(&DistributionSettings {
        expects_peers: true,
        ..DistributionSettings::default()
    });
    driver.give(platform(3));
    assert_eq!(driver.wait(1_000), 0);
    assert_eq!(driver.wait(500), 3);
}

/// Guards against a newcomer without settings while the platform is down.
#[test]
fn newcomer_during_an_outage_pulls_from_a_peer() {
    let mut driver = Driver::new(&DistributionSettings {
        expects_peers: true,
        ..DistributionSettings::default()
    });
    driver.give(DistributionEvent::PlatformAnswer {
        revision: 0,
        document: Err(PlatformFailure),
    });
    driver.give(offered("a", 7));
    assert!(driver.pulls_from("a"));
    assert_eq!(driver.wait(1_500), 0);
    driver.give(offered("b", 7));
    assert_eq!(driver.give(pulled("b", 7)), 7);
}

/// Guards against waiting for a peer that does not deliver while another one could.
#[test]
fn failed_pull_goes_to_the_next_peer() {
    let mut driver = Driver::new(&DistributionSettings::default());
    driver.give(platform(1));
    driver.give(offered("a", 2));
    driver.give(offered("b", 2));
    driver.wait(1_000);
    assert!(driver.pulls_from("b"));
}

/// Guards against a pull at each heartbeat of a peer whose document this daemon cannot read.
#[test]
fn faulty_document_is_not_pulled_again_at_once() {
    let mut driver = Driver::new(&DistributionSettings::default());
    driver.give(platform(1));
    driver.give(offered("a", 2));
    driver.give(DistributionEvent::PeerDocument {
        from: MemberId::from_name("a"),
        document: Some(Bytes::from_static(b"{}")),
    });
    driver.give(offered("a", 2));
    assert!(!driver.pulls_from("a"));
    driver.give(offered("a", 3));
    assert!(driver.pulls_from("a"));
}

/// Guards against status writes of all daemons that load a platform in an outage.
#[test]
fn failed_status_writes_become_rare() {
    let mut driver = Driver::new(&DistributionSettings::default());
    driver.give(platform(1));
    let mut writes = 0;
    for _ in 0..120 {
        if driver.out.contains(&DistributionAction::WriteStatus) {
            writes += 1;
            driver.give(DistributionEvent::StatusWritten { ok: false });
        }
        driver.wait(1_000);
    }
    assert!((2..=12).contains(&writes), "{writes} writes in two minutes");
}

#[test]
fn watches_end_with_the_role() {
    let mut driver = Driver::new(&DistributionSettings::default());
    assert!(driver.core.is_watcher());
    let members = (0..50).map(|i| member(&format!("m{i}"))).collect();
    driver.give(DistributionEvent::Members(members));
    assert!(!driver.core.is_watcher());
    assert!(driver.out.contains(&DistributionAction::StopWatch));
}

proptest! {
    /// Guards against too many watchers, and against roles that move without need.
    #[test]
    fn a_join_moves_at_most_one_role(names in prop::collection::btree_set("[a-z]{4}", 1..20)) {
        let members: Vec<_> = names.iter().map(|n| member(n)).collect();
        let before = select_watchers(&members[1..], &"lowell".into(), 2);
        let after = select_watchers(&members, &"lowell".into(), 2);
        prop_assert_eq!(after.len(), members.len().min(2));
        let lost = before.iter().filter(|id| !after.contains(id)).count();
        prop_assert!(lost <= 1);
    }

    /// Guards against reverts, calls over the budget and deadlines that are never met, under any
    /// order of events.
    #[test]
    fn versions_only_rise(
        events in prop::collection::vec((0_u8..7, 0_u64..9, 0_u64..3_000), 1..120),
        seed in any::<u64>(),
    ) {
        let mut driver = Driver::new(&DistributionSettings { seed, ..Default::default() });
        let mut held = 0;
        for (kind, n, millis) in events {
            driver.now = driver.now + Duration::from_millis(millis);
            let event = match kind {
                0 => platform(n),
                1 => DistributionEvent::PlatformAnswer { revision: 0, document: Err(PlatformFailure) },
                2 => offered("a", n),
                3 => pulled("a", n),
                4 => DistributionEvent::Members((0..n).map(|i| member(&i.to_string())).collect()),
                5 => DistributionEvent::StatusWritten { ok: n > 4 },
                _ => DistributionEvent::Tick,
            };
            let version = driver.give(event);
            prop_assert!(version >= held, "{version} after {held}");
            held = version;
            let deadline = driver.core.next_deadline();
            prop_assert!(deadline.is_none_or(|t| t > driver.now), "{deadline:?} at {}", driver.now);
        }
        let cfg = DistributionSettings::default();
        let allowed = cfg.call_burst + cfg.calls_per_s * (driver.now.as_micros() as f64 / 1e6);
        let calls = driver.core.counters().platform_calls as f64;
        prop_assert!(calls <= allowed + 1.0, "{calls} calls, {allowed} allowed");
    }
}
