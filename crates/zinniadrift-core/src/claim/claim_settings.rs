use std::time::Duration;

use super::ShardRules;
use crate::ids::MemberId;
use crate::settings::ClaimPolicies;
use crate::units::MonoTime;

/// The configuration of the claims of one gateway.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// This gateway.
    pub member: MemberId,
    /// The number after which the ids of batches and calls start. It differs between all runs of
    /// all gateways, so that an answer to an earlier run is not mistaken for an answer to this run.
    pub id_base: u64,
    /// The Unix time in seconds at the origin of `MonoTime`.
    pub unix_origin_s: u64,
    /// The time after which a call to the platform counts as lost.
    pub store_timeout: Duration,
    /// The rules by which changes are applied to a shard's value.
    pub rules: ShardRules,
    /// The number of shards over which claims are spread.
    pub shards: u32,
    /// The highest rate of this gateway's writes, in writes per second.
    pub write_rate: f64,
    /// Whether a write whose answer was lost is resolved by reading the shard; otherwise it counts
    /// as successful.
    pub token_read_back: bool,
    /// Whether claims fail at once while the platform is unavailable; otherwise they wait.
    pub fail_fast: bool,
}

impl ClaimSettings {
    /// Applies the policies of a new settings version.
    ///
    /// Only the first version, marked by `first`, sets the number of shards. If the number changed
    /// while claims exist, a key would be looked up in a shard that does not hold its claim, and
    /// its work could run twice. A new number takes effect when all gateways of the group are
    /// restarted.
    pub fn configure(&mut self, policies: &ClaimPolicies, first: bool) {
        if first {
            self.shards = policies.shards;
        }
        self.write_rate = policies.write_rate;
        self.rules.capacity = policies.shard_capacity;
        self.rules.retention_s = policies.retention_s;
    }

    /// Returns the Unix time in seconds at `now`.
    pub fn unix_s(&self, now: MonoTime) -> u64 {
        self.unix_origin_s + now.as_micros() / 1_000_000
    }
}

impl Default for ClaimSettings {
    fn default() -> Self {
        let policies = ClaimPolicies::default();
        Self {
            member: MemberId::default(),
            id_base: 0,
            unix_origin_s: 0,
            store_timeout: Duration::from_millis(200),
            rules: ShardRules::default(),
            shards: policies.shards,
            write_rate: policies.write_rate,
            token_read_back: true,
            fail_fast: true,
        }
    }
}
