use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tonic::transport::Endpoint;

use zinniadrift_core::units::Version;
use zinniadrift_proto::v1::PullSettingsRequest;
use zinniadrift_proto::v1::peer_client::PeerClient;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pulls the settings document from a peer.
///
/// Returns `None` if the peer does not answer or has no version above `above`.
pub(crate) async fn pull_document(
    from: SocketAddr,
    group: Box<str>,
    above: Version,
) -> Option<Bytes> {
    let endpoint = Endpoint::from_shared(format!("http://{from}")).ok()?;
    let endpoint = endpoint.connect_timeout(CALL_TIMEOUT).timeout(CALL_TIMEOUT);
    let mut client = PeerClient::new(endpoint.connect_lazy());
    let request = PullSettingsRequest {
        group: group.into(),
        above_version: above.get(),
    };
    let response = client.pull_settings(request).await.ok()?.into_inner();
    (!response.document.is_empty()).then(|| response.document.into())
}
