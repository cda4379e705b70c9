use std::collections::VecDeque;
use std::time::Duration;

use crate::units::MonoTime;

/// The budget that limits second attempts to a share of a route's requests.
///
/// At every second attempt, the second attempts of the 10 s that end with it are at most the share
/// of the requests of the same 10 s. The budget has no credit for its first 10 s, so that this also
/// holds for windows that reach back before a restart.
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    opens_at: MonoTime,
    buckets: VecDeque<Bucket>,
    requests: u64,
    hedges: u64,
}

/// The counts of one period of [`BUCKET`].
#[derive(Clone, Copy, Debug)]
struct Bucket {
    index: u64,
    requests: u64,
    hedges: u64,
}

/// The period of a bucket. Requests count for up to this much less than the window and second
/// attempts for up to this much more, so that the rounding never adds credit.
const BUCKET: Duration = Duration::from_millis(100);
/// The number of buckets in a window.
const BUCKETS: u64 = (HedgeBudget::WINDOW.as_millis() / BUCKET.as_millis()) as u64;

impl HedgeBudget {
    /// The time over which the share holds.
    pub const WINDOW: Duration = Duration::from_secs(10);

    /// Returns a budget that has no credit before `now` plus the window.
    pub fn new(now: MonoTime) -> Self {
        Self {
            opens_at: now + Self::WINDOW,
            buckets: VecDeque::new(),
            requests: 0,
            hedges: 0,
        }
    }

    /// Returns the time after which the budget may have credit.
    pub const fn opens_at(&self) -> MonoTime {
        self.opens_at
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: MonoTime) {
        self.bucket(now).requests += 1;
        self.requests += 1;
    }

    /// Counts a second attempt if the share allows it; returns `false` and counts none otherwise.
    pub fn try_spend(&mut self, now: MonoTime, share: f64) -> bool {
        self.expire(now);
        let allowed = share * self.requests as f64;
        let ok = now >= self.opens_at && (self.hedges + 1) as f64 <= allowed;
        if ok {
            self.bucket(now).hedges += 1;
            self.hedges += 1;
        }
        ok
    }

    fn bucket(&mut self, now: MonoTime) -> &mut Bucket {
        self.expire(now);
        let index = index_of(now);
        let is_new = self.buckets.back().is_none_or(|b| b.index < index);
        if is_new {
            self.buckets.push_back(Bucket {
                index,
                requests: 0,
                hedges: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Removes what has left the window. The oldest bucket, which is partly inside, keeps its second
    /// attempts and loses its requests.
    fn expire(&mut self, now: MonoTime) {
        let Some(oldest) = index_of(now).checked_sub(BUCKETS) else {
            return;
        };
        while let Some(front) = self.buckets.front().filter(|b| b.index < oldest) {
            self.requests -= front.requests;
            self.hedges -= front.hedges;
            self.buckets.pop_front();
        }
        if let Some(front) = self.buckets.front_mut().filter(|b| b.index == oldest) {
            self.requests -= std::mem::take(&mut front.requests);
        }
    }
}

fn index_of(now: MonoTime) -> u64 {
    now.as_micros() / (BUCKET.as_micros() as u64)
}
