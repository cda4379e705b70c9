use std::time::Duration;

/// The one-way latency between a caller and a gateway.
pub(super) const CALLER_LATENCY: Duration = Duration::from_millis(1);
/// The one-way latency between processes in different availability zones.
pub(super) const ZONE_LATENCY: Duration = Duration::from_micros(500);
/// The one-way latency between processes in the same availability zone.
pub(super) const LOCAL_LATENCY: Duration = Duration::from_micros(100);
/// The longest delay with which a settings update arrives at a gateway.
pub(super) const SETTINGS_LAG: Duration = Duration::from_secs(5);
