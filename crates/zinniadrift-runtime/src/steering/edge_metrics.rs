use std::fmt::Error;
use std::time::Duration;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeLabelSet, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use zinniadrift_core::ids::ServiceId;
use zinniadrift_core::steering::{CapacityShare, Steering, SteeringCounters};
use zinniadrift_core::units::MonoTime;

use super::Feed;
use super::driver_counters::DriverCounters;
use crate::metrics::Metric;

/// The prefix of the names of an edge balancer's metrics.
pub const EDGE_METRIC_PREFIX: &str = "zinniadrift_edge";

type CoreCounter = (Metric, fn(&SteeringCounters) -> u64);
type DriverCounter = (Metric, fn(&DriverCounters) -> u64);
type StateGauge = (Metric, fn(&Steering, MonoTime) -> i64);

pub(crate) const STEERING_COUNTERS: [CoreCounter; 25] = [
    (
        Metric::counter(
            "flows_opened",
            "flows",
            "opening packets forwarded for the first time",
        ),
        |c| c.opened,
    ),
    (
        Metric::counter(
            "flows_moved",
            "packets",
            "copies of opening packets that went to another target",
        ),
        |c| c.moved,
    ),
    (
        Metric::counter(
            "opens_overdue",
            "packets",
            "opening packets whose answers took longer than usual",
        ),
        |c| c.opens_overdue,
    ),
    (
        Metric::counter(
            "packets_forwarded",
            "packets",
            "packets of open flows forwarded",
        ),
        |c| c.forwarded,
    ),
    (
        Metric::counter(
            "packets_forwarded_lapsed",
            "packets",
            "packets forwarded to targets that are missing in the store",
        ),
        |c| c.forwarded_lapsed,
    ),
    (
        Metric::counter(
            "resets_no_route",
            "flows",
            "flows reset because no route leads on",
        ),
        |c| c.reset_no_route,
    ),
    (
        Metric::counter(
            "resets_no_target",
            "flows",
            "new flows refused because the service has no target",
        ),
        |c| c.reset_no_target,
    ),
    (
        Metric::counter(
            "resets_zones_drained",
            "flows",
            "new flows refused because all usable targets are in drained zones",
        ),
        |c| c.reset_zones_drained,
    ),
    (
        Metric::counter(
            "resets_overloaded",
            "flows",
            "new flows refused because all targets are full or their route or caller has no room",
        ),
        |c| c.reset_overloaded,
    ),
    (
        Metric::counter(
            "resets_target_gone",
            "flows",
            "flows reset because their target ended",
        ),
        |c| c.reset_target_gone,
    ),
    (
        Metric::counter(
            "resets_target_silent",
            "flows",
            "flows reset because their target answers neither callers nor probes",
        ),
        |c| c.reset_target_silent,
    ),
    (
        Metric::counter(
            "resets_unknown_cookie",
            "flows",
            "flows reset because no target has their cookie",
        ),
        |c| c.reset_unknown_cookie,
    ),
    (
        Metric::counter(
            "warm_up_opens",
            "packets",
            "opening packets forwarded to targets whose new flows are limited while they warm up",
        ),
        |c| c.warm_up_placed,
    ),
    (
        Metric::counter(
            "resets_warm_up",
            "flows",
            "new flows refused, as overloaded, because all targets warm up and are at their limit",
        ),
        |c| c.warm_up_refused,
    ),
    (
        Metric::counter(
            "refusals_received",
            "requests",
            "responses of targets so short that they were refusals",
        ),
        |c| c.refusals_received,
    ),
    (
        Metric::counter(
            "refusals_timeout",
            "flows",
            "new flows refused because the expected wait exceeded their timeout",
        ),
        |c| c.refused_timeout,
    ),
    (
        Metric::counter(
            "refusals_route_share",
            "flows",
            "new flows refused because the capacity left for their route was in use",
        ),
        |c| c.refused_route_share,
    ),
    (
        Metric::counter(
            "refusals_caller_share",
            "flows",
            "new flows refused because their caller had more than its share of the route",
        ),
        |c| c.refused_caller_share,
    ),
    (
        Metric::counter(
            "requests_held",
            "requests",
            "requests that waited in the balancer for room at their target",
        ),
        |c| c.requests_held,
    ),
    (
        Metric::counter(
            "requests_abandoned",
            "requests",
            "waiting requests dropped because their callers had given up",
        ),
        |c| c.requests_abandoned,
    ),
    (
        Metric::counter(
            "drops_route_unknown",
            "packets",
            "packets dropped without a confirmed configuration",
        ),
        |c| c.dropped_route_unknown,
    ),
    (
        Metric::counter(
            "drops_directory_stale",
            "packets",
            "packets dropped without a confirmed directory",
        ),
        |c| c.dropped_directory_stale,
    ),
    (
        Metric::counter(
            "drops_awaiting_room",
            "packets",
            "opening packets left unanswered because room was expected by their retransmission",
        ),
        |c| c.dropped_awaiting_room,
    ),
    (
        Metric::counter(
            "drops_no_cookie",
            "packets",
            "packets of open flows dropped without a cookie",
        ),
        |c| c.dropped_no_cookie,
    ),
    (
        Metric::counter(
            "drops_nothing_to_reset",
            "packets",
            "callers' resets dropped because no target is known",
        ),
        |c| c.dropped_nothing_to_reset,
    ),
];

