use crate::steering::CapacityShare;

/// A relay's place in the list of relays, by which they divide the whole interval.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayPosition {
    /// The index of this balancer in the list.
    pub index: usize,
    /// The number of relays.
    pub count: usize,
}

impl RelayPosition {
    /// Returns the relay's part of the interval.
    pub(crate) fn share(self) -> Option<CapacityShare> {
        let (index, count) = (self.index as u64, self.count as u64);
        if index >= count {
            return None;
        }
        CapacityShare::WHOLE.fraction(index, index + 1, count)
    }
}
