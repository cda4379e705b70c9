//! Clients of the platform's object API, and the repository that stores the settings there.
//!
//! [`ObjectStore`] is the interface. [`HttpStore`] calls the platform over HTTP; [`MemoryStore`]
//! keeps objects in memory and injects faults for tests.

mod daemon_status_summary;
mod edit;
mod edit_error;
mod http_store;
mod http_transport;
mod memory_store;
mod object;
mod object_store;
mod precondition;
mod repository_settings;
mod settings_repository;
mod store_error;
mod store_faults;

pub use daemon_status_summary::DaemonStatusSummary;
pub use edit::{AcceptedEdit, StoredSettings};
pub use edit_error::EditError;
pub use http_store::HttpStore;
pub use http_transport::HttpTransport;
pub use memory_store::{MemoryStore, StoreSnapshot};
pub use object::Object;
pub use object_store::ObjectStore;
pub use precondition::Precondition;
pub use repository_settings::RepositorySettings;
pub use settings_repository::SettingsRepository;
pub use store_error::StoreError;
pub use store_faults::StoreFaults;
