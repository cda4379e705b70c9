//! Talks to the platform's object API and keeps the settings in it.
//!
//! [`ObjectStore`] is the interface; [`HttpStore`] speaks to the platform over HTTP and
//! [`MemoryStore`] keeps objects in memory and can inject faults for tests.

mod http_store;
mod memory_store;
mod object;
mod object_store;
mod precondition;
mod settings_repository;
mod store_error;

pub use http_store::HttpStore;
pub use memory_store::{MemoryStore, StoreFaults};
pub use object::Object;
pub use object_store::ObjectStore;
pub use precondition::Precondition;
pub use settings_repository::{Edit, EditError, SettingsRepository};
pub use store_error::StoreError;
