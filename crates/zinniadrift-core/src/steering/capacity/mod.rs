//! Which part of a limit that all balancers share this balancer may use.
//!
//! The interval [0, 2^32) is divided over the tree of peers by leases. Depends on nothing else of the
//! steering. It answers limits that hold over all balancers although none knows the others; see
//! docs/design/capacity-shares.md for the proof.

pub(super) mod capacity_share;
pub(super) mod division;
pub(super) mod held_share;
pub(super) mod own_points;
pub(super) mod relay_position;
pub(super) mod share_grant;
pub(super) mod share_ledger;
pub(super) mod share_request;

use std::time::Duration;

/// The longest time for which a grant may be used after the grantor responded.
///
/// Balancers renew their grants about once a second, so that one lost response and a peer's grant
/// that is a second old still leave some of it.
pub(super) const GRANT_TERM: Duration = Duration::from_millis(2_500);
