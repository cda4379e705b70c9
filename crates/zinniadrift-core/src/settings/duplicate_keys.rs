use std::collections::BTreeSet;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

use super::SettingsError;
use super::limits::MAX_ERRORS;

/// Returns an error for each key that occurs more than once in an object.
///
/// The JSON parser keeps only the last value of such a key, so a target that was copied without
/// changing its name would silently replace the first one.
pub(super) fn find(json: &[u8], root: &str) -> Vec<SettingsError> {
    let mut errors = Vec::new();
    let mut de = serde_json::Deserializer::from_slice(json);
    let visitor = DuplicateKeyVisitor {
        path: root.to_owned(),
        errors: &mut errors,
    };
    // Syntax errors are reported by the parse itself.
    let _ = visitor.deserialize(&mut de);
    errors.truncate(MAX_ERRORS);
    errors
}

struct DuplicateKeyVisitor<'a> {
    path: String,
    errors: &'a mut Vec<SettingsError>,
}

impl<'de> DeserializeSeed<'de> for DuplicateKeyVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, de: D) -> Result<(), D::Error> {
        de.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for DuplicateKeyVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut seen = BTreeSet::new();
        while let Some(key) = map.next_key::<String>()? {
            let path = format!("{}.{key}", self.path);
            if seen.contains(&key) {
                let error = SettingsError::new(&path, "a second value", "each key once");
                self.errors.push(error);
            }
            seen.insert(key);
            map.next_value_seed(DuplicateKeyVisitor {
                path,
                errors: self.errors,
            })?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }
}
