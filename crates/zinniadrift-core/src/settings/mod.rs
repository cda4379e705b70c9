//! Holds the tree of settings and its checked, flattened form.

mod catalog;
mod document;
mod limits;
mod node;
mod policies;
mod service;
mod settings_error;
mod target;

pub use catalog::ServiceCatalog;
pub use document::Document;
pub use limits::{MAX_DEPTH, MAX_DOCUMENT_BYTES};
pub use node::{Node, ServiceNode, TargetNode};
pub use policies::{ClaimPolicies, FlowPolicies, Policies, RequestPolicies};
pub use service::Service;
pub use settings_error::SettingsError;
pub use target::{Target, TargetState};
