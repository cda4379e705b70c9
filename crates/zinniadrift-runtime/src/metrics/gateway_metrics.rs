use super::reporter::Getter;
use super::{GatewayCounters, Metric, Reporter};

pub(super) const GATEWAY_COUNTERS: &[(Metric, Getter<GatewayCounters>)] = &[
    (
        Metric::counter(
            "requests.received",
            "requests",
            "requests handed to the core",
        ),
        |c| c.received,
    ),
    (
        Metric::counter(
            "requests.done",
            "requests",
            "requests answered with the target's complete response",
        ),
        |c| c.done,
    ),
    (
        Metric::counter(
            "requests.not_run",
            "requests",
            "requests reported as not run, with proof",
        ),
        |c| c.not_run,
    ),
    (
        Metric::counter(
            "requests.unknown",
            "requests",
            "requests whose outcome is not known",
        ),
        |c| c.unknown,
    ),
    (
        Metric::counter(
            "requests.cancelled",
            "requests",
            "requests whose caller went away",
        ),
        |c| c.cancelled,
    ),
    (
        Metric::counter("requests.attempts", "attempts", "attempts sent to targets"),
        |c| c.attempts,
    ),
    (
        Metric::counter(
            "requests.shed",
            "attempts",
            "attempts that the target declined before the start",
        ),
        |c| c.shed,
    ),
    (
        Metric::counter(
            "requests.connect_failed",
            "attempts",
            "attempts whose connection could not be opened",
        ),
        |c| c.connect_failed,
    ),
    (
        Metric::counter(
            "requests.truncated",
            "attempts",
            "responses that ended before their framing allowed",
        ),
        |c| c.truncated,
    ),
    (
        Metric::counter(
            "requests.connection_lost",
            "attempts",
            "connections lost after the request was sent",
        ),
        |c| c.connection_lost,
    ),
    (
        Metric::counter(
            "requests.no_progress",
            "attempts",
            "connections retired because they made no progress",
        ),
        |c| c.no_progress,
    ),
    (
        Metric::counter("requests.store_reads", "calls", "reads of claim shards"),
        |c| c.store_reads,
    ),
    (
        Metric::counter("requests.store_writes", "calls", "writes of claim shards"),
        |c| c.store_writes,
    ),
    (
        Metric::counter(
            "requests.claims_forwarded",
            "batches",
            "batches of claims sent to other gateways",
        ),
        |c| c.claims_forwarded,
    ),
];

pub(super) const GATEWAY_GAUGES: &[(Metric, Getter<u64>)] = &[(
    Metric::gauge(
        "requests.in_progress",
        "requests",
        "requests that wait for their outcome",
    ),
    |n| *n,
)];

/// Sends the metrics of a gateway.
pub(crate) fn report_gateway(
    reporter: &mut Reporter,
    counters: &GatewayCounters,
    in_progress: u64,
) {
    reporter.send_counters(GATEWAY_COUNTERS, counters);
    reporter.send_gauges(GATEWAY_GAUGES, &in_progress);
}
