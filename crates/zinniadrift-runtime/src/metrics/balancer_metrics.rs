use zinniadrift_core::balancer::{Balancer, Counters};

use super::reporter::Getter;
use super::{Metric, Reporter};
use crate::balancer::PacketCounters;

pub(super) const CORE_COUNTERS: &[(Metric, Getter<Counters>)] = &[
    (
        Metric::counter("flows.forwarded", "packets", "packets forwarded to targets"),
        |c| c.forwarded,
    ),
    (
        Metric::counter(
            "flows.relayed",
            "packets",
            "packets relayed to a synchronised peer",
        ),
        |c| c.relayed,
    ),
    (
        Metric::counter(
            "flows.held",
            "packets",
            "packets held until a publication was acknowledged",
        ),
        |c| c.held,
    ),
    (
        Metric::counter(
            "flows.confirmed",
            "packets",
            "held packets released after all acknowledgements",
        ),
        |c| c.confirmed,
    ),
    (
        Metric::counter(
            "flows.unconfirmed",
            "packets",
            "held packets released without all acknowledgements",
        ),
        |c| c.unconfirmed,
    ),
    (
        Metric::counter(
            "flows.dropped_unknown_service",
            "packets",
            "packets for an address that no service has",
        ),
        |c| c.dropped_unknown_service,
    ),
    (
        Metric::counter(
            "flows.dropped_no_target",
            "packets",
            "packets of a service without a target that can take the flow",
        ),
        |c| c.dropped_no_target,
    ),
    (
        Metric::counter(
            "flows.dropped_no_settings",
            "packets",
            "packets that arrived before any settings",
        ),
        |c| c.dropped_no_settings,
    ),
    (
        Metric::counter(
            "flows.dropped_hold_full",
            "packets",
            "packets that found the core's buffer for held packets full",
        ),
        |c| c.dropped_hold_full,
    ),
    (
        Metric::counter(
            "flows.placed_base",
            "flows",
            "flows placed on the base target",
        ),
        |c| c.placed_base,
    ),
    (
        Metric::counter(
            "flows.placed_forced",
            "flows",
            "flows placed as forced exceptions",
        ),
        |c| c.placed_forced,
    ),
    (
        Metric::counter(
            "flows.placed_balance",
            "flows",
            "flows placed as balance exceptions",
        ),
        |c| c.placed_balance,
    ),
    (
        Metric::counter(
            "flows.placed_cold_start",
            "flows",
            "flows placed elsewhere because the base target ramps up",
        ),
        |c| c.placed_cold_start,
    ),
    (
        Metric::counter(
            "flows.optional_skipped",
            "flows",
            "optional exceptions that were skipped",
        ),
        |c| c.optional_skipped,
    ),
    (
        Metric::counter(
            "flows.table_full",
            "flows",
            "flows that found the flow table full",
        ),
        |c| c.table_full,
    ),
    (
        Metric::counter(
            "flows.evicted",
            "flows",
            "flow entries evicted because the base table reproduces them",
        ),
        |c| c.evicted,
    ),
    (
        Metric::counter(
            "flows.expired",
            "flows",
            "flow entries removed by a timeout",
        ),
        |c| c.expired,
    ),
    (
        Metric::counter(
            "flows.publications",
            "datagrams",
            "publications, counted once for all receivers",
        ),
        |c| c.publications,
    ),
    (
        Metric::counter(
            "flows.rebase_published",
            "flows",
            "flows of moved buckets that a rebase published",
        ),
        |c| c.rebase_published,
    ),
    (
        Metric::counter(
            "flows.retransmissions",
            "datagrams",
            "publications sent again, per receiver",
        ),
        |c| c.retransmissions,
    ),
    (
        Metric::counter(
            "flows.publish_timeouts",
            "datagrams",
            "publications given up on for a member",
        ),
        |c| c.publish_timeouts,
    ),
    (
        Metric::counter("flows.gaps", "events", "gaps in a peer's publications"),
        |c| c.gaps,
    ),
    (
        Metric::counter(
            "flows.pauses",
            "events",
            "pauses of the process that were detected",
        ),
        |c| c.pauses,
    ),
    (
        Metric::counter(
            "flows.snapshots_received",
            "snapshots",
            "snapshots received completely",
        ),
        |c| c.snapshots_received,
    ),
    (
        Metric::counter("flows.snapshots_sent", "snapshots", "snapshots sent"),
        |c| c.snapshots_sent,
    ),
    (
        Metric::counter(
            "flows.stale_settings",
            "events",
            "settings of a lower version that were rejected",
        ),
        |c| c.stale_settings,
    ),
    (
        Metric::counter(
            "flows.stale_incarnation",
            "datagrams",
            "messages of an earlier run of a peer",
        ),
        |c| c.stale_incarnation,
    ),
];

pub(super) const PACKET_COUNTERS: &[(Metric, Getter<PacketCounters>)] = &[
    (
        Metric::counter(
            "packets.malformed",
            "datagrams",
            "datagrams that are no complete Geneve frame with a TCP packet",
        ),
        |c| c.malformed,
    ),
    (
        Metric::counter(
            "packets.no_address",
            "packets",
            "packets whose target or peer has no known address",
        ),
        |c| c.no_address,
    ),
    (
        Metric::counter(
            "packets.send_failed",
            "packets",
            "packets that the socket did not take",
        ),
        |c| c.send_failed,
    ),
    (
        Metric::counter(
            "packets.hold_full",
            "packets",
            "held packets dropped because the driver's buffer was full",
        ),
        |c| c.hold_full,
    ),
    (
        Metric::counter(
            "packets.not_joined",
            "packets",
            "packets that arrived before the first settings",
        ),
        |c| c.not_joined,
    ),
];

pub(super) const BALANCER_GAUGES: &[(Metric, Getter<Balancer>)] = &[
    (
        Metric::gauge("flows.remembered", "flows", "flows in the flow table"),
        |b| b.flow_count() as u64,
    ),
    (
        Metric::gauge(
            "flows.exceptions",
            "flows",
            "remembered flows that the base table does not reproduce",
        ),
        |b| b.exception_count() as u64,
    ),
    (
        Metric::gauge("members.live", "members", "peers that count as alive"),
        |b| b.live_peers().len() as u64,
    ),
    (
        Metric::gauge(
            "settings.version",
            "version",
            "version of the settings in force",
        ),
        |b| b.version().get(),
    ),
];

/// Sends the metrics of a balancer.
pub(crate) fn report_balancer(reporter: &mut Reporter, core: &Balancer, packets: &PacketCounters) {
    reporter.send_counters(CORE_COUNTERS, core.counters());
    reporter.send_counters(PACKET_COUNTERS, packets);
    reporter.send_gauges(BALANCER_GAUGES, core);
}
