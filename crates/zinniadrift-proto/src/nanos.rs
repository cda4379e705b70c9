use std::time::Duration;

/// Returns a duration in nanoseconds; one of more than 584 years becomes the largest number.
pub(crate) fn to_nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}
