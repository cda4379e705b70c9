//! Decides how requests are dispatched to targets.

mod attempt_id;
mod attempt_result;
mod gateway_action;
mod gateway_event;
mod gateway_settings;
mod idempotency_key;
mod load_report;
mod mechanisms;
mod notice;
mod outcome;
mod peer;
mod request_id;
mod state_machine;

pub use attempt_id::AttemptId;
pub use attempt_result::AttemptResult;
pub use gateway_action::GatewayAction;
pub use gateway_event::GatewayEvent;
pub use gateway_settings::GatewaySettings;
pub use idempotency_key::IdempotencyKey;
pub use load_report::LoadReport;
pub use mechanisms::Mechanisms;
pub use notice::Notice;
pub use outcome::Outcome;
pub use peer::Peer;
pub use request_id::RequestId;
pub use state_machine::Gateway;
