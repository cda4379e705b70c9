//! The kinds of error and the response to each.

mod error_kind;
mod error_response;

pub use error_kind::ErrorKind;
pub use error_response::{ErrorResponse, RetryAdvice};
