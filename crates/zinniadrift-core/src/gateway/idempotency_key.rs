use derive_more::{AsRef, Display, From};

/// The caller's identifier of a piece of work, from the `Idempotency-Key` header.
#[derive(AsRef, Clone, Debug, Default, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd)]
#[as_ref(str)]
#[from(&str, Box<str>)]
pub struct IdempotencyKey(Box<str>);
