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
    (
        Metric::counter(
            "requests.hedges",
            "attempts",
            "second attempts sent to slow requests",
        ),
        |c| c.hedges,
    ),
    (
        Metric::counter(
            "requests.hedge_wins",
            "requests",
            "requests answered by their second attempt",
        ),
        |c| c.hedge_wins,
    ),
    (
        Metric::counter(
            "requests.hedges_cancelled",
            "attempts",
            "attempts cancelled because the other attempt completed first",
        ),
        |c| c.hedges_cancelled,
    ),
    (
        Metric::counter(
            "requests.hedges_over_budget",
            "requests",
            "requests that became slow while the budget had no credit",
        ),
        |c| c.hedges_over_budget,
    ),
    (
        Metric::counter(
            "requests.hedges_stopped",
            "requests",
            "requests that became slow while second attempts were stopped",
        ),
        |c| c.hedges_stopped,
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
