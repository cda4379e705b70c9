use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::{TcpListener, UdpSocket};

use super::TargetBehavior;
use super::target_flows::{FlowTable, serve_flows};
use super::target_requests::RequestServer;

/// Configures a target double.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// The name that the target puts into every answer.
    pub name: Box<str>,
    /// The address for flows (UDP) and requests (TCP).
    pub listen: SocketAddr,
    /// The UDP port on which every caller receives answers.
    pub caller_port: u16,
    /// The behavior until `POST /control` changes it.
    pub behavior: TargetBehavior,
}

/// Serves flows and requests until `stop` completes.
///
/// A packet of a flow that the target did not see opened is answered by a reset, as a TCP host does.
///
/// # Errors
///
/// Fails if a socket cannot be opened.
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
