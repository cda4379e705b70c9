use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt;
use tokio_util::sync::CancellationToken;

/// The delay before a task that failed starts again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a task, again whenever it panics, until it ends by itself or `stop` is cancelled.
///
/// A feed or a listener that ended silently would leave a balancer that forwards with knowledge that
/// only ages.
pub(super) async fn supervise<F, T>(name: &'static str, stop: CancellationToken, start: F)
where
    F: Fn() -> T,
    T: Future<Output = ()>,
{
    loop {
        let result = AssertUnwindSafe(start()).catch_unwind().await;
        let Err(panic) = result else {
            return;
        };
        let cause = panic_message(&*panic);
        tracing::error!(task = name, cause, "task failed; it starts again");
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(RESTART_DELAY) => {}
        }
    }
}

/// Runs `f`; logs a panic and returns `None` instead of passing it on.
pub(super) fn contain<T>(what: &'static str, f: impl FnOnce() -> T) -> Option<T> {
    let result = std::panic::catch_unwind(AssertUnwindSafe(f));
    let failed = |panic: Box<dyn std::any::Any + Send>| {
        let cause = panic_message(&*panic);
        tracing::error!(what, cause, "input failed and is ignored");
    };
    result.map_err(failed).ok()
}

/// Returns the message of a panic.
pub(super) fn panic_message(panic: &(dyn std::any::Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message")
}
