use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::MemberId;
use crate::units::{MonoTime, Version};

/// The versions that peers offer, and the pull in progress, of which there is at most one.
#[derive(Clone, Debug, Default)]
pub(super) struct Pulls {
    offers: BTreeMap<MemberId, Version>,
    pending: Option<Pull>,
    highest_announced: Version,
    /// A version whose document is invalid, and the time until which it is not pulled again.
    invalid: Option<(Version, MonoTime)>,
}

#[derive(Clone, Copy, Debug)]
struct Pull {
    from: MemberId,
    deadline: MonoTime,
}

impl Pulls {
    /// Records the version that a peer announced.
    pub(super) fn offer(&mut self, from: MemberId, version: Version) {
        self.offers.insert(from, version);
        self.highest_announced = self.highest_announced.max(version);
    }

    /// Removes the offer and the pull of a peer that died or delivered no document; its next
    /// heartbeat renews the offer.
    pub(super) fn forget(&mut self, peer: MemberId) {
        self.offers.remove(&peer);
        self.pending = self.pending.filter(|p| p.from != peer);
    }

    /// Ends the pull from a peer that answered.
    pub(super) fn finish(&mut self, from: MemberId) {
        self.pending = self.pending.filter(|p| p.from != from);
    }

    /// Defers pulls of the version that `from` offers, because its document is invalid.
    pub(super) fn defer(&mut self, from: MemberId, deadline: MonoTime) {
        let version = self.offers.get(&from);
        self.invalid = version.map(|v| (*v, deadline)).or(self.invalid);
    }

    /// Returns whether the peer currently offers a version.
    pub(super) fn has_offer(&self, peer: MemberId) -> bool {
        self.offers.contains_key(&peer)
    }

    /// Returns the highest version that any peer has ever announced, delivered or not.
    pub(super) fn highest_announced(&self) -> Version {
        self.highest_announced
    }

    /// Ends a pull that timed out, removes the peer's offer and returns the peer.
    pub(super) fn expire(&mut self, now: MonoTime) -> Option<MemberId> {
        let pull = self.pending.filter(|p| now >= p.deadline)?;
        self.forget(pull.from);
        Some(pull.from)
    }

    /// Starts a pull of the highest version above `held`, and returns the peer to pull from.
    ///
    /// If several peers offer that version, one in the same zone is preferred. At most one pull is
    /// in progress.
    pub(super) fn start(
        &mut self,
        now: MonoTime,
        held: Version,
        timeout: Duration,
        in_same_zone: impl Fn(MemberId) -> bool,
    ) -> Option<MemberId> {
        if self.pending.is_some() {
            return None;
        }
        let deferred = self.invalid.filter(|(_, deadline)| now < *deadline);
        let is_wanted = |v: Version| v > held && deferred.is_none_or(|(invalid, _)| v != invalid);
        let above = self.offers.iter().filter(|(_, v)| is_wanted(**v));
        let (from, _) = above.max_by_key(|(id, v)| (**v, in_same_zone(**id), **id))?;
        let from = *from;
        let deadline = now + timeout;
        self.pending = Some(Pull { from, deadline });
        Some(from)
    }

    /// Returns the time at which the pull in progress times out.
    pub(super) fn next_deadline(&self) -> Option<MonoTime> {
        self.pending.map(|p| p.deadline)
    }
}
