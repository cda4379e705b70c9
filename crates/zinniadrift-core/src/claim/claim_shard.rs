use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ClaimChange, ClaimKey, ClaimOp, ClaimPhase, ClaimRecord, ClaimVerdict, ShardRules};

/// The value of the platform object `claims/<user>/<shard>`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    /// The claims by key.
    pub claims: BTreeMap<ClaimKey, ClaimRecord>,
}

impl ClaimShard {
    /// Applies one change at the Unix time `now_s` and returns the verdict.
    ///
    /// The verdict is valid once the resulting value is durable. Because a repeated change gets the
    /// same verdict, a write whose answer was lost is resolved by reading the shard and applying
    /// its changes again.
    pub fn apply(&mut self, op: &ClaimOp, now_s: u64, rules: &ShardRules) -> ClaimVerdict {
        match &op.change {
            ClaimChange::Take { .. } => self.take(op, now_s, rules),
            ClaimChange::Start { .. } => self.start(op),
            ClaimChange::Complete { answer } => {
                if let Some(record) = self.active_record(op) {
                    record.phase = ClaimPhase::Done(answer.clone());
                }
                ClaimVerdict::Granted
            }
            ClaimChange::Release => {
                if self.active_record(op).is_some() {
                    self.claims.remove(&op.key);
                }
                ClaimVerdict::Granted
            }
        }
    }

    /// Removes the claims that have reached the retention period.
    pub fn prune(&mut self, now_s: u64, rules: &ShardRules) {
        self.claims
            .retain(|_, r| now_s.saturating_sub(r.claimed_at_s) < rules.retention_s);
    }

    fn take(&mut self, op: &ClaimOp, now_s: u64, rules: &ShardRules) -> ClaimVerdict {
        if let Some(record) = self.claims.get(&op.key) {
            match &record.phase {
                ClaimPhase::Done(Some(answer)) => return ClaimVerdict::Answered(answer.clone()),
                ClaimPhase::Done(None) => return ClaimVerdict::Taken,
                _ if record.token == op.token => return ClaimVerdict::Granted,
                ClaimPhase::Reserved => {}
                ClaimPhase::Held => {
                    let age = now_s.saturating_sub(record.claimed_at_s);
                    if rules.lease_s.is_none_or(|lease| age < lease) {
                        return ClaimVerdict::Taken;
                    }
                }
            }
        } else if self.claims.len() >= rules.capacity {
            self.prune(now_s, rules);
            if self.claims.len() >= rules.capacity {
                return ClaimVerdict::Full;
            }
        }
        let phase = if rules.start_write {
            ClaimPhase::Reserved
        } else {
            ClaimPhase::Held
        };
        let record = ClaimRecord {
            token: op.token,
            gateway: op.gateway,
            claimed_at_s: now_s,
            phase,
        };
        self.claims.insert(op.key, record);
        ClaimVerdict::Granted
    }

    fn start(&mut self, op: &ClaimOp) -> ClaimVerdict {
        match self.active_record(op) {
            Some(record) => {
                record.phase = ClaimPhase::Held;
                ClaimVerdict::Granted
            }
            None => ClaimVerdict::Taken,
        }
    }

    /// Returns the record of the key if it belongs to the claim of `op` and its work has not ended.
    fn active_record(&mut self, op: &ClaimOp) -> Option<&mut ClaimRecord> {
        self.claims
            .get_mut(&op.key)
            .filter(|r| r.token == op.token && !matches!(r.phase, ClaimPhase::Done(_)))
    }
}
