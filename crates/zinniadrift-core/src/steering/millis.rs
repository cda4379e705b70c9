//! Serializes durations as whole milliseconds.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serializer};

pub(in crate::steering) fn serialize<S: Serializer>(
    value: &Duration,
    ser: S,
) -> Result<S::Ok, S::Error> {
    ser.serialize_u64(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
}

pub(in crate::steering) fn deserialize<'de, D: Deserializer<'de>>(
    de: D,
) -> Result<Duration, D::Error> {
    u64::deserialize(de).map(Duration::from_millis)
}
