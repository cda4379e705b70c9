use zinniadrift_core::units::{MonoTime, Version};

use super::ConfigReport;

/// A record of when each daemon put each version of the settings in force.
#[derive(Debug)]
pub(super) struct InForceTracker {
    edits: Vec<(Version, MonoTime)>,
    /// The highest version that each host has had in force, also before restarts of its daemon.
    highest: Vec<Version>,
    /// For each host, the versions that raised its highest version, with the time of each.
    increases: Vec<Vec<(Version, MonoTime)>>,
    reverts: u32,
}

impl InForceTracker {
    pub(super) fn new(members: usize) -> Self {
        Self {
            edits: Vec::new(),
            highest: vec![Version::default(); members],
            increases: vec![Vec::new(); members],
            reverts: 0,
        }
    }

    pub(super) fn record_edit(&mut self, now: MonoTime, version: Version) {
        self.edits.push((version, now));
    }

    pub(super) fn record_install(&mut self, now: MonoTime, daemon: usize, version: Version) {
        if version < self.highest[daemon] {
            self.reverts += 1;
        } else if version > self.highest[daemon] {
            self.highest[daemon] = version;
            self.increases[daemon].push((version, now));
        }
    }

    pub(super) fn highest(&self) -> Version {
        self.highest.iter().copied().max().unwrap_or_default()
    }

    pub(super) fn add_to(&self, report: &mut ConfigReport) {
        report.reverts = self.reverts;
        report.edits = self.edits.len() as u32;
        for (version, at) in &self.edits {
            let times = self.increases.iter().map(|increases| {
                let reached = increases.iter().find(|(v, _)| v >= version);
                reached.map(|(_, t)| t.since(*at))
            });
            match times.collect::<Option<Vec<_>>>() {
                Some(times) => report.in_force.extend(times.into_iter().max()),
                None => report.never_in_force += 1,
            }
        }
        report.in_force.sort_unstable();
    }
}
