use std::net::SocketAddr;

use snafu::ResultExt;
use tokio::net::UdpSocket;

use super::driver::Driver;
use crate::daemon::{BindSnafu, DaemonError, DaemonSettings, Role, SharedTasks};

/// Forwards packets until the process has been asked to stop and the balancer has drained.
///
/// # Errors
///
/// Fails if a socket cannot be bound.
pub async fn run_balancer(cfg: DaemonSettings) -> Result<(), DaemonError> {
    let packets = UdpSocket::bind(cfg.listen).await.context(BindSnafu {
        address: cfg.listen.to_string(),
    })?;
    let relay = match cfg.listen {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    };
    let (shared, link, inputs, outlets) =
        SharedTasks::start(cfg, Role::Balancer, relay, None).await?;
    shared.record_start(Role::Balancer);
    let recorder = shared.recorder.clone();
    let mut driver = Driver::new(&shared.cfg, shared.clock, packets, link, recorder, outlets);
    driver.run(inputs).await;
    drop(driver);
    shared.finish(Role::Balancer).await;
    Ok(())
}
