//! Checks that an entry of another writer affects no other entry: in the first list, in a later
//! answer and on the way between balancers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use prost::Message;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

use zinniadrift_core::steering::{
    ListExtent, PeerUpdate, Position, RouteTable, Steering, SteeringSettings, TargetInstance,
};
use zinniadrift_core::units::MonoTime;
use zinniadrift_edge::StoreClient;
use zinniadrift_proto::v1;
use zinniadrift_runtime::steering::{Feed, FeedUpdate};
use zinniadrift_stand_ins::Store;

const KIND: &str = "servers";

fn server(n: u32, state: &str) -> serde_json::Value {
    json!({
        "service": "gradebook", "address": format!("10.0.0.{n}:8080"), "zone": "lowell",
        "version": "v1", "slots": 2, "state": state, "cold_remaining_ms": 0, "sequence": 1,
    })
}

fn name(n: u32) -> String {
    format!("i-{n:08x}")
}

/// An otherwise usable entry with the field `field` replaced by, or extended with, `text`.
fn entry_with(field: &str, text: &str) -> Vec<u8> {
    let mut entry = server(9, "ready");
    entry[field] = json!("PLACE");
    entry.to_string().replace("\"PLACE\"", text).into_bytes()
}

type Targets = BTreeMap<Box<str>, TargetInstance>;

/// A balancer that reads the store, and one behind it.
struct Readers {
    client: StoreClient,
    relay: Steering,
    behind: Steering,
    now: MonoTime,
}

impl Readers {
    fn new(address: SocketAddr) -> Self {
        let balancer = |seed| {
            let mut core = Steering::new(SteeringSettings::default(), seed);
            let table = RouteTable::new(1.into(), Duration::from_secs(9), Vec::new());
            let now = MonoTime::from_millis(1_000);
            core.on_routes(now, Some(now), Position::from(1), table.into());
            core
        };
        Self {
            client: StoreClient::new(address),
            relay: balancer(1),
            behind: balancer(2),
            now: MonoTime::from_millis(1_000),
        }
    }

    async fn list(&mut self) {
        let answer = self.client.list(Feed::Targets, false, ListExtent::All);
        let answer = answer.await.expect("the list is readable");
        let Some(FeedUpdate::Listing(listing)) = answer.update else {
            panic!("no listing");
        };
        self.relay.on_listing(self.now, Some(self.now), listing);
        self.ask_relay();
    }

    async fn watch(&mut self) {
        let from = self.relay.known_state().targets;
        let answer = self.client.watch(Feed::Targets, from, Duration::ZERO);
        let answer = answer.await.expect("the changes are readable");
        let changes = match answer.update {
            Some(FeedUpdate::Changes(changes)) => changes,
            None => Vec::new(),
            other => panic!("no changes: {other:?}"),
        };
        self.relay
            .on_changes(self.now, Some(self.now), changes, answer.as_of);
        self.ask_relay();
    }

    /// Passes the relay's update on in the encoding that is used between balancers.
    fn ask_relay(&mut self) {
        let known = self.behind.known_state();
        let update = self.relay.update_for(self.now, known).unwrap();
        let bytes = v1::PeerUpdate::from(update).encode_to_vec();
        let decoded = v1::PeerUpdate::decode(bytes.as_slice()).unwrap();
        let update = PeerUpdate::try_from(decoded).expect("the update is readable");
        let pauses = self.behind.pause_count();
        self.behind.on_peer_update(self.now, pauses, update);
    }

    /// Returns the targets of both balancers without those that the store lists under `odd`.
    fn targets(&self, odd: &[String]) -> Targets {
        let read = |core: &Steering| -> Targets {
            let listed = core.directory().listing().targets.into_iter();
            let listed = listed.filter(|t| !odd.iter().any(|name| **name == *t.name));
            listed.map(|t| (t.name.clone(), t)).collect()
        };
        let (relay, behind) = (read(&self.relay), read(&self.behind));
        assert_eq!(relay, behind);
        relay
    }
}

/// Returns what the balancers know of the other targets at each step of a fixed sequence of
/// changes, with the odd entries between those of the targets.
async fn known_targets(odd: &[Vec<u8>]) -> Vec<Targets> {
    let store = Store::new();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let server_task = tokio::spawn(store.clone().serve(listener, stop.clone()));
    // The names stand before, between and after those of the targets.
    let odd_name = |i: usize| format!("{}-{i:08x}", ["a", "i-00000002", "z"][i % 3]);
    let names: Vec<String> = (0..odd.len()).map(odd_name).collect();
    let put = |n: u32, state: &str| store.put(KIND, &name(n), &server(n, state));
    let put_odd = || {
        for (name, bytes) in names.iter().zip(odd) {
            store.put_bytes(KIND, name, bytes);
        }
    };
    let mut steps = Vec::new();
    // In the first list.
    for n in 1..=4 {
        put(n, "ready");
    }
    put_odd();
    let mut readers = Readers::new(address);
    readers.list().await;
    steps.push(readers.targets(&names));
    // In a later answer, beside changes of others.
    put(1, "draining");
    for name in &names {
        store.remove(KIND, name);
    }
    store.remove(KIND, &name(2));
    put_odd();
    put(5, "ready");
    readers.watch().await;
    steps.push(readers.targets(&names));
    // After the odd entries, for balancers that start then.
    put(3, "draining");
    readers.watch().await;
    steps.push(readers.targets(&names));
    let mut late = Readers::new(address);
    late.list().await;
    steps.push(late.targets(&names));
    stop.cancel();
    server_task.await.unwrap();
    steps
}

