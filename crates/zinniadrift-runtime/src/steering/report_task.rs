use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use zinniadrift_core::steering::SilentTarget;
use zinniadrift_store::HttpTransport;

use super::input::{Input, StateMark};
use super::peer_message::PeerReports;
use super::peer_service::REPORTS_PATH;
use super::peer_task::post;

/// The time limit of a message; a later one repeats what is still true.
const LIMIT: Duration = Duration::from_millis(300);
/// The pause between two messages, in which reports are gathered.
const GATHER: Duration = Duration::from_millis(20);

/// Tells the peer that this balancer gets its news from which targets were found dead.
pub(super) struct ReportTask {
    pub(super) mark: watch::Receiver<StateMark>,
    /// The peer that is asked for news.
    pub(super) peer: watch::Receiver<Option<SocketAddr>>,
    pub(super) inputs: mpsc::Sender<Input>,
    pub(super) stop: CancellationToken,
}

impl ReportTask {
    /// Runs until the process stops.
    pub(super) async fn run(mut self) {
        let transport = HttpTransport::new();
        let stop = self.stop.clone();
        let mut told = 0;
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                result = self.mark.wait_for(|m| m.reports != told) => match result {
                    Ok(mark) => told = mark.reports,
                    // The driver has ended, and with it the process.
                    Err(_) => return,
                },
            }
            tokio::time::sleep(GATHER).await;
            let peer = *self.peer.borrow();
            let Some(peer) = peer else { continue };
            let silent = self.silent_targets().await;
            if silent.is_empty() {
                continue;
            }
            let sent = post(
                &transport,
                peer,
                REPORTS_PATH,
                &PeerReports { silent },
                LIMIT,
            )
            .await;
            if let Err(e) = sent {
                tracing::debug!(%peer, error = %e, "reports not delivered");
            }
        }
    }

    async fn silent_targets(&self) -> Vec<SilentTarget> {
        let (tx, rx) = tokio::sync::oneshot::channel();
        // The driver is gone only when the process stops.
        let asked = self.inputs.send(Input::SilentTargets(tx)).await;
        asked.unwrap_or_default();
        rx.await.unwrap_or_default()
    }
}
