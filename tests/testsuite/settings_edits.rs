//! Change lists and three-way merges of settings trees, and parsing of arbitrary input without
//! panics.

use std::collections::BTreeMap;

use proptest::prelude::*;
use serde_json::json;

use zinniadrift_core::settings::{Document, Node, ServiceCatalog, SettingChange};

fn tree(gradebook: &str, corevault_ramp: u64) -> Node {
    let json = json!({"nodes": {
        "gradebook": {
            "service": {"address": "127.0.0.1:1"},
            "targets": {"a": {"address": "127.0.0.1:2", "zone": "lowell", "state": gradebook}},
        },
        "corevault": {"policies": {"flows": {"ramp_s": corevault_ramp}}},
    }});
    Node::parse(json.to_string().as_bytes()).expect("an accepted tree")
}

#[test]
fn change_list_shows_both_values() {
    let changes = SettingChange::between(&tree("active", 5), &tree("draining", 5));
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [r#"$.nodes.gradebook.targets.a.state: "active" -> "draining""#]
    );
}

#[test]
fn merge_keeps_both_edits() {
    let base = tree("active", 5);
    let merged = tree("active", 9).three_way_merge(&base, &tree("draining", 5));
    assert_eq!(merged.unwrap(), tree("draining", 9));
}

/// Guards against the second of two edits silently replacing the first.
#[test]
fn merge_refuses_same_setting() {
    let base = tree("active", 5);
    let conflicts = tree("active", 9)
        .three_way_merge(&base, &tree("draining", 7))
        .unwrap_err();
    assert_eq!(
        conflicts[0].to_string(),
        "$.nodes.corevault.policies.flows.ramp_s: stored 9, wanted 7, both based on 5"
    );
    assert_eq!(conflicts.len(), 1);
}

/// Guards against an edit that restores a node which another edit removed.
#[test]
fn merge_refuses_removed_node() {
    let base = tree("active", 5);
    let mut stored = base.clone();
    stored.nodes.remove("corevault");
    let mut wanted = base.clone();
    let path = "corevault:policies.flows.publish_rate".parse().unwrap();
    wanted = wanted.with_setting(&path, Some(json!(3.0))).unwrap();
    assert!(stored.three_way_merge(&base, &wanted).is_err());
}

/// Generates trees whose values may be out of range; node names come from a small set so that trees
/// overlap.
fn any_tree() -> impl Strategy<Value = Node> {
    let leaf = (0_u8..3, 0_u64..4).prop_map(|(kind, n)| match kind {
        0 => Node::default(),
        1 => serde_json::from_value(json!({"policies": {"flows": {"ramp_s": n}}})).expect("a node"),
        _ => serde_json::from_value(json!({
            "service": {"address": format!("127.0.0.1:{}", n + 1)},
            "targets": {"t": {"address": "127.0.0.1:9", "zone": "bern", "weight": n}},
        }))
        .expect("a node"),
    });
    leaf.prop_recursive(3, 16, 3, |inner| {
        prop::collection::btree_map("[abc]", inner, 0..3).prop_map(|nodes| Node {
            nodes: nodes
                .into_iter()
                .map(|(name, node)| (name.into(), node))
                .collect::<BTreeMap<Box<str>, Node>>(),
            ..Node::default()
        })
    })
}

proptest! {
    /// Guards against a change list that lacks a difference between two trees.
    #[test]
    fn change_list_transforms_one_tree_into_the_other(a in any_tree(), b in any_tree()) {
        let changes = SettingChange::between(&a, &b);
        prop_assert_eq!(a.with_changes(&changes).unwrap(), b);
    }

    /// Guards against a three-way merge that loses a change of either edit.
    #[test]
    fn merge_contains_both_edits(base in any_tree(), ours in any_tree(), theirs in any_tree()) {
        let Ok(merged) = theirs.three_way_merge(&base, &ours) else { return Ok(()) };
        let after = SettingChange::between(&base, &merged);
        for change in SettingChange::between(&base, &ours)
            .into_iter()
            .chain(SettingChange::between(&base, &theirs))
            .filter(|c| !c.after.as_ref().is_some_and(|v| v.is_object()))
            .filter(|c| !c.before.as_ref().is_some_and(|v| v.is_object()))
        {
            prop_assert!(after.contains(&change), "{} is missing", change);
        }
    }

    #[test]
    fn truncated_documents_never_panic(tree in any_tree(), cut in any::<prop::sample::Index>()) {
        let doc = Document { tree, edit_id: "e".into(), ..Document::default() };
        let json = serde_json::to_vec(&doc).unwrap();
        let cut = cut.index(json.len());
        prop_assert!(ServiceCatalog::parse(&json[..cut]).is_err());
    }

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Node::parse(&bytes);
        prop_assert!(ServiceCatalog::parse(&bytes).is_err());
    }

    /// Guards against panics on JSON that has known keys in wrong places.
    #[test]
    fn random_json_never_panics(json in r#"(\{|\}|"nodes":|"a":|"targets":|"policies":|"flows":|"service":|"address":|"127.0.0.1:1"|1|-1|null|\[|\]|,){0,40}"#) {
        let _ = Node::parse(json.as_bytes());
        let document = format!(r#"{{"version":1,"edit_id":"e","tree":{json}}}"#);
        let _ = ServiceCatalog::parse(document.as_bytes());
    }
}
