use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinError, JoinSet};
use tokio_util::sync::CancellationToken;

use zinniadrift_core::steering::{
    FanOut, FlowReset, PauseDetector, Position, ProbeResult, SegmentKind, Steering, Verdict,
};
use zinniadrift_core::units::{MonoTime, Version};

use super::decision_log::DecisionLog;
use super::driver_counters::DriverCounters;
use super::edge_metrics::EdgeHistograms;
use super::held_datagrams::HeldDatagrams;
use super::input::{DriverState, Input, ObservationState, OutgoingObservations};
use super::probe::probe;
use super::supervisor::contain;
use super::waiting_packets::WaitingPackets;
use super::{Feed, FeedResponse, FeedUpdate, PlatformAdapter};
use crate::daemon::RunClock;

/// The maximum number of datagrams read before other events are processed.
const BATCH_SIZE: usize = 64;
/// The size in bytes of the receive buffer; longer datagrams are not valid packets.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// An event that the driver waits for.
enum Event {
    Readable(std::io::Result<()>),
    Input(Input),
    Probed(Result<(Box<str>, ProbeResult), JoinError>),
    Leave,
    Tick,
}

/// The known revision and version of the store's content, and the time since the store confirmed
/// each.
struct Freshness {
    last_change: Position,
    version: Version,
    directory_age: Option<Duration>,
    routes_age: Option<Duration>,
    last_zone_change: Position,
    zones_age: Option<Duration>,
}

/// The event loop of an edge balancer: passes packets, inputs and timer ticks to the core and sends
/// the resulting packets.
pub(super) struct Driver<A> {
    pub(super) adapter: watch::Receiver<Arc<A>>,
    pub(super) clock: RunClock,
    pub(super) socket: UdpSocket,
    pub(super) steering: Steering,
    pub(super) ready: watch::Sender<bool>,
    pub(super) state: watch::Sender<DriverState>,
    pub(super) inputs: mpsc::Receiver<Input>,
    pub(super) held: HeldDatagrams,
    pub(super) waiting: WaitingPackets,
    /// The leases of peers, read for the metrics.
    pub(super) fan_out: Arc<Mutex<FanOut>>,
    pub(super) leave: CancellationToken,
    pub(super) stop_within: Duration,
    pub(super) log: DecisionLog,
    pub(super) counters: DriverCounters,
    pub(super) histograms: EdgeHistograms,
    pub(super) probes: JoinSet<(Box<str>, ProbeResult)>,
}

/// The time without packets after which a leaving balancer counts as out of rotation.
const IDLE_PERIOD: Duration = Duration::from_millis(700);
/// The minimum time from the signal to terminate to the exit: routers take a balancer out of
/// rotation after two failed probes, which they send every half second.
const MIN_LEAVE_TIME: Duration = Duration::from_millis(1_600);

impl<A: PlatformAdapter> Driver<A> {
    /// Forwards packets until the process is asked to stop and the routers send no more packets, or
    /// until `stop_within` has passed since the request.
    pub(super) async fn run(&mut self) {
        let mut buf = vec![0_u8; MAX_DATAGRAM_BYTES];
        let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        let mut leaving_since: Option<MonoTime> = None;
        let start = self.clock.now();
        let mut pauses = PauseDetector::new(start, RunClock::suspended());
        let mut last_packet = start;
        loop {
            let event = self.next_event(leaving_since.is_none()).await;
            let now = self.clock.now();
            if let Some(pause) = pauses.begin_iteration(now, RunClock::suspended()) {
                self.on_pause(now, pause);
            }
            match event {
                Event::Readable(Ok(())) => {
                    last_packet = now;
                    let drained = contain("packet", || self.drain_socket(now, &mut buf, &mut out));
                    self.counters.inputs_failed += u64::from(drained.is_none());
                }
                Event::Readable(Err(e)) => {
                    tracing::error!(error = %e, "packet socket failed; stopping");
                    return;
                }
                Event::Input(input) => {
                    let applied = contain("message", || {
                        self.on_input(input);
                        self.release_held(&mut out);
                    });
                    self.counters.inputs_failed += u64::from(applied.is_none());
                }
                Event::Probed(done) => self.on_probe_done(done, &mut out),
                Event::Leave => {
                    tracing::info!("leaving: reported as not ready, still forwarding");
                    leaving_since = Some(now);
                    self.steering.stop_holding(now);
                    self.ready.send_replace(false);
                }
                Event::Tick => {
                    self.steering.tick(now);
                    self.release_held(&mut out);
                    self.waiting.retain(|flow| self.steering.is_waiting(flow));
                }
            }
            self.forward_admitted(&mut out);
            let now = self.clock.now();
            pauses.end_iteration(now);
            self.publish_observations();
            self.flush_log(now);
            self.start_probes();
            let Some(since) = leaving_since else {
                self.update_readiness();
                continue;
            };
            let elapsed = now.since(since);
            let is_idle = elapsed >= MIN_LEAVE_TIME && now.since(last_packet) >= IDLE_PERIOD;
            if is_idle || elapsed >= self.stop_within {
                return;
            }
        }
    }

