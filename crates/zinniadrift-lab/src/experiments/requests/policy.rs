use zinniadrift_core::gateway::Mechanisms;

use super::WorldSettings;

/// Is a way to dispatch and claim requests that the experiment compares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// The chosen one.
    Default,
    /// A random target without limits; a request that a full target declines is given up on.
    Random,
    /// Claims that expire with a lease.
    Lease,
    /// One object per claim.
    Single,
    /// A second write before the request is sent.
    TwoWrites,
}

/// More writes than a gateway can make, so that nothing is grouped.
const UNPACED: f64 = 10_000.0;

impl Policy {
    /// The names on the command line, in the order of the variants.
    pub const NAMES: &'static [&'static str] =
        &["default", "random", "lease", "single", "two-writes"];

    /// Returns the policy with the given name.
    pub fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "default" => Self::Default,
            "random" => Self::Random,
            "lease" => Self::Lease,
            "single" => Self::Single,
            "two-writes" => Self::TwoWrites,
            _ => return None,
        })
    }

    /// Returns the settings of a world that runs the policy.
    pub fn settings(self, seed: u64) -> WorldSettings {
        let cfg = WorldSettings {
            seed,
            ..WorldSettings::default()
        };
        let on = Mechanisms::default();
        match self {
            Self::Default => cfg,
            Self::Random => WorldSettings {
                mechanisms: Mechanisms {
                    two_choices: false,
                    slot_limits: false,
                    ..on
                },
                ..cfg
            },
            Self::Lease => WorldSettings {
                mechanisms: Mechanisms {
                    permanent_claims: false,
                    ..on
                },
                ..cfg
            },
            Self::Single => WorldSettings {
                shards: u32::MAX,
                write_rate: UNPACED,
                ..cfg
            },
            Self::TwoWrites => WorldSettings {
                mechanisms: Mechanisms {
                    start_write: true,
                    ..on
                },
                ..cfg
            },
        }
    }
}
