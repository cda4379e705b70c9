//! Policies for placing flows, which are compared on the same seeds.

mod baseline;
mod cookie;
mod core_group;
mod flow_policy;
mod flow_tables;
mod hash;
mod jet;
mod keeper;
mod maglev;
mod member_view;
mod rule;

pub(crate) use core_group::CoreGroup;
pub(crate) use flow_policy::FlowPolicy;

use baseline::Baseline;
use cookie::Cookie;
use hash::Hash;
use jet::Jet;
use keeper::Keeper;
use maglev::Maglev;

use super::fleet::UserGroup;

/// The names of all policies; the first one is that of the product.
pub(crate) const POLICIES: &[&str] = &[
    "default",
    "hash",
    "maglev",
    "jet",
    "keeper",
    "cookie",
    "default-no-balance",
    "default-tight",
];

/// Returns the `imbalance_tolerance` of a policy that overrides the default.
pub(crate) fn imbalance_tolerance(policy: &str) -> Option<f64> {
    match policy {
        "default-no-balance" => Some(1.0),
        "default-tight" => Some(0.0),
        _ => None,
    }
}

/// Starts the members of a user's group under the named policy.
pub(crate) fn start(policy: &str, user: &UserGroup, seed: u64) -> Box<dyn FlowPolicy> {
    match policy {
        "hash" => Box::new(Baseline::new(Hash)),
        "maglev" => Box::new(Baseline::new(Maglev::default())),
        "jet" => Box::new(Baseline::new(Jet::default())),
        "cookie" => Box::new(Baseline::new(Cookie::default())),
        "keeper" => Box::new(Baseline::new(Keeper::default())),
        _ => Box::new(CoreGroup::start(user, seed)),
    }
}