    async fn next_event(&mut self, may_leave: bool) -> Event {
        let tick = self.clock.instant(self.steering.next_tick());
        tokio::select! {
            result = self.socket.readable() => Event::Readable(result),
            Some(input) = self.inputs.recv() => Event::Input(input),
            Some(done) = self.probes.join_next() => Event::Probed(done),
            () = self.leave.cancelled(), if may_leave => Event::Leave,
            () = tokio::time::sleep_until(tick) => Event::Tick,
        }
    }

    fn on_pause(&mut self, now: MonoTime, pause: Duration) {
        let ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        tracing::warn!(gap_ms = ms, "process was paused; knowledge is read again");
        self.counters.pauses += 1;
        self.steering.on_pause(now);
        let pauses = self.steering.pause_count();
        self.state.send_modify(|s| s.pauses = pauses);
    }

    fn drain_socket(&mut self, now: MonoTime, buf: &mut [u8], out: &mut Vec<u8>) {
        let adapter = Arc::clone(&self.adapter.borrow());
        for _ in 0..BATCH_SIZE {
            let len = match self.socket.try_recv_from(buf) {
                Ok((len, _)) => len,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(e) => {
                    tracing::debug!(error = %e, "cannot receive a datagram");
                    return;
                }
            };
            self.counters.received += 1;
            self.on_datagram(&*adapter, now, &buf[..len], out);
        }
    }

    fn on_datagram(&mut self, adapter: &A, now: MonoTime, datagram: &[u8], out: &mut Vec<u8>) {
        if !self.steering.can_place(now) {
            self.held.push(now, datagram);
            return;
        }
        let Some(seg) = adapter.decode(datagram) else {
            self.counters.malformed += 1;
            return;
        };
        let opens = matches!(seg.kind, SegmentKind::Open { .. });
        if opens && !self.steering.can_open(now) {
            self.held.push(now, datagram);
            return;
        }
        let verdict = self.steering.on_segment(now, &seg);
        for flow in self.steering.take_superseded() {
            self.waiting.discard(&flow);
        }
        match verdict {
            Verdict::Forward {
                to,
                instance_id,
                cookie,
            } => {
                adapter.encode_forward(datagram, instance_id, cookie, out);
                self.send(to.into(), out);
            }
            Verdict::Reset { seq, .. } => {
                let to = adapter.encode_reset(seg.flow, seq, out);
                self.send(to, out);
            }
            Verdict::Hold => self.waiting.push(&seg, datagram),
            Verdict::Drop(_) => {}
        }
    }

    /// Forwards the packets of waiting requests that go on now.
    fn forward_admitted(&mut self, out: &mut Vec<u8>) {
        let adapter = Arc::clone(&self.adapter.borrow());
        let now = self.clock.now();
        for flow in self.steering.take_admitted() {
            for datagram in self.waiting.take(&flow) {
                self.on_datagram(&*adapter, now, &datagram, out);
            }
        }
    }

