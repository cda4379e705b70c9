//! Layer-4 load balancing for flows whose packets carry a cookie that identifies their target.
//!
//! Both ends of a flow echo the last cookie that they received, so any balancer finds the target of
//! an open flow without a flow table, a peer or the platform. [`Steering`] returns a verdict for
//! each packet; [`WatchLoop`] chooses the next call to the platform's store.
//!
//! A packet passes `routes` (is there a route for its address), then either `placement` (it opens a
//! flow: which target gets it, or is it refused) or `flows` (its cookie names the target; is that
//! target alive), and `admission` (does its request go on or wait). What the packet shows is
//! recorded in `targets`. `capacity` holds the part of shared limits that this balancer may use. `directory` holds the targets that exist and `sync` keeps it and the
//! routes current.
//!
//! ```
//! use zinniadrift_core::steering::{Steering, SteeringSettings};
//! use zinniadrift_core::units::MonoTime;
//!
//! let cfg = SteeringSettings { zone: "lowell".into(), ..SteeringSettings::default() };
//! let steering = Steering::new(cfg, 7);
//! assert!(!steering.can_place(MonoTime::default()));
//! ```

mod admission;
mod capacity;
mod counters;
mod decision;
mod directory;
mod flows;
mod millis;
mod observations;
mod placement;
mod refusals;
mod routes;
mod settings;
mod state_machine;
mod sync;
mod targets;
mod verdict;

pub use admission::{
    AdmissionSettings, RefusalCause, RoomAnswer, RoomPolicy, RoomRequest, RoomSettings, RoomView,
};
pub use capacity::capacity_share::CapacityShare;
pub use capacity::held_share::HeldShare;
pub use capacity::relay_position::RelayPosition;
pub use capacity::share_grant::ShareGrant;
pub use capacity::share_ledger::ShareLedger;
pub use capacity::share_request::ShareRequest;
pub use counters::SteeringCounters;
pub use decision::Decision;
pub use directory::cookie::{Cookie, InstanceId, TargetTag};
pub use directory::instance::{InstanceState, TargetInstance};
pub use directory::target_directory::{Directory, TargetChange};
pub use flows::segment::{Segment, SegmentKind};
pub use observations::observation_age::ObservationAge;
pub use observations::observation_report::ObservationReport;
pub use observations::observation_settings::ObservationSettings;
pub use observations::observation_table::{ObservationMark, ObservationTable};
pub use observations::packed;
pub use observations::reporter_id::ReporterId;
pub use observations::response_level::ResponseLevel;
pub use observations::target_observation::TargetObservation;
pub use placement::open_evidence::OpenEvidence;
pub use placement::placement_settings::PlacementSettings;
pub use refusals::RefusalSettings;
pub use routes::route::{Route, RouteKind, WeightedService};
pub use routes::route_history::RouteDelta;
pub use routes::route_table::RouteTable;
pub use routes::service_warm_up::{FlowRate, ServiceWarmUp};
pub use settings::{OverrideError, SteeringSettings};
pub use state_machine::Steering;
pub use sync::directory_listing::DirectoryListing;
pub use sync::era::Era;
pub use sync::fan_out::{Admission, FanOut, PeerInfo};
pub use sync::pause_count::PauseCount;
pub use sync::pause_detector::PauseDetector;
pub use sync::peer_selector::PeerSelector;
pub use sync::peer_update::{DirectoryUpdate, KnownState, PeerUpdate};
pub use sync::position::{Position, PositionError};
pub use sync::revision::Revision;
pub use sync::sync_status::SyncStatus;
pub use sync::watch_loop::{ListExtent, StoreCallError, StoreNeed, StoreStep, WatchLoop};
pub use sync::watch_settings::WatchSettings;
pub use sync::zone_drains_update::ZoneDrainsUpdate;
pub use targets::liveness::ProbeResult;
pub use targets::probing::{FlowReset, ProbeRequest};
pub use targets::warm_up_settings::WarmUpLimitSettings;
pub use targets::zone_change::ZoneChange;
pub use targets::zone_drain_settings::ZoneDrainSettings;
pub use targets::zone_drains::ZoneDrains;
pub use verdict::{DropReason, ResetReason, Verdict};
