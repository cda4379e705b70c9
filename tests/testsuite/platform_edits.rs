//! Edits of the stored settings under faults of the platform.

use std::sync::Arc;

use serde_json::json;

use zinniadrift_core::error::ErrorKind;
use zinniadrift_core::settings::{Document, Node};
use zinniadrift_core::units::Version;
use zinniadrift_store::{
    EditError, MemoryStore, ObjectStore, Precondition, RepositorySettings, SettingsRepository,
    StoreFaults, StoredSettings,
};

type Repository = SettingsRepository<Arc<MemoryStore>>;

const RAMP: &str = "a:policies.flows.ramp_s";
const RATE: &str = "a:policies.flows.publish_rate";

fn repository(store: &Arc<MemoryStore>, cfg: RepositorySettings) -> Repository {
    SettingsRepository::with_settings(Arc::clone(store), "granite", cfg)
}

/// Returns a store that holds one accepted tree, the repositories of two operators, and the stored
/// settings on which both base their edits.
async fn two_operators() -> (Arc<MemoryStore>, [Repository; 2], StoredSettings) {
    let store = Arc::new(MemoryStore::default());
    let first = repository(&store, RepositorySettings::default());
    let second = repository(&store, RepositorySettings::default());
    let tree = Node::parse(br#"{"nodes":{"a":{"policies":{"flows":{"ramp_s":1}}}}}"#);
    let edit = first.apply(tree.expect("a tree")).await;
    assert_eq!(edit.expect("accepted").version, Version::from(1));
    let base = first.read().await.expect("settings");
    (store, [first, second], base)
}

fn with_setting(base: &StoredSettings, path: &str, value: u64) -> Node {
    let path = path.parse().expect("a path");
    let tree = &base.document.tree;
    tree.with_setting(&path, Some(json!(value)))
        .expect("a tree")
}

async fn write_status(store: &MemoryStore, name: &str, version: u64) {
    let status = json!({"name": name, "zone": "lowell", "role": "balancer", "version": version});
    let key = format!("status/granite/{name}");
    let written = store.put(&key, status, Precondition::None).await;
    written.expect("a status");
}

/// Guards against an edit that undoes a concurrent edit of another setting.
#[tokio::test(start_paused = true)]
async fn edits_of_different_settings_are_both_stored() {
    let (_, [first, second], base) = two_operators().await;
    first
        .submit(&base, &with_setting(&base, RAMP, 5))
        .await
        .unwrap();
    let edit = second
        .submit(&base, &with_setting(&base, RATE, 7))
        .await
        .unwrap();
    assert_eq!(edit.version, Version::from(3));
    let flows = &first.read().await.unwrap().document.tree.nodes["a"].policies["flows"];
    assert_eq!(*flows, json!({"ramp_s": 5, "publish_rate": 7}));
}

/// Guards against the later of two edits silently replacing the value of the earlier one.
#[tokio::test(start_paused = true)]
async fn conflict_reports_both_values() {
    let (_, [first, second], base) = two_operators().await;
    first
        .submit(&base, &with_setting(&base, RAMP, 5))
        .await
        .unwrap();
    let e = second
        .submit(&base, &with_setting(&base, RAMP, 7))
        .await
        .unwrap_err();
    assert_eq!(e.kind(), ErrorKind::Conflict);
    let text = e.to_string();
    assert!(
        text.contains("stored 5, wanted 7, both based on 1"),
        "{text}"
    );
    assert_eq!(
        first.read().await.unwrap().document.version,
        Version::from(2)
    );
}

/// Guards against an edit that is reported as failed or stored twice because the answer to its
/// write was lost.
#[tokio::test(start_paused = true)]
async fn lost_answer_is_read_back() {
    let (store, [first, _], base) = two_operators().await;
    store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let edit = first
        .submit(&base, &with_setting(&base, RAMP, 5))
        .await
        .unwrap();
    assert_eq!(edit.version, Version::from(2));
    assert_eq!(
        first.read().await.unwrap().document.version,
        Version::from(2)
    );
}

#[tokio::test(start_paused = true)]
async fn lost_request_is_retried() {
    let (store, [first, _], base) = two_operators().await;
    store.set_faults(StoreFaults {
        lose_requests: 1,
        ..StoreFaults::default()
    });
    let edit = first
        .submit(&base, &with_setting(&base, RAMP, 5))
        .await
        .unwrap();
    assert_eq!(edit.version, Version::from(2));
}

/// Submits an edit whose answer is lost while another operator edits the same setting before the
/// first one reads back.
async fn lost_answer_before_later_edit(read_back: bool) -> Result<Version, EditError> {
    let (store, [_, second], base) = two_operators().await;
    let cfg = RepositorySettings {
        read_back,
        ..RepositorySettings::default()
    };
    let first = repository(&store, cfg);
    store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let wanted = with_setting(&base, RAMP, 5);
    let later = async {
        while second.read().await.expect("settings").document.version < Version::from(2) {
            tokio::task::yield_now().await;
        }
        let base = second.read().await.expect("settings");
        second
            .submit(&base, &with_setting(&base, RAMP, 9))
            .await
            .expect("accepted");
    };
    let (edit, ()) = tokio::join!(first.submit(&base, &wanted), later);
    edit.map(|e| e.version)
}

/// Guards against an accepted edit that is reported as refused because a later edit changed the
/// same setting before the read-back.
#[tokio::test(start_paused = true)]
async fn lost_answer_before_later_edit_is_accepted() {
    let version = lost_answer_before_later_edit(true).await.unwrap();
    assert_eq!(version, Version::from(2));
}

/// Shows the fault that the read-back of edit ids prevents: a stored edit is reported as a
/// conflict.
#[tokio::test(start_paused = true)]
async fn without_read_back_stored_edit_is_refused() {
    let e = lost_answer_before_later_edit(false).await.unwrap_err();
    assert_eq!(e.kind(), ErrorKind::Conflict, "{e}");
}

/// Guards against an edit that is reported as failed although it may have been stored before an
/// outage.
#[tokio::test(start_paused = true)]
async fn outage_after_write_is_outcome_unknown() {
    let (store, [first, _], base) = two_operators().await;
    store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let wanted = with_setting(&base, RAMP, 5);
    let calls = store.calls();
    let outage = async {
        while store.calls() < calls + 2 {
            tokio::task::yield_now().await;
        }
        store.set_faults(StoreFaults {
            down: true,
            ..StoreFaults::default()
        });
    };
    let (edit, ()) = tokio::join!(first.submit(&base, &wanted), outage);
    assert_eq!(edit.unwrap_err().kind(), ErrorKind::OutcomeUnknown);
}

#[tokio::test(start_paused = true)]
async fn outage_is_platform_unavailable() {
    let (store, [first, _], base) = two_operators().await;
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let e = first
        .submit(&base, &with_setting(&base, RAMP, 5))
        .await
        .unwrap_err();
    assert_eq!(e.kind(), ErrorKind::PlatformUnavailable);
}

/// Guards against a conflict that is reported because a stale read returned a state older than the
/// base.
#[tokio::test(start_paused = true)]
async fn stale_reads_do_not_fail_edit() {
    let (store, [first, second], base) = two_operators().await;
    first
        .submit(&base, &with_setting(&base, RAMP, 5))
        .await
        .unwrap();
    let base = first.read().await.unwrap();
    second
        .submit(&base, &with_setting(&base, RATE, 3))
        .await
        .unwrap();
    store.set_faults(StoreFaults {
        stale_reads: 3,
        ..StoreFaults::default()
    });
    let edit = first
        .submit(&base, &with_setting(&base, RAMP, 6))
        .await
        .unwrap();
    assert_eq!(edit.version, Version::from(4));
}

/// Guards against an accepted edit that daemons would refuse: after a reset of the store to an
/// older state, its version would not be above theirs.
#[tokio::test(start_paused = true)]
async fn edits_of_reset_store_are_refused() {
    let (store, [first, _], base) = two_operators().await;
    let old = store.snapshot();
    first
        .submit(&base, &with_setting(&base, RAMP, 5))
        .await
        .unwrap();
    store.restore(old);
    write_status(&store, "balancer-1", 2).await;
    let base = first.read().await.unwrap();
    let e = first
        .submit(&base, &with_setting(&base, RAMP, 7))
        .await
        .unwrap_err();
    assert_eq!(e.kind(), ErrorKind::Conflict);
    let text = e.to_string();
    assert!(
        text.contains("holds version 1, but balancer-1 had version 2"),
        "{text}"
    );

    let recover = RepositorySettings {
        recover: true,
        ..RepositorySettings::default()
    };
    let recovery = repository(&store, recover);
    let edit = recovery
        .submit(&base, &with_setting(&base, RAMP, 7))
        .await
        .unwrap();
    assert_eq!(edit.version, Version::from(3));
}

#[tokio::test(start_paused = true)]
async fn recent_edits_are_bounded() {
    let mut doc = Document::default();
    for i in 0..200 {
        let id = format!("{i}").into_boxed_str();
        doc = doc.successor(id, Node::default(), Version::default());
    }
    assert_eq!(doc.recent_edits.len(), Document::RECENT_EDITS);
    assert_eq!(doc.version_of_edit("199"), Some(Version::from(200)));
    assert_eq!(doc.version_of_edit("150"), Some(Version::from(151)));
    assert_eq!(doc.version_of_edit("1"), None);
}
