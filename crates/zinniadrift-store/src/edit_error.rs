use std::fmt::Display;

use snafu::Snafu;

use zinniadrift_core::error::ErrorKind;
use zinniadrift_core::settings::{SettingConflict, SettingsError};
use zinniadrift_core::units::Version;

use crate::StoreError;

/// Tells why an edit was not accepted.
#[derive(Debug, Snafu)]
pub enum EditError {
    /// The tree does not pass its checks; nothing was written.
    #[snafu(display("nothing was written; faults: {}{}", faults.len(), lines(faults)))]
    Invalid {
        /// Every fault found.
        faults: Vec<SettingsError>,
    },
    /// Another edit changed the same settings first; nothing was written.
    #[snafu(display(
        "another edit, stored as version {version}, changed the same settings:{}",
        lines(conflicts)
    ))]
    Conflict {
        /// The stored version.
        version: Version,
        /// The settings with both values.
        conflicts: Vec<SettingConflict>,
    },
    /// Other edits came first at each attempt; nothing was written.
    #[snafu(display("other edits came first at each of {attempts} attempts; try again"))]
    Busy {
        /// The number of attempts.
        attempts: u32,
    },
    /// The store holds an older state than a daemon or than the edit's base; nothing was written.
    #[snafu(display(
        "the platform holds version {stored}, but {holder} had version {in_force}; the platform \
         went back to an older state, and daemons would refuse an edit of it"
    ))]
    StoreBehind {
        /// The version in the store.
        stored: Version,
        /// The daemon with the highest version, or the edit's base.
        holder: Box<str>,
        /// The holder's version.
        in_force: Version,
    },
    /// The edit may or may not have been stored.
    #[snafu(display("edit {edit_id} may have been stored: {source}"))]
    Unknown {
        /// The edit's id.
        edit_id: Box<str>,
        /// The last error of the store.
        source: StoreError,
    },
    /// The stored object is not a settings document.
    #[snafu(display("object {key} holds no settings: {fault}"))]
    Stored {
        /// The object's name.
        key: Box<str>,
        /// The fault.
        fault: SettingsError,
    },
    /// The platform refused the call or did not answer; nothing was written.
    #[snafu(transparent)]
    Store {
        /// The store's error.
        source: StoreError,
    },
}

impl EditError {
    /// Returns the kind that decides the answer to the operator.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Invalid { .. } | Self::Stored { .. } => ErrorKind::InvalidSettings,
            Self::Conflict { .. } | Self::Busy { .. } | Self::StoreBehind { .. } => {
                ErrorKind::Conflict
            }
            Self::Unknown { .. } => ErrorKind::OutcomeUnknown,
            Self::Store { source } => source.kind(),
        }
    }
}

fn lines<T: Display>(items: &[T]) -> String {
    items.iter().map(|item| format!("\n  {item}")).collect()
}
