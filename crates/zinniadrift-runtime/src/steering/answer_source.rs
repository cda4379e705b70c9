use std::time::Duration;

use super::{Feed, FeedAnswer};

/// Tells where knowledge came from.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub(super) enum AnswerSource {
    /// The platform's store.
    Store,
    /// Another balancer.
    Peer,
}

/// Is knowledge on its way to the driver.
#[derive(Clone, Debug)]
pub(super) struct KnowledgeInput {
    pub(super) source: AnswerSource,
    pub(super) feed: Feed,
    pub(super) answer: FeedAnswer,
    /// The time since the store confirmed it.
    pub(super) age: Duration,
}
