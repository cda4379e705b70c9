use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT; waits forever if the signal handlers cannot be installed.
pub async fn shutdown_signal() {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
