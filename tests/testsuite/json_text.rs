//! Tests that the parts of a JSON text are those that a parser finds.

use proptest::prelude::*;
use serde_json::{Map, Value, json};

use zinniadrift_edge::JsonText;

fn value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<String>().prop_map(Value::from),
        r#"[\[\]{}:,"\\ \n]{0,8}"#.prop_map(Value::from),
    ];
    leaf.prop_recursive(5, 32, 4, |inner| {
        let members = prop::collection::vec((any::<String>(), inner.clone()), 0..4);
        prop_oneof![
            prop::collection::vec(inner, 0..4).prop_map(Value::from),
            members.prop_map(|m| Value::Object(m.into_iter().collect::<Map<_, _>>())),
        ]
    })
}

fn parse(text: JsonText<'_>) -> Value {
    text.parse().expect("a readable value")
}

proptest! {
    /// Guards against parts that are cut off, joined or lost.
    #[test]
    fn parts_are_those_of_the_parser(value in value(), is_spaced in any::<bool>()) {
        let text = if is_spaced {
            serde_json::to_string_pretty(&value).unwrap()
        } else {
            value.to_string()
        };
        let text = JsonText::new(&text);
        let elements = text.elements().map(|e| e.map(parse).collect::<Vec<_>>());
        prop_assert_eq!(elements, value.as_array().cloned());
        let member = |(key, v): (JsonText<'_>, _)| (key.parse().unwrap(), parse(v));
        let members = text.members().map(|m| m.map(member).collect::<Map<_, _>>());
        prop_assert_eq!(members, value.as_object().cloned());
        prop_assert_eq!(text.parse_readable(0), value);
    }

    /// Guards against a panic, or a scan without end, on a text that is no JSON.
    #[test]
    fn any_text_is_scanned_to_its_end(text in r#"[\[\]{}:,"\\ a1\n\u{e9}]{0,40}"#) {
        let text = JsonText::new(&text);
        let parts = text.elements().map_or(0, Iterator::count);
        let members = text.members().map_or(0, Iterator::count);
        prop_assert!(parts + members <= 40);
        let _read = text.parse_readable(8);
    }
}

/// Guards against losing readable parts beside unreadable ones.
#[test]
fn unreadable_parts_are_null() {
    let text = JsonText::new(r#" {"a": [1, 1e999, {"b": "\udcff", "c": [NaN, 2]}], "d": 1} "#);
    let expected = |a: Value| json!({"a": a, "d": 1});
    assert_eq!(text.parse_readable(0), Value::Null);
    assert_eq!(text.parse_readable(1), expected(Value::Null));
    assert_eq!(text.parse_readable(2), expected(json!([1, null, null])));
    let whole = expected(json!([1, null, {"b": null, "c": [null, 2]}]));
    assert_eq!(text.parse_readable(4), whole);
    assert_eq!(text.member("d"), Some(JsonText::new("1")));
    assert_eq!(text.member("e"), None);
}
