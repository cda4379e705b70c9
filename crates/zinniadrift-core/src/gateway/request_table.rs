use std::collections::BTreeSet;

use hashbrown::HashMap;

use super::{AttemptId, Request, RequestId};
use crate::claim::ClaimToken;
use crate::ids::TargetId;
use crate::units::MonoTime;

/// The unanswered requests of a gateway, with their attempts and deadlines.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: HashMap<RequestId, Request>,
    attempts: HashMap<AttemptId, Attempt>,
    tokens: HashMap<ClaimToken, RequestId>,
    deadlines: BTreeSet<(MonoTime, RequestId)>,
    last_attempt: u64,
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The request.
    pub(crate) req: RequestId,
    /// The target.
    pub(crate) target: TargetId,
    /// The time at which the attempt was sent.
    pub(crate) sent: MonoTime,
}

impl RequestTable {
    /// Returns an empty table whose attempt ids start after `base`.
    pub(crate) fn new(base: u64) -> Self {
        Self {
            last_attempt: base,
            ..Self::default()
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn insert(&mut self, id: RequestId, req: Request) {
        if let Some(claim) = req.claim {
            self.tokens.insert(claim.token, id);
        }
        self.deadlines.insert((req.deadline, id));
        self.requests.insert(id, req);
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Request> {
        let req = self.requests.remove(&id)?;
        self.deadlines.remove(&(req.deadline, id));
        if let Some(claim) = req.claim {
            self.tokens.remove(&claim.token);
        }
        Some(req)
    }

    pub(crate) fn request_of(&self, token: ClaimToken) -> Option<RequestId> {
        self.tokens.get(&token).copied()
    }

    pub(crate) fn start_attempt(&mut self, attempt: Attempt) -> AttemptId {
        self.last_attempt = self.last_attempt.wrapping_add(1);
        let id = AttemptId::from(self.last_attempt);
        self.attempts.insert(id, attempt);
        id
    }

    pub(crate) fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id)
    }

    pub(crate) fn end_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        self.attempts.remove(&id)
    }

    /// Returns a request whose deadline has passed.
    pub(crate) fn overdue(&self, now: MonoTime) -> Option<RequestId> {
        let (deadline, id) = self.deadlines.first()?;
        (*deadline <= now).then_some(*id)
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.deadlines.first().map(|(t, _)| *t)
    }
}
