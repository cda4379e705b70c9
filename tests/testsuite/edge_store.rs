//! Tests the client of the platform's store against the store's stand-in.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use zinniadrift_core::ids::ZoneName;
use zinniadrift_core::steering::{ListExtent, StoreCallError, TargetChange, ZoneChange};
use zinniadrift_edge::StoreClient;
use zinniadrift_runtime::steering::{Feed, FeedUpdate};
use zinniadrift_stand_ins::Store;

async fn serve(store: &Store) -> (SocketAddr, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    tokio::spawn(store.clone().serve(listener, stop.clone()));
    (address, stop)
}

fn server(n: u32) -> Value {
    json!({
        "service": "gradebook", "address": format!("10.0.0.1:{n}"), "zone": "lowell",
        "version": "v1", "slots": 2, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
    })
}

/// Guards against lists that end early or fail where a page ends at an entry of another writer with
/// an unusual name.
#[tokio::test]
async fn listing_continues_after_unusual_names() {
    for unusual in [
        "i-00000000 &after=x",
        "i-00000000%zz",
        "i-00000000/#?",
        "i-00000000ü",
    ] {
        let store = Store::new();
        // 49 entries before the unusual name make it the last on the first page of 50; the second
        // page ends at an ordinary name.
        for n in 1..=49 {
            store.put("servers", &format!("h-{n:08x}"), &server(n));
        }
        store.put("servers", &format!("{unusual}~"), &json!("not an entry"));
        for n in 100..200 {
            store.put("servers", &format!("j-{n:08x}"), &server(n));
        }
        let (address, stop) = serve(&store).await;
        let answer = StoreClient::new(address)
            .list(Feed::Targets, false, ListExtent::All)
            .await;
        let Some(FeedUpdate::Listing(listing)) = answer.unwrap().update else {
            panic!("no listing");
        };
        assert_eq!(listing.targets.len(), 149, "{unusual}");
        let first = StoreClient::new(address)
            .list(Feed::Targets, true, ListExtent::FirstPage)
            .await;
        assert_eq!(first.unwrap_err(), StoreCallError::MorePages);
        stop.cancel();
    }
}

/// Guards against entries of other writers, with missing or wrongly typed fields, that name a target
/// or cost another entry, in lists and in changes.
#[tokio::test]
async fn malformed_entries_cost_no_other_entry() {
    let store = Store::new();
    let (address, stop) = serve(&store).await;
    let client = StoreClient::new(address);
    let empty = client.list(Feed::Targets, false, ListExtent::All).await;
    let put = |n: u32, spec: &Value| store.put("servers", &format!("i-{n:08x}"), spec);
    put(1, &server(1));
    let mut malformed = vec![
        json!(null),
        json!([]),
        json!("x"),
        json!({}),
        json!({"born": 5}),
    ];
    for field in server(1).as_object().unwrap().keys() {
        let mut entry = server(2);
        entry.as_object_mut().unwrap().remove(field);
        malformed.push(entry.clone());
        entry[field] = json!({"wrong": "type"});
        malformed.push(entry);
    }
    for (n, entry) in malformed.iter().enumerate() {
        put(100 + n as u32, entry);
    }
    put(3, &server(3));
    let wanted = ["i-00000001", "i-00000003"];
    let answer = client.list(Feed::Targets, false, ListExtent::All).await;
    let Some(FeedUpdate::Listing(listing)) = answer.unwrap().update else {
        panic!("no listing");
    };
    let mut names: Vec<&str> = listing.targets.iter().map(|t| &*t.name).collect();
    names.sort_unstable();
    assert_eq!(names, wanted);
    let from = empty.unwrap().as_of;
    let answer = client.watch(Feed::Targets, from, Duration::ZERO).await;
    let Some(FeedUpdate::Changes(changes)) = answer.unwrap().update else {
        panic!("no changes");
    };
    let mut names = HashSet::new();
    for change in &changes {
        if let TargetChange::Put(instance) = change {
            names.insert(&*instance.name);
        }
    }
    assert_eq!(names, HashSet::from(wanted));
    stop.cancel();
}

/// Guards against a configuration, or requests to drain a zone, that cannot be read because of one
/// value.
#[tokio::test]
async fn unreadable_values_cost_no_route_and_no_drain() {
    let store = Store::new();
    let (address, stop) = serve(&store).await;
    let client = StoreClient::new(address);
    for odd in [
        "1e999",
        r#""\udcff""#,
        &format!("{}{}", "[".repeat(200), "]".repeat(200)),
    ] {
        let route = |port: u32, priority: &str| {
            format!(
                r#"{{"name":"r-{port}","host":"198.18.0.1","path_prefix":"/{port}/",
                "kind":"safe","priority":{priority},"service":"gradebook"}}"#
            )
        };
        let routes = [route(1, "1"), route(2, odd), route(3, "1")].join(",");
        let spec = format!(r#"{{"version":7,"routes":[{routes}],"owner":{odd}}}"#);
        store.put_bytes("config", "main", spec.as_bytes());
        let answer = client.list(Feed::Routes, false, ListExtent::All).await;
        let Some(FeedUpdate::Routes(table)) = answer.unwrap().update else {
            panic!("no routes with {odd}");
        };
        assert_eq!(table.len(), 3, "with {odd}");
        store.put_bytes("evacuations", "lowell", odd.as_bytes());
        store.put("evacuations", "nashua", &json!({}));
        let answer = client.list(Feed::ZoneDrains, false, ListExtent::All).await;
        let Some(FeedUpdate::ZoneDrains(zones)) = answer.unwrap().update else {
            panic!("no zones with {odd}");
        };
        assert_eq!(zones, ["lowell", "nashua"].map(ZoneName::from).into());
    }
    stop.cancel();
}

/// Guards against requests to drain a zone that are missed on later pages, or that count after their
/// removal has begun, and against content of the objects that is interpreted.
#[tokio::test]
async fn evacuations_are_listed_and_watched() {
    let store = Store::new();
    for n in 0..60 {
        store.put("evacuations", &format!("zone-{n:02}"), &json!({}));
    }
    store.put("evacuations", "aarau", &json!(["not", "interpreted"]));
    store.set_deleting("evacuations", "zone-59");
    let (address, stop) = serve(&store).await;
    let client = StoreClient::new(address);
    let listed = client.list(Feed::ZoneDrains, false, ListExtent::All).await;
    let listed = listed.unwrap();
    let expected = (0..59).map(|n| ZoneName::from(format!("zone-{n:02}").as_str()));
    let mut expected: BTreeSet<ZoneName> = expected.collect();
    expected.insert("aarau".into());
    let Some(FeedUpdate::ZoneDrains(zones)) = listed.update else {
        panic!("no list");
    };
    assert_eq!(zones, expected);

    store.remove("evacuations", "zone-00");
    store.set_deleting("evacuations", "zone-01");
    store.put("evacuations", "zone-00", &json!({}));
    let watched = client.watch(Feed::ZoneDrains, listed.as_of, Duration::ZERO);
    let Some(FeedUpdate::ZoneChanges(changes)) = watched.await.unwrap().update else {
        panic!("no changes");
    };
    let expected = [
        ZoneChange::Returned("zone-00".into()),
        ZoneChange::Returned("zone-01".into()),
        ZoneChange::Drained("zone-00".into()),
    ];
    assert_eq!(changes, expected);
    stop.cancel();
}
