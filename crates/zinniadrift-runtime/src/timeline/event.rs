use serde::Serialize;

use zinniadrift_proto::v1::TimelineEvent;

/// A state change of a process.
///
/// Events sort in causal order: by hybrid logical time, then by origin.
#[derive(Clone, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Event {
    /// The hybrid logical time as NTP64.
    pub time: u64,
    /// The process and its incarnation.
    pub origin: Box<str>,
    /// The process's availability zone.
    pub zone: Box<str>,
    /// The process's name.
    pub host: Box<str>,
    /// The service's path, if the event concerns one.
    pub service: Box<str>,
    /// The flow, if the event concerns one.
    pub flow: Box<str>,
    /// The request's key, if the event concerns one.
    pub request: Box<str>,
    /// The kind of event.
    pub kind: Box<str>,
    /// The description of the change.
    pub text: Box<str>,
}

impl Event {
    /// Returns the physical part of the time as RFC 3339 text.
    pub fn rfc3339_time(&self) -> String {
        uhlc::NTP64(self.time).to_string_rfc3339_lossy()
    }
}

impl From<TimelineEvent> for Event {
    fn from(e: TimelineEvent) -> Self {
        Self {
            time: e.time,
            origin: e.origin.into(),
            zone: e.zone.into(),
            host: e.host.into(),
            service: e.service.into(),
            flow: e.flow.into(),
            request: e.request.into(),
            kind: e.kind.into(),
            text: e.text.into(),
        }
    }
}

impl From<Event> for TimelineEvent {
    fn from(e: Event) -> Self {
        Self {
            time: e.time,
            origin: e.origin.into(),
            zone: e.zone.into(),
            host: e.host.into(),
            service: e.service.into(),
            flow: e.flow.into(),
            request: e.request.into(),
            kind: e.kind.into(),
            text: e.text.into(),
        }
    }
}
