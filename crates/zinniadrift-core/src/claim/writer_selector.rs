use hashbrown::HashMap;
use xxhash_rust::xxh3::xxh3_64;

use super::ShardId;
use crate::ids::MemberId;
use crate::units::MonoTime;

/// The choice of the gateway that writes a shard.
///
/// The choice is only a hint that lets gateways share writes. Two gateways that write the same
/// shard cause a write conflict, not a wrong result.
#[derive(Debug, Default)]
pub(crate) struct WriterSelector {
    members: Vec<MemberId>,
    avoided: HashMap<MemberId, MonoTime>,
}

impl WriterSelector {
    /// Replaces the set of live gateways.
    pub(crate) fn set_members(&mut self, members: Vec<MemberId>) {
        self.avoided.retain(|m, _| members.contains(m));
        self.members = members;
    }

    /// Excludes a gateway from the choice until the given time.
    pub(crate) fn avoid(&mut self, member: MemberId, until: MonoTime) {
        self.avoided.insert(member, until);
    }

    /// Returns the gateway with the highest rendezvous hash among those that are not avoided;
    /// `None` if all are avoided.
    pub(crate) fn choose(&self, now: MonoTime, shard: ShardId) -> Option<MemberId> {
        self.members
            .iter()
            .copied()
            .filter(|m| self.avoided.get(m).is_none_or(|until| *until <= now))
            .max_by_key(|m| (score(*m, shard), *m))
    }
}

fn score(member: MemberId, shard: ShardId) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&member.get().to_le_bytes());
    bytes[4..].copy_from_slice(&shard.get().to_le_bytes());
    xxh3_64(&bytes)
}
