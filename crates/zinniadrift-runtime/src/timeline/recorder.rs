use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use zinniadrift_core::ids::ZoneName;

use super::sender::run_sender;
use super::{Event, HybridClock};

/// The capacity of the queue of unsent events; further events are dropped and counted.
const QUEUE_EVENTS: usize = 512;

/// The recorder of a process's events: timestamps them and queues them for the sender.
#[derive(Clone, Debug)]
pub struct Recorder {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    clock: Arc<HybridClock>,
    origin: Box<str>,
    zone: Box<str>,
    host: Box<str>,
    dropped: Arc<AtomicU64>,
    tx: Option<mpsc::Sender<Event>>,
}

/// The service, flow and request that an event concerns; an empty field does not apply.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Subject {
    /// The service's path.
    pub service: Box<str>,
    /// The flow.
    pub flow: Box<str>,
    /// The request's key.
    pub request: Box<str>,
}

impl Recorder {
    /// Starts the recorder of the process `host`; without a collector address events are discarded.
    ///
    /// The sender runs in `tasks` until `stop` is cancelled, and then sends a last report.
    pub fn start(
        clock: Arc<HybridClock>,
        host: &str,
        zone: &ZoneName,
        incarnation: u64,
        collector: Option<SocketAddr>,
        tasks: &TaskTracker,
        stop: CancellationToken,
    ) -> Self {
        let dropped = Arc::new(AtomicU64::new(0));
        let tx = collector.map(|address| {
            let (tx, rx) = mpsc::channel(QUEUE_EVENTS);
            tasks.spawn(run_sender(address, rx, dropped.clone(), stop));
            tx
        });
        let inner = Inner {
            clock,
            origin: format!("{host}/{incarnation:x}").into(),
            zone: zone.to_string().into(),
            host: host.into(),
            dropped,
            tx,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Records an event that concerns the whole process.
    pub fn record(&self, kind: &str, text: impl Into<Box<str>>) {
        self.record_about(Subject::default(), kind, text);
    }

    /// Records an event that concerns a service, flow or request.
    pub fn record_about(&self, subject: Subject, kind: &str, text: impl Into<Box<str>>) {
        let inner = &self.inner;
        let Some(tx) = &inner.tx else {
            return;
        };
        let event = Event {
            time: inner.clock.now(),
            origin: inner.origin.clone(),
            zone: inner.zone.clone(),
            host: inner.host.clone(),
            service: subject.service,
            flow: subject.flow,
            request: subject.request,
            kind: kind.into(),
            text: text.into(),
        };
        if tx.try_send(event).is_err() {
            inner.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of events that were dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.inner.dropped.load(Ordering::Relaxed)
    }
}
