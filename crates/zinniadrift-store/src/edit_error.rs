use std::fmt::Display;

use snafu::Snafu;

use zinniadrift_core::error::ErrorKind;
use zinniadrift_core::settings::{SettingConflict, SettingsError};
use zinniadrift_core::units::Version;

use crate::StoreError;

/// The reason why an edit was not accepted.
#[derive(Debug, Snafu)]
pub enum EditError {
    /// The tree or the resulting document is not valid; nothing was written.
    #[snafu(display("nothing was written; faults: {}{}", errors.len(), indented_lines(errors)))]
    Invalid {
        /// Every validation error.
        errors: Vec<SettingsError>,
    },
    /// Another edit changed the same settings since the base was read; nothing was written.
    #[snafu(display(
        "another edit, stored as version {version}, changed the same settings:{}",
        indented_lines(conflicts)
    ))]
    Conflict {
        /// The stored version.
        version: Version,
        /// The settings in conflict, each with its stored and its wanted value.
        conflicts: Vec<SettingConflict>,
    },
    /// Another write preceded the conditional write at each attempt; nothing was written.
    #[snafu(display("other edits were stored first at each of {attempts} attempts; try again"))]
    AttemptsExhausted {
        /// The number of attempts.
        attempts: u32,
    },
    /// The store holds an older state than a daemon or than the edit's base; nothing was written.
    #[snafu(display(
        "the platform holds version {stored}, but {holder} had version {in_force}; the platform \
         was reset to an older state, and daemons would refuse an edit based on it"
    ))]
    StoreBehind {
        /// The version in the store.
        stored: Version,
        /// The daemon that reports the highest version, or a description of the edit's base.
        holder: Box<str>,
        /// The version that `holder` had.
        in_force: Version,
    },
    /// The edit may or may not have been stored.
    #[snafu(display("edit {edit_id} may have been stored: {source}"))]
    OutcomeUnknown {
        /// The edit's id.
        edit_id: Box<str>,
        /// The store's error at the write without an answer.
        source: StoreError,
    },
    /// The stored object is not a settings document.
    #[snafu(display("object {key} is not a settings document: {error}"))]
    MalformedDocument {
        /// The object's key.
        key: Box<str>,
        /// The first error found in the object.
        error: SettingsError,
    },
    /// The platform refused the call or did not answer; nothing was written.
    #[snafu(transparent)]
    Store {
        /// The store's error.
        source: StoreError,
    },
}

impl EditError {
    /// Returns the error kind, which determines the exit code.
    pub const fn kind(&self) -> ErrorKind {
        match self {
            Self::Invalid { .. } | Self::MalformedDocument { .. } => ErrorKind::InvalidSettings,
            Self::Conflict { .. } | Self::AttemptsExhausted { .. } | Self::StoreBehind { .. } => {
                ErrorKind::Conflict
            }
            Self::OutcomeUnknown { .. } => ErrorKind::OutcomeUnknown,
            Self::Store { source } => source.kind(),
        }
    }
}

fn indented_lines<T: Display>(items: &[T]) -> String {
    items.iter().map(|item| format!("\n  {item}")).collect()
}
