use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::LiveMember;
use crate::ids::{MemberId, ZoneName};

/// Returns the members of `zone`, at most `count`, that watch the platform.
///
/// The choice uses rendezvous hashing: a join or a death changes the role of as few other members
/// as possible, and members with the same live set choose the same watchers without coordination.
pub fn select_watchers(members: &[LiveMember], zone: &ZoneName, count: usize) -> Vec<MemberId> {
    let seed = xxh3_64(<ZoneName as AsRef<str>>::as_ref(zone).as_bytes());
    let mut ranked: Vec<(u64, MemberId)> = members
        .iter()
        .filter(|m| m.zone == *zone)
        .map(|m| (xxh3_64_with_seed(&m.id.get().to_le_bytes(), seed), m.id))
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked.into_iter().take(count).map(|(_, id)| id).collect()
}