pub(crate) const DRIVER_COUNTERS: [DriverCounter; 8] = [
    (
        Metric::counter(
            "datagrams_received",
            "datagrams",
            "datagrams read from the packet socket",
        ),
        |c| c.received,
    ),
    (
        Metric::counter(
            "datagrams_malformed",
            "datagrams",
            "datagrams that are no packet",
        ),
        |c| c.malformed,
    ),
    (
        Metric::counter(
            "datagrams_send_failed",
            "datagrams",
            "datagrams that could not be sent",
        ),
        |c| c.send_failed,
    ),
    (
        Metric::counter(
            "datagrams_held_too_long",
            "datagrams",
            "packets given up before routes and targets were known",
        ),
        |c| c.held_too_long,
    ),
    (
        Metric::counter(
            "datagrams_waiting_dropped",
            "datagrams",
            "packets of waiting requests dropped because the buffer was full",
        ),
        |c| c.waiting_dropped,
    ),
    (
        Metric::counter(
            "process_pauses",
            "pauses",
            "times when the process stood still",
        ),
        |c| c.pauses,
    ),
    (
        Metric::counter(
            "inputs_failed",
            "inputs",
            "packets and messages ignored because of an internal error",
        ),
        |c| c.inputs_failed,
    ),
    (
        Metric::counter(
            "log_lines_suppressed",
            "lines",
            "log lines beyond the budget of their class",
        ),
        |c| c.lines_suppressed,
    ),
];

pub(crate) const DRIVER_GAUGES: [DriverCounter; 1] = [(
    Metric::gauge(
        "peers_answered",
        "peers",
        "peers that get their news from this balancer; bounded by 16 to 48 places, by the link",
    ),
    |c| c.peers_answered,
)];

