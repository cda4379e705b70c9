use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::{TcpListener, UdpSocket};

use super::TargetBehavior;
use super::target_flows::{FlowTable, serve_flows};
use super::target_requests::RequestServer;

/// The settings of a target double.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// The name that the target includes in every answer.
    pub name: Box<str>,
    /// The address for flows (UDP) and requests (TCP).
    pub listen: SocketAddr,
    /// The UDP port on which all callers receive answers.
    pub caller_port: u16,
    /// The initial behavior, which `POST /control` replaces.
    pub behavior: TargetBehavior,
}

/// Serves flows and requests until `stop` completes.
///
/// A packet of a flow that was not opened on this target is answered with a reset, as a TCP host
/// does.
///
/// # Errors
///
/// Fails if a socket cannot be opened, or if receiving datagrams or accepting connections fails.
pub async fn serve_target(
    cfg: TargetSettings,
    stop: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(cfg.listen).await?;
    let socket = UdpSocket::bind(cfg.listen).await?;
    let flows = Arc::new(FlowTable::default());
    let app = RequestServer::new(&cfg.name, cfg.behavior, flows.clone()).into_router();
    tokio::select! {
        result = axum::serve(listener, app).into_future() => result,
        result = serve_flows(&cfg.name, cfg.caller_port, &socket, &flows) => result,
        () = stop => Ok(()),
    }
}
