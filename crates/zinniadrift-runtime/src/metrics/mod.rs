//! The descriptions of all metrics, and the reporter that sends those of balancers and gateways to
//! a statsd server.

mod balancer_metrics;
mod gateway_counters;
mod gateway_metrics;
mod metric;
mod reporter;

pub(crate) use balancer_metrics::report_balancer;
pub use gateway_counters::GatewayCounters;
pub(crate) use gateway_metrics::report_gateway;
pub use metric::{METRIC_PREFIX, Metric, MetricKind, all_metrics, edge_metrics};
pub(crate) use reporter::{REPORT_INTERVAL, Reporter};
