//! Lists the kinds of error and the answer to each.

mod answer;
mod error_kind;

pub use answer::{Answer, RetryAdvice};
pub use error_kind::ErrorKind;
