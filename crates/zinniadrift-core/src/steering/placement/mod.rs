//! Which target a new flow goes to, or whether it is refused.
//!
//! Depends on `directory`, `targets` and `routes`. It answers uneven load, slow and cold targets, cut
//! zones and, together with `admission`, bursts.

pub(super) mod choice;
pub(super) mod eligibility;
pub(super) mod open_evidence;
pub(super) mod placement_settings;
pub(super) mod placing;
pub(super) mod proportional;
pub(super) mod share;
