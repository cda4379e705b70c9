use crate::units::MonoTime;

use crate::steering::CapacityShare;

/// The points that a balancer uses itself, each with the time since which it holds it.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnPoints {
    /// Adjacent parts in ascending order.
    segments: Vec<(CapacityShare, MonoTime)>,
}

/// The number of segments beyond which all count as gained with the latest, which only delays the
/// use of permits.
const MAX_SEGMENTS: usize = 16;

impl OwnPoints {
    /// Returns the part that is held.
    pub(crate) fn share(&self) -> Option<CapacityShare> {
        let (first, last) = (self.segments.first()?, self.segments.last()?);
        CapacityShare::new(first.0.start(), last.0.last())
    }

    /// Returns since when the point is held.
    pub(crate) fn held_since(&self, point: u32) -> Option<MonoTime> {
        let segment = self.segments.iter().find(|(s, _)| s.contains(point));
        segment.map(|(_, since)| *since)
    }

    /// Replaces the part; points that were held before keep their time.
    pub(crate) fn set(&mut self, now: MonoTime, share: Option<CapacityShare>) {
        if self.share() == share {
            return;
        }
        let before = std::mem::take(&mut self.segments);
        let Some(share) = share else {
            return;
        };
        let kept = before.iter();
        let kept = kept.filter_map(|(s, since)| Some((s.intersection(share)?, *since)));
        let kept: Vec<_> = kept.collect();
        let (Some(first), Some(last)) = (kept.first(), kept.last()) else {
            self.segments.push((share, now));
            return;
        };
        // What was held is contiguous, so points are gained only before and after it.
        let below = first.0.start().checked_sub(1);
        let below = below.and_then(|end| CapacityShare::new(share.start(), end));
        let above = last.0.last().checked_add(1);
        let above = above.and_then(|start| CapacityShare::new(start, share.last()));
        let gained = |part: Option<CapacityShare>| part.map(|p| (p, now));
        let segments = gained(below).into_iter().chain(kept.iter().copied());
        self.segments = segments.chain(gained(above)).collect();
        if self.segments.len() > MAX_SEGMENTS {
            self.segments = vec![(share, now)];
        }
    }
}
