//! Which targets exist: the registered ones, those that may still live and those that ended.
//!
//! Depends on nothing else of the steering. It answers entries that lapse while the store is away,
//! addresses that go to another service, and cookies that no entry explains.

pub(super) mod change_log;
pub(super) mod cookie;
pub(super) mod first_seen;
pub(super) mod instance;
pub(super) mod target_directory;
