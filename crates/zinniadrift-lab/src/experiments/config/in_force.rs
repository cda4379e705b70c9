use zinniadrift_core::units::{MonoTime, Version};

use super::ConfigReport;

/// Follows which daemon has which version in force since when.
#[derive(Debug)]
pub(super) struct InForce {
    accepted: Vec<(Version, MonoTime)>,
    /// The highest version that each host ever had.
    highest: Vec<Version>,
    /// For each host, the versions that raised its highest one.
    raised: Vec<Vec<(Version, MonoTime)>>,
    reverts: u32,
}

impl InForce {
    pub(super) fn new(members: usize) -> Self {
        Self {
            accepted: Vec::new(),
            highest: vec![Version::default(); members],
            raised: vec![Vec::new(); members],
            reverts: 0,
        }
    }

    pub(super) fn accept(&mut self, now: MonoTime, version: Version) {
        self.accepted.push((version, now));
    }

    pub(super) fn install(&mut self, now: MonoTime, daemon: usize, version: Version) {
        if version < self.highest[daemon] {
            self.reverts += 1;
        } else if version > self.highest[daemon] {
            self.highest[daemon] = version;
            self.raised[daemon].push((version, now));
        }
    }

    pub(super) fn highest(&self) -> Version {
        self.highest.iter().copied().max().unwrap_or_default()
    }

    pub(super) fn fill(&self, report: &mut ConfigReport) {
        report.reverts = self.reverts;
        report.edits = self.accepted.len() as u32;
        for (version, at) in &self.accepted {
            let last = self.raised.iter().map(|raised| {
                let reached = raised.iter().find(|(v, _)| v >= version);
                reached.map(|(_, t)| t.since(*at))
            });
            match last.collect::<Option<Vec<_>>>() {
                Some(times) => report.in_force.extend(times.into_iter().max()),
                None => report.never_in_force += 1,
            }
        }
        report.in_force.sort_unstable();
    }
}
