//! The state machine of one balancer, which assigns each flow to a target.
//!
//! Every member of a group derives the same base table from a service's base set, so flows that
//! follow it need no coordination. A flow on another target is an exception: its assignment (a
//! pin) is published to the peers before the flow's first packet is forwarded. A rebase moves all
//! members from one base set to the next.

mod actions;
mod base_set;
mod counters;
mod events;
mod handover;
mod handover_step;
mod held_packets;
mod mechanisms;
mod outbox;
mod owner_table;
mod packet_path;
mod peer_input;
mod peer_message;
mod placement;
mod publication;
mod publisher;
mod rebase;
mod rebase_status;
mod rebase_step;
mod recent_placements;
mod report_check;
mod service_state;
mod settings;
mod snapshot_fetch;
mod snapshot_source;
mod state_machine;
mod sync_state;
mod target_entry;
mod target_report;
mod target_table;
mod timeline_event;
mod upkeep;
mod verdict;

pub use actions::BalancerAction;
pub use base_set::BaseSet;
pub use counters::Counters;
pub use events::BalancerEvent;
use handover::Handover;
use held_packets::HeldPackets;
pub use mechanisms::Mechanisms;
use outbox::Outbox;
use owner_table::OwnerTable;
pub use peer_message::{MAX_PEER_DATAGRAM_BYTES, MAX_PINS, PeerMessage};
use publication::Publication;
use publisher::Publisher;
use rebase::Rebase;
pub use rebase_status::{RebasePhase, RebaseStatus};
use recent_placements::RecentPlacements;
use report_check::ReportCheck;
use service_state::ServiceState;
pub use settings::BalancerSettings;
use snapshot_fetch::SnapshotFetch;
use snapshot_source::SnapshotSource;
pub use state_machine::Balancer;
use sync_state::SyncState;
use target_entry::TargetEntry;
pub use target_report::TargetReport;
use target_table::TargetTable;
pub use timeline_event::{SyncLossReason, TimelineEvent};
pub use verdict::{DropReason, Verdict};
