use std::str::FromStr;

use derive_more::{Display, Error};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::steering::{Era, Revision};

/// A point in the history of the platform's store.
///
/// Positions of a later era come after all positions of an earlier one. A position of era 0 is
/// displayed and serialized as the bare revision, which is the form of builds that know no eras.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{}", self.text())]
pub struct Position {
    /// The era of the store.
    pub era: Era,
    /// The revision within the era.
    pub revision: Revision,
}

/// A text that is not a position.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
#[display("expected REVISION or ERA/REVISION")]
pub struct PositionError;

impl Position {
    /// The position before every change.
    pub const ZERO: Self = Self {
        era: Era::ZERO,
        revision: Revision::ZERO,
    };

    /// Returns the position of `revision` in `era`.
    pub const fn new(era: Era, revision: Revision) -> Self {
        Self { era, revision }
    }

    /// Returns whether this is the position before every change.
    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }

    fn text(self) -> String {
        if self.era == Era::ZERO {
            self.revision.to_string()
        } else {
            format!("{}/{}", self.era, self.revision)
        }
    }
}

/// The position of a revision in era 0.
impl From<u64> for Position {
    fn from(revision: u64) -> Self {
        Self::new(Era::ZERO, revision.into())
    }
}

impl FromStr for Position {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let (era, revision) = text.split_once('/').unwrap_or(("0", text));
        let era: Era = era.parse().map_err(|_| PositionError)?;
        let revision: Revision = revision.parse().map_err(|_| PositionError)?;
        Ok(Self::new(era, revision))
    }
}

impl Serialize for Position {
    fn serialize<S: Serializer>(&self, ser: S) -> Result<S::Ok, S::Error> {
        if self.era == Era::ZERO {
            self.revision.serialize(ser)
        } else {
            ser.collect_str(self)
        }
    }
}

impl<'de> Deserialize<'de> for Position {
    fn deserialize<D: Deserializer<'de>>(de: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Revision(Revision),
            Text(Box<str>),
        }
        match Form::deserialize(de)? {
            Form::Revision(revision) => Ok(Self::new(Era::ZERO, revision)),
            Form::Text(text) => text.parse().map_err(D::Error::custom),
        }
    }
}
