use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use zinniadrift_core::claim::{BatchId, ClaimOp, ShardId};
use zinniadrift_core::ids::MemberId;
use zinniadrift_core::units::Version;
use zinniadrift_proto::v1::peer_server::{Peer, PeerServer};
use zinniadrift_proto::v1::{
    ClaimBatchRequest, ClaimBatchResponse, PullSettingsRequest, PullSettingsResponse,
};

use super::ClaimCall;

/// The most claims that a batch may contain.
const MAX_BATCH_CLAIMS: usize = 1_024;

/// The gRPC service for the user's other daemons.
#[derive(Debug)]
pub(crate) struct PeerService {
    /// The user's group.
    pub(crate) group: Box<str>,
    /// The settings document in force, with its version.
    pub(crate) document: watch::Receiver<(Version, Bytes)>,
    /// The channel for batches of claims; `None` on a daemon that does not write claims.
    pub(crate) claims: Option<mpsc::Sender<ClaimCall>>,
}

/// Serves calls of peers until `stop` is cancelled.
pub(crate) async fn serve_peers(
    listener: TcpListener,
    service: PeerService,
    stop: CancellationToken,
) {
    let served = Server::builder()
        .add_service(PeerServer::new(service))
        .serve_with_incoming_shutdown(TcpIncoming::from(listener), stop.cancelled_owned())
        .await;
    if let Err(e) = served {
        tracing::error!(error = %e, "gRPC server for peers failed");
    }
}

impl PeerService {
    fn check_group(&self, group: &str) -> Result<(), Status> {
        if group == &*self.group {
            Ok(())
        } else {
            Err(Status::permission_denied("call of another group"))
        }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn pull_settings(
        &self,
        req: Request<PullSettingsRequest>,
    ) -> Result<Response<PullSettingsResponse>, Status> {
        let req = req.into_inner();
        self.check_group(&req.group)?;
        let (version, document) = self.document.borrow().clone();
        let response = if version.get() > req.above_version {
            PullSettingsResponse {
                version: version.get(),
                document: document.to_vec(),
            }
        } else {
            PullSettingsResponse::default()
        };
        Ok(Response::new(response))
    }

    async fn claim_batch(
        &self,
        req: Request<ClaimBatchRequest>,
    ) -> Result<Response<ClaimBatchResponse>, Status> {
        let req = req.into_inner();
        self.check_group(&req.group)?;
        let Some(tx) = &self.claims else {
            return Err(Status::unimplemented("this daemon writes no claims"));
        };
        if req.claims.len() > MAX_BATCH_CLAIMS {
            return Err(Status::invalid_argument("too many claims in one batch"));
        }
        let claims: Result<Vec<ClaimOp>, _> =
            req.claims.into_iter().map(TryInto::try_into).collect();
        let (verdicts_tx, verdicts_rx) = oneshot::channel();
        let call = ClaimCall {
            from: MemberId::from(req.sender),
            batch: BatchId::from(req.batch),
            shard: ShardId::from(req.shard),
            claims: claims.map_err(|e| Status::invalid_argument(e.to_string()))?,
            verdicts_tx,
        };
        tx.try_send(call)
            .map_err(|_| Status::resource_exhausted("queue of claims is full"))?;
        let verdicts = verdicts_rx
            .await
            .map_err(|_| Status::unavailable("no verdicts"))?;
        let verdicts = verdicts.into_iter().map(Into::into).collect();
        Ok(Response::new(ClaimBatchResponse { verdicts }))
    }
}