pub(crate) const STATE_GAUGES: [StateGauge; 18] = [
    (
        Metric::gauge("ready", "0 or 1", "whether routes and targets are known"),
        |s, now| i64::from(s.can_place(now)),
    ),
    (
        Metric::gauge(
            "directory_age_ms",
            "ms",
            "time since the store confirmed the targets; -1 if never",
        ),
        |s, now| age_ms(s.directory_sync().age(now)),
    ),
    (
        Metric::gauge(
            "configuration_age_ms",
            "ms",
            "time since the store confirmed the configuration; -1 if never",
        ),
        |s, now| age_ms(s.routes_sync().age(now)),
    ),
    (
        Metric::gauge(
            "configuration_version",
            "version",
            "version of the configuration in force",
        ),
        |s, _| saturating_i64(s.routes().version().get()),
    ),
    (
        Metric::gauge("routes", "routes", "routes in force"),
        |s, _| saturating_i64(s.routes().len() as u64),
    ),
    (
        Metric::gauge("targets_listed", "targets", "targets that the store lists"),
        |s, _| saturating_i64(s.directory().listed_count() as u64),
    ),
    (
        Metric::gauge(
            "targets_lapsed",
            "targets",
            "targets that the store no longer lists and that may be alive",
        ),
        |s, _| saturating_i64(s.directory().lapsed_count() as u64),
    ),
    (
        Metric::gauge(
            "targets_doubtful",
            "targets",
            "removed targets that an older copy of the store lists again; they get no new flow",
        ),
        |s, _| saturating_i64(s.directory().doubtful_count() as u64),
    ),
    (
        Metric::gauge(
            "zones_drained",
            "zones",
            "availability zones out of service",
        ),
        |s, _| saturating_i64(s.zone_drains().drained_count() as u64),
    ),
    (
        Metric::gauge(
            "zone_drains_age_seconds",
            "s",
            "time since the store confirmed the drained zones; -1 if never; up to 33 in normal operation",
        ),
        |s, now| {
            s.zone_drains()
                .age(now)
                .map_or(-1, |age| saturating_i64(age.as_secs()))
        },
    ),
    (
        Metric::gauge(
            "store_era",
            "returns",
            "times that the store came back from an older copy, as it counts them",
        ),
        |s, _| saturating_i64(s.era().into()),
    ),
    (
        Metric::gauge(
            "requests_waiting",
            "requests",
            "requests that wait for room at their target; bounded by admission.max_waiting (256)",
        ),
        |s, _| saturating_i64(s.waiting_requests() as u64),
    ),
    (
        Metric::gauge(
            "capacity_share_ppm",
            "millionths",
            "part of the limits of all balancers that this one uses; 0 without a grant",
        ),
        |s, now| s.own_share(now).map_or(0, share_ppm),
    ),
    (
        Metric::gauge(
            "targets_warming_up",
            "targets",
            "targets whose new flows are limited while they warm up",
        ),
        |s, _| saturating_i64(s.limited_targets() as u64),
    ),
    (
        Metric::gauge(
            "flows_tracked",
            "flows",
            "flows observed for load estimates; bounded by tracked_flows (16384)",
        ),
        |s, _| saturating_i64(s.tracked_flows() as u64),
    ),
    (
        Metric::gauge(
            "observations_targets",
            "targets",
            "targets with an observation of any balancer in the last 2 s",
        ),
        |s, _| saturating_i64(s.observations().len() as u64),
    ),
    (
        Metric::gauge(
            "observations_unresponsive",
            "targets",
            "targets avoided because other balancers found them unresponsive; at most half of a service, and those that failed here",
        ),
        |s, now| saturating_i64(s.observations().unresponsive_count(now) as u64),
    ),
    (
        Metric::gauge(
            "observations_ignored",
            "reports",
            "reports of observations ignored so far, because they came round or too many balancers reported",
        ),
        |s, _| saturating_i64(s.observations().ignored_reports()),
    ),
];

pub(crate) const HISTOGRAMS: [Metric; 3] = [
    Metric::histogram(
        "answer_seconds",
        "s",
        "time from a request's first packet to its answer, by service",
    ),
    Metric::histogram(
        "store_call_seconds",
        "s",
        "time of calls to the store, by feed and result",
    ),
    Metric::histogram(
        "change_bound_seconds",
        "s",
        "longest possible time from a change in the store to its use: since the confirmation before it, by feed",
    ),
];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ServiceLabel {
    service: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct FeedLabel {
    feed: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct CallLabel {
    feed: String,
    result: String,
}

/// The histograms of durations; clones share their content.
#[derive(Clone, Debug)]
pub(super) struct EdgeHistograms {
    answers: Family<ServiceLabel, Histogram>,
    calls: Family<CallLabel, Histogram>,
    changes: Family<FeedLabel, Histogram>,
}

/// The upper bound of the smallest bucket in seconds. 1 ms is shorter than the fastest call; the
/// largest of the 14 buckets, 8 s, is longer than every deadline.
const FIRST_BUCKET_S: f64 = 0.001;
const BUCKET_COUNT: u16 = 14;

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_S, 2.0, BUCKET_COUNT))
}

