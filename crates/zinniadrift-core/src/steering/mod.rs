//! Steers flows whose packets carry a cookie that names their target.
//!
//! Both ends of a flow return the last cookie that they received, so that any balancer finds the
//! target of an open flow without a table, a peer or the platform. [`Steering`] decides about each
//! packet; [`WatchLoop`] decides which call to the platform's store comes next.
//!
//! ```
//! use zinniadrift_core::steering::{Steering, SteeringSettings};
//!
//! let cfg = SteeringSettings { zone: "lowell".into(), ..SteeringSettings::default() };
//! let steering = Steering::new(cfg, 7);
//! assert!(!steering.can_place());
//! ```

mod change_log;
mod choice;
mod cookie;
mod counters;
mod decision;
mod directory;
mod fan_out;
mod flow_tracker;
mod instance;
mod knowledge;
mod knowledge_input;
mod liveness;
mod open_flows;
mod pause_watch;
mod peer_update;
mod placing;
mod probing;
mod relay_choice;
mod route;
mod route_history;
mod route_profile;
mod route_table;
mod segment;
mod settings;
mod state_machine;
mod target_state;
mod tracked_flow;
mod unexplained;
mod verdict;
mod watch_loop;
mod zone_health;

pub use cookie::{Cookie, DeliveryGuard};
pub use counters::SteeringCounters;
pub use decision::Decision;
pub use directory::{Directory, TargetChange};
pub use fan_out::{Admission, FanOut, PeerName};
pub use instance::{InstanceState, TargetInstance};
pub use knowledge::{DirectoryListing, Knowledge, Revision};
pub use liveness::ProbeResult;
pub use pause_watch::PauseWatch;
pub use peer_update::{KnownState, PeerUpdate, TargetNews};
pub use probing::{AbandonedFlow, TargetProbe};
pub use relay_choice::RelayChoice;
pub use route::{Backend, Route, RouteKind};
pub use route_history::RouteDelta;
pub use route_table::RouteTable;
pub use segment::{Segment, SegmentKind};
pub use settings::{SteeringSettings, WatchSettings};
pub use state_machine::Steering;
pub use verdict::{DropReason, ResetReason, Verdict};
pub use watch_loop::{CallFault, StoreNeed, StoreStep, WatchLoop};
