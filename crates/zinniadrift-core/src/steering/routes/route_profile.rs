use crate::steering::flows::flow_tracker::FlowSummary;
use crate::steering::{Route, RouteKind};

/// The usual requests and bytes of a route's flows, as moving averages over ended flows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteProfile {
    requests_per_flow: f32,
    bytes_per_flow: f32,
}

/// The weight of an ended flow in the averages: about the last twenty flows count.
const SAMPLE_WEIGHT: f32 = 0.05;
/// The bytes that a caller is expected to send on a flow of an upload route, before any flow of the
/// route has ended.
const UPLOAD_BYTES: f32 = 40_000.0;
const REQUEST_BYTES: f32 = 1_000.0;
/// The number of requests from which a flow counts as long.
const LONG_FLOW_REQUESTS: f32 = 2.0;

impl RouteProfile {
    pub(crate) fn default_for(route: &Route) -> Self {
        let (requests_per_flow, bytes_per_flow) = match route.kind {
            RouteKind::Idempotent => (LONG_FLOW_REQUESTS, REQUEST_BYTES),
            RouteKind::NonIdempotent | RouteKind::Download | RouteKind::Other => {
                (1.0, REQUEST_BYTES)
            }
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

    /// Returns whether flows of the route stay open for several requests.
    pub(crate) fn has_long_flows(&self) -> bool {
        self.requests_per_flow >= LONG_FLOW_REQUESTS
    }

    /// Returns the average number of requests on a flow.
    pub(crate) fn requests_per_flow(&self) -> f32 {
        self.requests_per_flow
    }

    /// Returns the average number of bytes that a caller sends on a flow.
    pub(crate) fn bytes_per_flow(&self) -> f32 {
        self.bytes_per_flow
    }
}
