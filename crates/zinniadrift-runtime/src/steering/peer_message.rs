use std::net::{SocketAddr, SocketAddrV4};

use prost::Message;
use serde::{Deserialize, Serialize};

use zinniadrift_core::steering::{
    KnownState, ObservationMark, ObservationReport, PeerInfo, PeerUpdate, ReporterId,
};
use zinniadrift_proto::{PeerUpdateError, v1};

use super::input::OutgoingObservations;

/// A request for the updates that the requesting balancer is missing.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct PeerRequest {
    /// The state of the requesting balancer.
    pub(super) known: KnownState,
    /// The time in milliseconds for which the peer may hold the request open until it has an
    /// update.
    pub(super) wait_ms: u64,
    /// The requesting balancer. Relays and balancers that serve no peers leave it out; they are
    /// served without a lease and never referred.
    #[serde(rename = "asker")]
    pub(super) requester: Option<PeerInfo>,
    /// The number of balancers that get their updates through the requesting one, itself included.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub(super) subtree: u32,
    /// Whether the requesting balancer wants a part of the limits of all balancers; it needs an
    /// address at which it serves peers.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) wants_share: bool,
    /// What the requesting balancer and those behind it observed of targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) observations: Option<ObservationReport>,
    /// The process of the peer whose table of observations the requesting balancer has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) observations_epoch: Option<ReporterId>,
    /// The place in that table up to which it has the changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) observations_seq: Option<u64>,
}

impl PeerRequest {
    /// Returns the part of the peer's table of observations that the requesting balancer has.
    pub(super) fn known_observations(&self) -> ObservationMark {
        ObservationMark {
            epoch: self.observations_epoch.unwrap_or_default(),
            seq: self.observations_seq.unwrap_or_default(),
        }
    }

    /// Adds the observations that the requesting balancer reports, and the place up to which it has
    /// those of the peer.
    pub(super) fn with_observations(self, outgoing: OutgoingObservations) -> Self {
        let known = outgoing.known;
        let has_known = !known.epoch.is_none();
        Self {
            observations: outgoing.report,
            observations_epoch: has_known.then_some(known.epoch),
            observations_seq: has_known.then_some(known.seq),
            ..self
        }
    }
}

const fn one() -> u32 {
    1
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_one(subtree: &u32) -> bool {
    *subtree == 1
}

/// A response to a [`PeerRequest`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) enum PeerResponse {
    /// The updates that the requesting balancer is missing.
    #[serde(rename = "News")]
    Update(Box<PeerUpdate>),
    /// The addresses of the peers to send the request to instead.
    #[serde(rename = "Ask")]
    Refer(Vec<SocketAddr>),
}

/// The content type of a response encoded as [`v1::PeerResponse`], which the requesting balancer
/// accepts by naming it; builds that do not name it get JSON.
pub(super) const COMPACT: &str = "application/x-zinniadrift-peer-v1";

impl PeerResponse {
    /// Encodes the response as a [`v1::PeerResponse`].
    pub(super) fn into_compact(self) -> Vec<u8> {
        let body = match self {
            Self::Update(update) => v1::peer_response::Body::Update((*update).into()),
            Self::Refer(peers) => {
                let peers = peers.into_iter().filter_map(|peer| match peer {
                    SocketAddr::V4(address) => Some(address.into()),
                    SocketAddr::V6(_) => None,
                });
                let peers = peers.collect();
                v1::peer_response::Body::Referral(v1::PeerReferral { peers })
            }
        };
        v1::PeerResponse { body: Some(body) }.encode_to_vec()
    }

    /// Decodes a [`v1::PeerResponse`].
    pub(super) fn from_compact(bytes: &[u8]) -> Result<Self, PeerUpdateError> {
        let response = v1::PeerResponse::decode(bytes);
        let response = response.map_err(|_| PeerUpdateError::Malformed)?;
        match response.body {
            Some(v1::peer_response::Body::Update(update)) => {
                Ok(Self::Update(Box::new(update.try_into()?)))
            }
            Some(v1::peer_response::Body::Referral(referral)) => {
                let peers = referral.peers.into_iter().map(SocketAddrV4::try_from);
                let peers: Result<Vec<SocketAddr>, _> = peers.map(|p| p.map(Into::into)).collect();
                peers.map(Self::Refer)
            }
            None => Err(PeerUpdateError::Missing("body")),
        }
    }
}
