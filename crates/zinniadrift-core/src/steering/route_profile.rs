use super::flow_tracker::FlowSummary;
use super::{Route, RouteKind};

/// Is what the flows of one route usually do, learnt from ended flows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteProfile {
    requests_per_flow: f32,
    bytes_per_flow: f32,
}

/// The weight of an ended flow in the profile: about the last twenty count.
const SAMPLE_WEIGHT: f32 = 0.05;
/// The bytes that a caller is expected to upload before a flow of the route has ended.
const UPLOAD_BYTES: f32 = 40_000.0;
const REQUEST_BYTES: f32 = 1_000.0;
/// The number of requests from which a flow counts as long.
const LONG_FLOW_REQUESTS: f32 = 2.0;

impl RouteProfile {
    pub(crate) fn default_for(route: &Route) -> Self {
        let (requests_per_flow, bytes_per_flow) = match route.kind {
            RouteKind::Idempotent => (LONG_FLOW_REQUESTS, REQUEST_BYTES),
            RouteKind::NonIdempotent => (1.0, REQUEST_BYTES),
            RouteKind::Upload => (1.0, UPLOAD_BYTES),
        };
        Self {
            requests_per_flow,
            bytes_per_flow,
        }
    }

    pub(crate) fn update(&mut self, flow: FlowSummary) {
        self.requests_per_flow += SAMPLE_WEIGHT * (flow.requests as f32 - self.requests_per_flow);
        self.bytes_per_flow += SAMPLE_WEIGHT * (flow.bytes as f32 - self.bytes_per_flow);
    }

    /// Tells whether flows of the route stay open for several requests.
    pub(crate) fn has_long_flows(&self) -> bool {
        self.requests_per_flow >= LONG_FLOW_REQUESTS
    }

    /// Returns the bytes that a caller sends on one flow.
    pub(crate) fn bytes_per_flow(&self) -> f32 {
        self.bytes_per_flow
    }
}