fn assert_no_effect(odd: &[Vec<u8>]) {
    let runtime = Runtime::new().unwrap();
    let expected = runtime.block_on(known_targets(&[]));
    assert_eq!(
        expected.iter().map(BTreeMap::len).collect::<Vec<_>>(),
        [4, 4, 4, 4]
    );
    let known = runtime.block_on(known_targets(odd));
    assert_eq!(known, expected);
}

macro_rules! odd_entries {
    ($($name:ident: $entry:expr;)*) => {
        $(
            /// Guards against lists and changes that cannot be read because of one entry
            /// (review/1).
            #[test]
            fn $name() {
                assert_no_effect(&[$entry.into()]);
            }
        )*
    };
}

odd_entries! {
    arrays_nested_beyond_the_limit_of_the_parser:
        entry_with("owner", &format!("{}1{}", "[".repeat(130), "]".repeat(130)));
    arrays_nested_beyond_the_stack:
        entry_with("owner", &format!("{}1{}", "[".repeat(100_000), "]".repeat(100_000)));
    nested_objects:
        entry_with("owner", &format!("{}1{}", "{\"a\":".repeat(1_000), "}".repeat(1_000)));
    number_beyond_a_float: entry_with("owner", "1e999");
    number_with_many_digits: entry_with("slots", &"9".repeat(400));
    number_beyond_its_field: entry_with("cold_remaining_ms", "18446744073709551616");
    largest_remaining_time: entry_with("cold_remaining_ms", "18446744073709551615");
    number_that_is_none: entry_with("slots", "NaN");
    infinite_number: entry_with("slots", "-Infinity");
    half_of_a_surrogate_pair: entry_with("owner", r#""Kern \udcff""#);
    unknown_escape: entry_with("owner", r#""Kern \x41""#);
    control_character_in_a_text: entry_with("owner", "\"a\u{1}\nb\"");
    bytes_that_are_no_text: {
        let mut entry = entry_with("owner", r#""PLACE""#);
        let at = entry.windows(5).position(|w| w == b"PLACE").unwrap();
        entry.splice(at..at + 5, [0xff, 0xc3, 0x28, 0xed, 0xa0, 0x80]);
        entry
    };
    brackets_in_a_text: entry_with("owner", r#""}]\"}],[{""#);
    port_out_of_range: entry_with("address", r#""10.0.0.9:99999""#);
    port_zero: entry_with("address", r#""10.0.0.9:0""#);
    address_of_no_host: entry_with("address", r#""0.0.0.0:8080""#);
    address_of_all_hosts: entry_with("address", r#""255.255.255.255:8080""#);
    address_of_a_group: entry_with("address", r#""224.0.0.1:8080""#);
    repeated_field: entry_with("owner", r#"1,"slots":3,"slots":{"a":[]},"state":7"#);
    empty_text: entry_with("zone", "\"\"");
    long_text: entry_with("zone", &format!("\"{}\"", "x".repeat(600_000)));
    no_value: "null";
}

/// Returns the JSON text of a value that no schema describes, or that is no JSON value.
fn value_text() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("null".to_owned()),
        Just("1e999".to_owned()),
        Just("Infinity".to_owned()),
        Just(r#""\ud800""#.to_owned()),
        Just(r#""10.0.0.1:70000""#.to_owned()),
        any::<i64>().prop_map(|n| n.to_string()),
        any::<f64>().prop_map(|n| n.to_string()),
        any::<String>().prop_map(|s| json!(s).to_string()),
    ];
    leaf.prop_recursive(6, 24, 4, |inner| {
        let key = prop_oneof![
            Just("service".to_owned()),
            Just("state".to_owned()),
            Just("meta".to_owned()),
            any::<String>(),
        ];
        let field = (key, inner.clone()).prop_map(|(k, v)| format!("{}:{v}", json!(k)));
        prop_oneof![
            prop::collection::vec(inner, 0..4).prop_map(|v| format!("[{}]", v.join(","))),
            prop::collection::vec(field, 0..4).prop_map(|v| format!("{{{}}}", v.join(","))),
        ]
    })
}

/// Returns an entry of any content, or a usable one with some fields replaced.
fn odd_entry() -> impl Strategy<Value = Vec<u8>> {
    let field = prop_oneof![
        Just("service"),
        Just("address"),
        Just("zone"),
        Just("slots"),
        Just("state"),
        Just("cold_remaining_ms"),
        Just("born"),
        Just("owner"),
    ];
    prop_oneof![
        value_text().prop_map(String::into_bytes),
        (field, value_text()).prop_map(|(field, text)| entry_with(field, &text)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Guards against any list of entries of other writers that changes what is known of a target.
    #[test]
    fn no_entry_affects_another(odd in prop::collection::vec(odd_entry(), 1..6)) {
        assert_no_effect(&odd);
    }
}
