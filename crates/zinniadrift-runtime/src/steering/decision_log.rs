use std::time::Duration;

use zinniadrift_core::steering::{Decision, ResetReason};
use zinniadrift_core::units::MonoTime;

/// A log of decisions with a rate limit for each class of lines.
#[derive(Debug, Default)]
pub(super) struct DecisionLog {
    window: MonoTime,
    written: [u32; CLASS_COUNT],
    suppressed: [u64; CLASS_COUNT],
    suppressed_total: u64,
}

const CLASS_COUNT: usize = 10;
const CLASS_NAMES: [&str; CLASS_COUNT] = [
    "flow",
    "refusal",
    "target",
    "configuration",
    "congestion",
    "store",
    "zone",
    "drained zones",
    "capacity share",
    "room",
];
/// The maximum number of lines of each class in a window, in the order of [`CLASS_NAMES`].
const MAX_LINES: [u32; CLASS_COUNT] = [4, 8, 16, 4, 8, 4, 16, 1, 4, 4];
/// The length of the window to which the rate limit applies.
const WINDOW: Duration = Duration::from_secs(1);

impl DecisionLog {
    /// Writes a decision, or counts it as suppressed if its class has reached its limit.
    pub(super) fn write(&mut self, now: MonoTime, decision: &Decision) {
        if now.since(self.window) >= WINDOW {
            self.begin_window(now);
        }
        let class = class_index(decision);
        if self.written[class] >= MAX_LINES[class] {
            self.suppressed[class] += 1;
            self.suppressed_total += 1;
            return;
        }
        self.written[class] += 1;
        write_line(decision);
    }

    /// Returns the total number of suppressed lines.
    pub(super) const fn suppressed(&self) -> u64 {
        self.suppressed_total
    }

    fn begin_window(&mut self, now: MonoTime) {
        self.window = now;
        self.written = [0; CLASS_COUNT];
        for (count, class) in self.suppressed.iter_mut().zip(CLASS_NAMES) {
            if *count > 0 {
                tracing::info!(class, lines = *count, "log lines suppressed");
                *count = 0;
            }
        }
    }
}

fn class_index(decision: &Decision) -> usize {
    match decision {
        Decision::Placed {
            retransmissions: 0, ..
        } => 0,
        Decision::Reset {
            reason: ResetReason::ZonesDrained,
            ..
        } => 7,
        Decision::Placed { .. } | Decision::Reset { .. } | Decision::Dropped { .. } => 1,
        Decision::Target { .. } | Decision::Probed { .. } | Decision::Reported { .. } => 2,
        Decision::Configured { .. } => 3,
        Decision::Congestion { .. } => 4,
        Decision::StoreReturned { .. } => 5,
        Decision::Zone { .. } | Decision::ZoneSilent { .. } => 6,
        Decision::CapacityShare { .. } => 8,
        Decision::Refused { .. } => 9,
    }
}

fn millis(age: Option<Duration>) -> Option<u64> {
    age.map(|a| u64::try_from(a.as_millis()).unwrap_or(u64::MAX))
}

fn write_line(decision: &Decision) {
    match decision {
        Decision::Placed {
            flow,
            target,
            retransmissions,
            instead_of,
            outstanding,
            directory,
            version,
        } => tracing::info!(
            %flow,
            chosen = %target,
            copies = retransmissions,
            instead_of = instead_of.as_deref(),
            busy = outstanding,
            %directory,
            %version,
            "flow placed"
        ),
        Decision::Reset {
            flow,
            reason,
            target,
            directory,
            directory_age,
            version,
            configuration_age,
            unmatched_for,
        } => tracing::info!(
            %flow,
            %reason,
            name = target.as_deref(),
            %directory,
            directory_age_ms = millis(*directory_age),
            %version,
            configuration_age_ms = millis(*configuration_age),
            unmatched_for_ms = millis(*unmatched_for),
            "flow reset"
        ),
        Decision::Refused {
            flow,
            route,
            priority,
            cause,
            wait,
        } => tracing::info!(
            %flow,
            %route,
            priority,
            %cause,
            expected_wait_ms = millis(Some(*wait)),
            "flow refused"
        ),
        Decision::Dropped {
            flow,
            reason,
            target,
            directory_age,
            configuration_age,
        } => tracing::info!(
            %flow,
            %reason,
            name = target.as_deref(),
            directory_age_ms = millis(*directory_age),
            configuration_age_ms = millis(*configuration_age),
            "packet dropped"
        ),
        Decision::Target {
            target,
            service,
            address,
            state,
            directory,
        } => {
            tracing::info!(name = %target, %service, %address, state, %directory, "target changed");
        }
        Decision::Zone {
            zone,
            is_unknown: true,
            as_of,
            ..
        } => tracing::warn!(%zone, %as_of, "no target is in the zone that was drained or returned"),
        Decision::Zone {
            zone,
            is_drained,
            targets,
            as_of,
            ..
        } => {
            let state = if *is_drained { "drained" } else { "returned" };
            tracing::info!(%zone, state, targets, %as_of, "zone changed");
        }
        Decision::Probed {
            target,
            result,
            owner,
            dead,
        } => {
            tracing::info!(name = %target, %result, owner = owner.as_deref(), dead, "target probed");
        }
        Decision::Reported {
            target,
            avoided: true,
            witnesses,
        } => tracing::info!(name = %target, witnesses, "target avoided because of reports"),
        Decision::Reported { target, .. } => {
            tracing::info!(name = %target, "target no longer avoided because of reports");
        }
        Decision::ZoneSilent {
            zone,
            avoided: true,
        } => {
            tracing::info!(%zone, "zone avoided; its targets do not respond to opening packets");
        }
        Decision::ZoneSilent { zone, .. } => tracing::info!(%zone, "zone responds again"),
        Decision::Congestion {
            target,
            limit: Some(limit),
            active,
            waiting,
        } => tracing::info!(name = %target, limit, active, waiting, "target congested"),
        Decision::Congestion {
            target,
            limit: None,
            ..
        } => tracing::info!(name = %target, "target no longer congested"),
        Decision::StoreReturned {
            era,
            kept,
            doubtful,
            version,
        } => tracing::warn!(
            %era,
            kept,
            doubtful,
            %version,
            "store came back from an older copy; nothing is refused on its ground for a while"
        ),
        Decision::CapacityShare { share: Some(share) } => {
            tracing::info!(%share, "capacity share gained");
        }
        Decision::CapacityShare { share: None } => {
            tracing::warn!("capacity share lost; no new flows go to targets that warm up");
        }
        Decision::Configured { version, routes } => {
            tracing::info!(%version, routes, "configuration in force");
        }
    }
}
