//! Which responses are refusals, and how long a target that refuses gets no new flow.
//!
//! Targets respond to callers directly, so a balancer does not see a status. It sees how many bytes
//! of a response the caller acknowledged. A full target refuses in a few milliseconds with a short
//! response: by its response time and its open flows alone it looks like the best choice, and it
//! draws the retries of all callers. Answers bursts above the capacity of some targets and targets
//! that fail requests while their health check succeeds.

mod detection;
mod refusal_history;
mod refusal_settings;
mod response_size;

pub(crate) use refusal_history::RefusalHistory;
pub use refusal_settings::RefusalSettings;
pub(crate) use response_size::ResponseSize;
