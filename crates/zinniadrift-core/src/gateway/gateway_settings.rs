use std::time::Duration;

use super::{HedgingSettings, Mechanisms};
use crate::ids::{Incarnation, MemberId, ZoneName};

/// The configuration of a gateway's state machine.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// This gateway's id.
    pub member: MemberId,
    /// The run of this gateway; together with `member` it makes claim tokens unique.
    pub incarnation: Incarnation,
    /// This gateway's availability zone.
    pub zone: ZoneName,
    /// The seed of all random choices.
    pub seed: u64,
    /// The Unix time in seconds at the origin of `MonoTime`, for the age of claims.
    pub unix_origin_s: u64,
    /// The time after which a call to the platform or to the writer of a shard counts as lost.
    pub store_timeout: Duration,
    /// The time after `Leave` at which the gateway exits even while requests are in progress.
    pub leave_deadline: Duration,
    /// The lease after which a claim may be taken over; used only without
    /// `Mechanisms::permanent_claims`.
    pub lease: Duration,
    /// The switch and the limit for second attempts.
    pub hedging: HedgingSettings,
    /// The mechanisms that are on.
    pub mechanisms: Mechanisms,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            member: MemberId::default(),
            incarnation: Incarnation::default(),
            zone: ZoneName::default(),
            seed: 0,
            unix_origin_s: 0,
            store_timeout: Duration::from_millis(200),
            leave_deadline: Duration::from_secs(30),
            lease: Duration::from_secs(2),
            hedging: HedgingSettings::default(),
            mechanisms: Mechanisms::default(),
        }
    }
}