impl EdgeHistograms {
    pub(super) fn new() -> Self {
        Self {
            answers: Family::new_with_constructor(histogram),
            calls: Family::new_with_constructor(histogram),
            changes: Family::new_with_constructor(histogram),
        }
    }

    pub(super) fn observe_answer(&self, service: ServiceId, took: Duration) {
        let label = ServiceLabel {
            service: service.to_string(),
        };
        self.answers
            .get_or_create(&label)
            .observe(took.as_secs_f64());
    }

    pub(super) fn observe_call(&self, feed: Feed, result: &str, took: Duration) {
        let label = CallLabel {
            feed: feed.to_string(),
            result: result.to_owned(),
        };
        self.calls.get_or_create(&label).observe(took.as_secs_f64());
    }

    pub(super) fn observe_change(&self, feed: Feed, bound: Duration) {
        let label = FeedLabel {
            feed: feed.to_string(),
        };
        let changes = self.changes.get_or_create(&label);
        changes.observe(bound.as_secs_f64());
    }

    /// Returns all metrics in the text format of Prometheus.
    pub(super) fn render(
        &self,
        steering: &Steering,
        driver: &DriverCounters,
        now: MonoTime,
    ) -> Result<String, Error> {
        let mut registry = Registry::with_prefix(EDGE_METRIC_PREFIX);
        let [answers, calls, changes] = HISTOGRAMS;
        registry.register(answers.name, answers.description, self.answers.clone());
        registry.register(calls.name, calls.description, self.calls.clone());
        registry.register(changes.name, changes.description, self.changes.clone());
        registry.register_collector(Box::new(MetricValues::read(steering, driver, now)));
        let mut text = String::new();
        encode(&mut text, &registry)?;
        Ok(text)
    }
}

/// The values of all counters and gauges at one time.
#[derive(Debug)]
struct MetricValues {
    counters: Vec<(Metric, u64)>,
    gauges: Vec<(Metric, i64)>,
}

impl MetricValues {
    fn read(steering: &Steering, driver: &DriverCounters, now: MonoTime) -> Self {
        let core = STEERING_COUNTERS
            .iter()
            .map(|(m, f)| (*m, f(steering.counters())));
        let own = DRIVER_COUNTERS.iter().map(|(m, f)| (*m, f(driver)));
        let gauges = STATE_GAUGES.iter().map(|(m, f)| (*m, f(steering, now)));
        let own_gauges = DRIVER_GAUGES
            .iter()
            .map(|(m, f)| (*m, saturating_i64(f(driver))));
        Self {
            counters: core.chain(own).collect(),
            gauges: gauges.chain(own_gauges).collect(),
        }
    }
}

impl Collector for MetricValues {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), Error> {
        for (metric, value) in &self.counters {
            let value = ConstCounter::new(*value);
            let kind = value.metric_type();
            value.encode(encoder.encode_descriptor(
                metric.name,
                metric.description,
                None,
                kind,
            )?)?;
        }
        for (metric, value) in &self.gauges {
            let value = ConstGauge::new(*value);
            let kind = value.metric_type();
            value.encode(encoder.encode_descriptor(
                metric.name,
                metric.description,
                None,
                kind,
            )?)?;
        }
        Ok(())
    }
}

fn share_ppm(share: CapacityShare) -> i64 {
    let parts = share.size() * 1_000_000 / CapacityShare::WHOLE.size();
    saturating_i64(parts)
}

fn age_ms(age: Option<Duration>) -> i64 {
    age.map_or(-1, |a| i64::try_from(a.as_millis()).unwrap_or(i64::MAX))
}

fn saturating_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
