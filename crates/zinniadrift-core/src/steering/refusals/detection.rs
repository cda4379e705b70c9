use crate::units::MonoTime;

use crate::steering::directory::target_directory::TargetIndex;
use crate::steering::{Segment, Steering};

impl Steering {
    /// Records the size in bytes of a response of the target; returns whether it is a refusal.
    pub(in crate::steering) fn record_response_size(
        &mut self,
        now: MonoTime,
        seg: &Segment,
        index: TargetIndex,
        bytes: u32,
    ) -> bool {
        if !self.cfg.refusals.enabled && !self.cfg.room.enabled {
            return false;
        }
        let size = self.response_sizes.entry(seg.flow.service).or_default();
        let is_refusal = size.record(bytes);
        self.counters.refusals_received += u64::from(is_refusal);
        if self.cfg.refusals.enabled
            && let Some(record) = self.directory.get_mut(index)
        {
            if is_refusal {
                record.refusals.record_refusal(now, &self.cfg.refusals);
            } else {
                record.refusals.record_success(now);
            }
        }
        is_refusal
    }
}
