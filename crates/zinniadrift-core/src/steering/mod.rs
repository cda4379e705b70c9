//! Layer-4 load balancing for flows whose packets carry a cookie that identifies their target.
//!
//! Both ends of a flow echo the last cookie that they received, so any balancer finds the target of
//! an open flow without a flow table, a peer or the platform. [`Steering`] returns a verdict for
//! each packet; [`WatchLoop`] chooses the next call to the platform's store.
//!
//! ```
//! use zinniadrift_core::steering::{Steering, SteeringSettings};
//!
//! let cfg = SteeringSettings { zone: "lowell".into(), ..SteeringSettings::default() };
//! let steering = Steering::new(cfg, 7);
//! assert!(!steering.can_place());
//! ```

mod admission;
mod change_log;
mod choice;
mod cookie;
mod counters;
mod decision;
mod directory;
mod fan_out;
mod first_seen;
mod flow_tracker;
mod instance;
mod liveness;
mod open_flows;
mod pause_detector;
mod peer_selector;
mod peer_update;
mod placing;
mod probing;
mod route;
mod route_history;
mod route_profile;
mod route_table;
mod segment;
mod settings;
mod state_machine;
mod sync_status;
mod target_record;
mod tracked_flow;
mod updates;
mod verdict;
mod watch_loop;
mod zone_health;

pub use admission::AdmissionSettings;
pub use cookie::{Cookie, InstanceId};
pub use counters::SteeringCounters;
pub use decision::Decision;
pub use directory::{Directory, TargetChange};
pub use fan_out::{Admission, FanOut, PeerInfo};
pub use instance::{InstanceState, TargetInstance};
pub use liveness::ProbeResult;
pub use pause_detector::PauseDetector;
pub use peer_selector::PeerSelector;
pub use peer_update::{DirectoryUpdate, KnownState, PeerUpdate};
pub use probing::{FlowReset, ProbeRequest};
pub use route::{Route, RouteKind, WeightedService};
pub use route_history::RouteDelta;
pub use route_table::RouteTable;
pub use segment::{Segment, SegmentKind};
pub use settings::{OverrideError, PlacementSettings, SteeringSettings, WatchSettings};
pub use state_machine::Steering;
pub use sync_status::{DirectoryListing, Revision, SyncStatus};
pub use verdict::{DropReason, ResetReason, Verdict};
pub use watch_loop::{StoreCallError, StoreNeed, StoreStep, WatchLoop};
