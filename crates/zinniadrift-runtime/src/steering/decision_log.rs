use std::time::Duration;

use zinniadrift_core::steering::Decision;
use zinniadrift_core::units::MonoTime;

/// Writes decisions to the log, a bounded number of each class a second.
#[derive(Debug, Default)]
pub(super) struct DecisionLog {
    window: MonoTime,
    written: [u32; CLASS_COUNT],
    suppressed: [u64; CLASS_COUNT],
    suppressed_total: u64,
}

const CLASS_COUNT: usize = 4;
const CLASS_NAMES: [&str; CLASS_COUNT] = ["flow", "refusal", "target", "configuration"];
/// The lines of one class in one window.
const MAX_LINES: [u32; CLASS_COUNT] = [4, 8, 16, 4];
/// The length of a window.
const WINDOW: Duration = Duration::from_secs(1);

impl DecisionLog {
    /// Writes one decision, or counts it when its class has used up its lines.
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

    /// Returns the number of lines that were not written.
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
        Decision::Placed { .. } | Decision::Reset { .. } | Decision::Dropped { .. } => 1,
        Decision::Target { .. } | Decision::Probed { .. } => 2,
        Decision::Configured { .. } => 3,
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
            directory,
            directory_age,
            version,
        } => tracing::info!(
            %flow,
            %reason,
            %directory,
            directory_age_ms = millis(*directory_age),
            %version,
            "flow reset"
        ),
        Decision::Dropped {
            flow,
            reason,
            directory_age,
            configuration_age,
        } => tracing::info!(
            %flow,
            %reason,
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
        Decision::Probed {
            target,
            result,
            dead,
        } => tracing::info!(name = %target, %result, dead, "target probed"),
        Decision::Configured { version, routes } => {
            tracing::info!(%version, routes, "configuration in force");
        }
    }
}
