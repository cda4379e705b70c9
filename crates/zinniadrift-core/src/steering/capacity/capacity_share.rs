use derive_more::{Display, Into};
use serde::{Deserialize, Serialize};

/// A contiguous, non-empty part of the interval [0, 2^32) of the points of permits.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Into, PartialEq, Serialize)]
#[display("{start:08x}-{last:08x}")]
#[serde(into = "(u32, u32)", try_from = "(u32, u32)")]
pub struct CapacityShare {
    start: u32,
    last: u32,
}

impl CapacityShare {
    /// The whole interval.
    pub const WHOLE: Self = Self {
        start: 0,
        last: u32::MAX,
    };

    /// Returns the points from `start` to `last`, both included; `None` if `last` is lower.
    pub const fn new(start: u32, last: u32) -> Option<Self> {
        if start <= last {
            Some(Self { start, last })
        } else {
            None
        }
    }

    /// Returns the first point.
    pub const fn start(self) -> u32 {
        self.start
    }

    /// Returns the last point.
    pub const fn last(self) -> u32 {
        self.last
    }

    /// Returns the number of points, 1 to 2^32.
    pub const fn size(self) -> u64 {
        self.last as u64 - self.start as u64 + 1
    }

    /// Returns whether the point is in this part.
    pub const fn contains(self, point: u32) -> bool {
        self.start <= point && point <= self.last
    }

    /// Returns the points that both parts have.
    pub fn intersection(self, other: Self) -> Option<Self> {
        Self::new(self.start.max(other.start), self.last.min(other.last))
    }

    /// Returns the part from the fraction `from / total` to `to / total`; `None` if it has no point.
    ///
    /// Parts that follow each other in `from` and `to` are disjoint and leave no gap.
    pub(crate) fn fraction(self, from: u64, to: u64, total: u64) -> Option<Self> {
        let offset = |n: u64| u128::from(self.size()) * u128::from(n) / u128::from(total.max(1));
        let point = |offset: u128| u32::try_from(u128::from(self.start) + offset).ok();
        Self::new(point(offset(from))?, point(offset(to).checked_sub(1)?)?)
    }

    /// Returns the largest contiguous part that has no point of `taken`.
    pub(crate) fn largest_free(self, taken: impl Iterator<Item = Self>) -> Option<Self> {
        let mut taken: Vec<Self> = taken.filter_map(|t| self.intersection(t)).collect();
        taken.sort_unstable_by_key(|t| t.start);
        let mut best: Option<Self> = None;
        let mut next = Some(self.start);
        let ends = taken.iter().map(|t| (t.start.checked_sub(1), t.last));
        for (before, last) in ends.chain([(Some(self.last), self.last)]) {
            let Some(start) = next else {
                break;
            };
            let free = before.and_then(|before| Self::new(start, before));
            if free.map(Self::size) > best.map(Self::size) {
                best = free;
            }
            // Parts may overlap, so that an earlier one ends later.
            next = last.checked_add(1).map(|n| n.max(start));
        }
        best
    }
}

impl TryFrom<(u32, u32)> for CapacityShare {
    type Error = &'static str;

    fn try_from((start, last): (u32, u32)) -> Result<Self, Self::Error> {
        Self::new(start, last).ok_or("the last point of a share is below its first")
    }
}
