use std::pin::Pin;
use std::sync::Arc;

use futures::Stream;
use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use zinniadrift_proto::v1::timeline_server::{Timeline, TimelineServer};
use zinniadrift_proto::v1::{TimelineEvent, TimelineQuery, TimelineReceipt, TimelineReport};

use super::{Collector, Filter};

/// The events per message of a query's response, so that a message stays below the codec's limit of
/// 4 MB.
const EVENTS_PER_MESSAGE: usize = 1_000;
/// The most events in a report; larger reports are rejected.
///
/// A sender within its budget stays far below.
const MAX_REPORT_EVENTS: usize = 10_000;

/// Serves the collector over gRPC until `stop` completes.
///
/// # Errors
///
/// Fails if the server fails.
pub async fn serve_collector(
    listener: TcpListener,
    collector: Arc<Collector>,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    let service = TimelineServer::new(Service { collector });
    Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(TcpIncoming::from(listener), stop)
        .await
}

struct Service {
    collector: Arc<Collector>,
}

#[tonic::async_trait]
impl Timeline for Service {
    type QueryStream = Pin<Box<dyn Stream<Item = Result<TimelineReport, Status>> + Send>>;

    async fn report(
        &self,
        req: Request<TimelineReport>,
    ) -> Result<Response<TimelineReceipt>, Status> {
        let report = req.into_inner();
        if report.events.len() > MAX_REPORT_EVENTS {
            return Err(Status::invalid_argument("too many events in one report"));
        }
        let events = report.events.into_iter().map(Into::into);
        self.collector.add(events, report.dropped);
        Ok(Response::new(TimelineReceipt {}))
    }

    async fn query(
        &self,
        req: Request<TimelineQuery>,
    ) -> Result<Response<Self::QueryStream>, Status> {
        let filter = Filter::from(req.into_inner());
        let events = self.collector.select(&filter);
        let mut parts: Vec<_> = events.chunks(EVENTS_PER_MESSAGE).map(to_report).collect();
        parts.push(Ok(TimelineReport {
            events: Vec::new(),
            dropped: self.collector.missing(),
        }));
        Ok(Response::new(Box::pin(futures::stream::iter(parts))))
    }
}

fn to_report(events: &[super::Event]) -> Result<TimelineReport, Status> {
    let events = events.iter().cloned().map(TimelineEvent::from).collect();
    Ok(TimelineReport { events, dropped: 0 })
}
