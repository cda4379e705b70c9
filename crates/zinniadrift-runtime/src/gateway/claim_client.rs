use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};

use zinniadrift_core::claim::{BatchId, ClaimOp, ClaimVerdict, ShardId};
use zinniadrift_core::gateway::GatewayEvent;
use zinniadrift_core::ids::MemberId;
use zinniadrift_proto::v1::ClaimBatchRequest;
use zinniadrift_proto::v1::peer_client::PeerClient;

/// The time limit of a call.
///
/// The core stops waiting earlier; this limit only releases the call's resources.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The client that sends batches of claims to the gateways that write their shards.
#[derive(Debug)]
pub(super) struct ClaimClient {
    group: Box<str>,
    member: MemberId,
    clients: HashMap<SocketAddr, PeerClient<Channel>>,
}

impl ClaimClient {
    /// Returns a client without connections.
    pub(super) fn new(group: &str, member: MemberId) -> Self {
        Self {
            group: group.into(),
            member,
            clients: HashMap::new(),
        }
    }

    /// Drops the connections to all gateways that are not in `live`.
    pub(super) fn retain_connections(&mut self, live: &[SocketAddr]) {
        self.clients.retain(|address, _| live.contains(address));
    }

    /// Returns the call that sends one batch.
    ///
    /// Its event carries no verdicts if the receiver is unknown, fails or answers incompletely.
    pub(super) fn send_batch(
        &mut self,
        to: Option<SocketAddr>,
        batch: BatchId,
        shard: ShardId,
        claims: Vec<ClaimOp>,
    ) -> impl Future<Output = GatewayEvent> + Send + 'static {
        let client = to.and_then(|address| self.client_for(address));
        let request = ClaimBatchRequest {
            group: self.group.to_string(),
            sender: self.member.get(),
            batch: batch.into(),
            shard: shard.get(),
            claims: claims.into_iter().map(Into::into).collect(),
        };
        async move {
            let verdicts = match client {
                Some(client) => request_verdicts(client, request).await,
                None => None,
            };
            GatewayEvent::ClaimsAnswered { batch, verdicts }
        }
    }

    fn client_for(&mut self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        if let Some(client) = self.clients.get(&address) {
            return Some(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let endpoint = endpoint.connect_timeout(CALL_TIMEOUT).timeout(CALL_TIMEOUT);
        let client = PeerClient::new(endpoint.connect_lazy());
        self.clients.insert(address, client.clone());
        Some(client)
    }
}

async fn request_verdicts(
    mut client: PeerClient<Channel>,
    request: ClaimBatchRequest,
) -> Option<Vec<ClaimVerdict>> {
    let claim_count = request.claims.len();
    let response = client.claim_batch(request).await.ok()?.into_inner();
    let verdicts: Result<Vec<ClaimVerdict>, _> = response
        .verdicts
        .into_iter()
        .map(TryInto::try_into)
        .collect();
    verdicts.ok().filter(|v| v.len() == claim_count)
}