    fn release_held(&mut self, out: &mut Vec<u8>) {
        let now = self.clock.now();
        if !self.steering.can_open(now) {
            return;
        }
        let adapter = Arc::clone(&self.adapter.borrow());
        while let Some(datagram) = self.held.pop(now) {
            self.on_datagram(&*adapter, now, &datagram, out);
        }
    }

    fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        if let Err(e) = self.socket.try_send_to(datagram, to) {
            self.counters.send_failed += 1;
            tracing::debug!(%to, error = %e, "cannot send a datagram");
        }
    }

    fn start_probes(&mut self) {
        for target in self.steering.take_probes() {
            self.probes
                .spawn(async move { (target.name, probe(target.address).await) });
        }
    }

    fn on_probe_done(
        &mut self,
        done: Result<(Box<str>, ProbeResult), JoinError>,
        out: &mut Vec<u8>,
    ) {
        let (name, result) = match done {
            Ok(done) => done,
            Err(e) => {
                tracing::error!(error = %e, "probe task failed");
                return;
            }
        };
        let now = self.clock.now();
        let adapter = Arc::clone(&self.adapter.borrow());
        for FlowReset { flow, seq } in self.steering.on_probe(now, &name, result) {
            let to = adapter.encode_reset(flow, seq, out);
            self.send(to, out);
        }
    }

    fn on_input(&mut self, input: Input) {
        let now = self.clock.now();
        let before = self.freshness(now);
        match input {
            Input::Store(feed, response, pauses) => {
                let confirmed_at = self.steering.confirmation_time(now, pauses);
                self.on_store_response(now, confirmed_at, feed, response);
            }
            Input::PeerUpdate(update, pauses, sent_at) => {
                if let Some(grant) = update.share {
                    self.steering.on_share(now, sent_at, pauses, grant);
                }
                self.steering.on_peer_update(now, pauses, *update);
            }
            Input::PeerRequest(request, tx) => {
                let mut update = self.steering.update_for(now, request.known);
                if let Some(update) = &mut update {
                    if let Some(req) = &request.share {
                        update.share = self.steering.grant_share(now, req);
                    }
                    self.steering
                        .add_observations(now, request.observations, update);
                }
                // The requesting connection may have been closed meanwhile.
                tx.send(update).unwrap_or_default();
            }
            Input::Observations(report) => {
                self.steering.on_observation_report(now, &report);
            }
            Input::ReportObservations { is_relay, tx } => {
                let report = self.steering.observation_report(now, is_relay);
                let known = self.steering.observations().known_upstream();
                // The asking task may have given up meanwhile.
                tx.send(OutgoingObservations { report, known })
                    .unwrap_or_default();
            }
            Input::Metrics(tx) => tx.send(self.metrics()).unwrap_or_default(),
            Input::Settings(cfg) => {
                self.stop_within = cfg.stop_within;
                self.steering.set_relay_position(now, cfg.relay_position());
                self.steering.set_settings(cfg.steering);
            }
        }
        self.observe_changes(now, &before);
        self.publish_state();
    }

    fn freshness(&self, now: MonoTime) -> Freshness {
        Freshness {
            last_change: self.steering.directory().last_change(),
            version: self.steering.routes().version(),
            directory_age: self.steering.directory_sync().age(now),
            routes_age: self.steering.routes_sync().age(now),
            last_zone_change: self.steering.zone_drains().last_change(),
            zones_age: self.steering.zone_drains().age(now),
        }
    }

    /// Records the maximum age of newly learned changes: the time since the confirmation before
    /// them.
    fn observe_changes(&self, now: MonoTime, before: &Freshness) {
        let after = self.freshness(now);
        let new_targets = after.last_change > before.last_change;
        let new_routes = after.version > before.version;
        let new_zones = after.last_zone_change > before.last_zone_change;
        for (feed, is_new, age) in [
            (Feed::Targets, new_targets, before.directory_age),
            (Feed::Routes, new_routes, before.routes_age),
            (Feed::ZoneDrains, new_zones, before.zones_age),
        ] {
            // Without an earlier confirmation there is no upper limit of the age.
            if let Some(age) = age.filter(|_| is_new) {
                self.histograms.observe_change(feed, age);
            }
        }
    }

    fn on_store_response(
        &mut self,
        now: MonoTime,
        confirmed_at: Option<MonoTime>,
        feed: Feed,
        response: FeedResponse,
    ) {
        let as_of = response.as_of;
        tracing::debug!(%feed, %as_of, changed = response.update.is_some(), "store answered");
        let confirmed_at = confirmed_at.filter(|_| !response.stale);
        match (response.update, feed) {
            (Some(FeedUpdate::Listing(listing)), _) => {
                self.steering.on_listing(now, confirmed_at, listing);
            }
            (Some(FeedUpdate::Changes(changes)), _) => {
                self.steering.on_changes(now, confirmed_at, changes, as_of);
            }
            (Some(FeedUpdate::Routes(table)), _) => {
                self.steering.on_routes(now, confirmed_at, as_of, table);
            }
            (Some(FeedUpdate::ZoneDrains(zones)), _) => {
                self.steering
                    .on_zone_drains(now, confirmed_at, as_of, zones);
            }
            (Some(FeedUpdate::ZoneChanges(changes)), _) => {
                self.steering
                    .on_zone_changes(now, confirmed_at, as_of, changes);
            }
            (None, Feed::ZoneDrains) => {
                self.steering
                    .on_zone_changes(now, confirmed_at, as_of, Vec::new());
            }
            (None, Feed::Targets) if !response.stale => {
                self.steering
                    .on_changes(now, confirmed_at, Vec::new(), as_of);
            }
            (None, Feed::Routes) => {
                if let Some(at) = confirmed_at {
                    self.steering.confirm_routes(at, as_of);
                }
            }
            (None, Feed::Targets) => {}
        }
    }

    fn publish_state(&self) {
        let known = self.steering.known_state();
        let last_change = self.steering.directory().last_change();
        let last_zone_change = self.steering.zone_drains().last_change();
        let last_confirmed = self.steering.last_confirmed();
        let wants_share = self.steering.wants_share();
        let subtree = self.steering.subtree(self.clock.now());
        self.state.send_if_modified(|state| {
            let new = DriverState {
                known,
                last_change,
                last_zone_change,
                last_confirmed,
                wants_share,
                subtree,
                ..*state
            };
            std::mem::replace(state, new) != new
        });
    }

    fn publish_observations(&self) {
        let table = self.steering.observations();
        let new = ObservationState {
            enabled: self.steering.shares_observations(),
            alert: table.alert(),
            urgent_reports: table.urgent_reports(),
        };
        self.state
            .send_if_modified(|s| std::mem::replace(&mut s.observations, new) != new);
    }

    fn update_readiness(&self) {
        let ready = self.steering.can_place(self.clock.now());
        let changed = self
            .ready
            .send_if_modified(|r| std::mem::replace(r, ready) != ready);
        if changed {
            tracing::info!(ready, "readiness changed");
        }
    }

    fn metrics(&self) -> String {
        let now = self.clock.now();
        let counters = DriverCounters {
            held_too_long: self.held.dropped(),
            waiting_dropped: self.waiting.dropped(),
            lines_suppressed: self.log.suppressed(),
            peers_answered: self.fan_out.lock().active_leases(now) as u64,
            ..self.counters
        };
        let text = self.histograms.render(&self.steering, &counters, now);
        text.unwrap_or_else(|e| {
            tracing::error!(error = %e, "cannot encode the metrics");
            String::new()
        })
    }

    fn flush_log(&mut self, now: MonoTime) {
        for decision in self.steering.take_decisions() {
            self.log.write(now, &decision);
        }
        for (service, took) in self.steering.take_response_times() {
            self.histograms.observe_answer(service, took);
        }
    }
}
