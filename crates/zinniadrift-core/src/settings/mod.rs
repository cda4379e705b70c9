//! The settings tree, its validation and its flattened form.

mod catalog;
mod checker;
mod deserialization;
mod document;
mod duplicate_keys;
mod explanation;
mod limits;
mod node;
mod policies;
mod policy_range;
mod service;
mod setting_change;
mod setting_conflict;
mod setting_path;
mod settings_error;
mod target;
mod zone_drain;

pub use catalog::ServiceCatalog;
pub use document::{Document, RecentEdit};
pub use explanation::{Explanation, Origin};
pub use limits::{MAX_DEPTH, MAX_DOCUMENT_BYTES, MAX_ERRORS, MAX_NAME_BYTES};
pub use node::{Node, ServiceNode, TargetNode};
pub use policies::{ClaimPolicies, FlowPolicies, HedgingPolicies, Policies, RequestPolicies};
pub use policy_range::{POLICY_RANGES, PolicyRange};
pub use service::Service;
pub use setting_change::SettingChange;
pub use setting_conflict::SettingConflict;
pub use setting_path::{SettingPath, SettingPathError};
pub use settings_error::SettingsError;
pub use target::{Target, TargetState};
pub use zone_drain::ZoneDrain;
