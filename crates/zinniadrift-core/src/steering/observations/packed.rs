//! Encodes lists of observations, in JSON as base64 of the same bytes.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

use crate::steering::observations::target_observation::TargetObservation;

/// Encodes a list of observations.
pub fn to_bytes(list: &[TargetObservation]) -> Vec<u8> {
    list.iter().flat_map(TargetObservation::to_bytes).collect()
}

/// Decodes a list of observations; `None` if the length is not that of whole observations.
pub fn from_bytes(bytes: &[u8]) -> Option<Vec<TargetObservation>> {
    let (list, rest) = bytes.as_chunks();
    let list = list.iter().copied().map(TargetObservation::from_bytes);
    rest.is_empty().then(|| list.collect())
}

pub(crate) fn serialize<S: Serializer>(
    list: &[TargetObservation],
    ser: S,
) -> Result<S::Ok, S::Error> {
    ser.serialize_str(&URL_SAFE_NO_PAD.encode(to_bytes(list)))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    de: D,
) -> Result<Vec<TargetObservation>, D::Error> {
    let text = String::deserialize(de)?;
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(D::Error::custom)?;
    from_bytes(&bytes).ok_or_else(|| D::Error::custom("expected whole observations"))
}
