use super::{AttemptId, RequestId};
use crate::units::MonoTime;

/// A request whose first attempt is in progress, ordered by the time at which it counts as slow.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct HedgeCandidate {
    /// The time from which the first attempt counts as slow.
    pub(crate) due: MonoTime,
    /// The request.
    pub(crate) req: RequestId,
    /// The first attempt.
    pub(crate) attempt: AttemptId,
}
