use std::convert::Infallible;
use std::str::FromStr;

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

/// The name of an availability zone.
#[derive(
    AsRef,
    Clone,
    Debug,
    Default,
    Display,
    Eq,
    From,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Deserialize,
    Serialize,
)]
#[serde(transparent)]
#[as_ref(str)]
#[from(&str, Box<str>)]
pub struct ZoneName(Box<str>);

impl FromStr for ZoneName {
    type Err = Infallible;

    fn from_str(s: &str) -> Result<Self, Infallible> {
        Ok(s.into())
    }
}
