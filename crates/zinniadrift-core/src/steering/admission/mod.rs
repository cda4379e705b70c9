//! Decides when a request on an open flow goes to its target.
//!
//! An open flow cannot move to another target, and a balancer has no truthful refusal for a request
//! on it. In a burst, requests would therefore queue at the target, which serves the oldest first:
//! at a load just above capacity every request waits the whole queue and nearly all miss their
//! latency target. A balancer holds the requests that a target has no room for instead and chooses
//! the order in which they go on:
//!
//! - [`ResponseBaseline`] learns the response time of a route without congestion;
//! - [`ConcurrencyLimit`] adapts how many requests of this balancer a target has at once, from the
//!   time that responses take beyond the baseline;
//! - [`WaitingRequests`] picks the request that goes next when there is room.
//!
//! No request waits while responses are not delayed by a queue. A request that can no longer meet
//! its latency target goes on when the target is not congested, and one a second in any case. When
//! the caller has given up, it is dropped. New flows are refused at once when every target has too
//! many waiting requests, see `placement`.
//!
//! With [`RoomSettings::enabled`], new flows are also refused by priority and caller while the
//! targets are above capacity: [`RoomPolicy`] decides on the numbers of a [`RoomView`], which comes
//! from [`WaitMeter`] as long as nobody counts the requests of all balancers.

mod admission_settings;
mod caller_ledger;
mod concurrency_limit;
mod gate;
mod response_baseline;
mod room;
mod room_answer;
mod room_gate;
mod room_request;
mod room_route;
mod room_settings;
mod room_view;
mod wait_meter;
mod waiting_requests;
mod window_count;

pub use admission_settings::AdmissionSettings;
use caller_ledger::CallerLedger;
pub(super) use concurrency_limit::ConcurrencyLimit;
pub(super) use gate::AdmissionGate;
pub(super) use response_baseline::ResponseBaseline;
pub use room::RoomPolicy;
pub use room_answer::{RefusalCause, RoomAnswer};
pub(super) use room_gate::RoomGate;
pub use room_request::RoomRequest;
pub use room_settings::RoomSettings;
pub use room_view::RoomView;
use wait_meter::WaitMeter;
pub(super) use waiting_requests::{WaitingRequest, WaitingRequests};
use window_count::WindowCount;
