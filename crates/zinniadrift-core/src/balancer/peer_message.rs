use crate::units::Version;

/// Is a message between two balancers of a user's group.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Tells that the sender holds this version of the settings.
    SettingsNotice {
        /// The sender's version.
        version: Version,
    },
}
