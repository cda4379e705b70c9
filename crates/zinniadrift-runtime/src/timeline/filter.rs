use zinniadrift_proto::v1::TimelineQuery;

use super::Event;

/// A filter for events of the time line; an absent field matches all events.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Filter {
    /// The availability zone.
    pub zone: Option<Box<str>>,
    /// The process's name.
    pub host: Option<Box<str>>,
    /// The service's path.
    pub service: Option<Box<str>>,
    /// The flow.
    pub flow: Option<Box<str>>,
    /// The request's key.
    pub request: Option<Box<str>>,
    /// The kind of event.
    pub kind: Option<Box<str>>,
}

impl Filter {
    /// Returns whether the event matches all fields that are present.
    pub fn matches(&self, e: &Event) -> bool {
        let wanted = [
            (&self.zone, &e.zone),
            (&self.host, &e.host),
            (&self.service, &e.service),
            (&self.flow, &e.flow),
            (&self.request, &e.request),
            (&self.kind, &e.kind),
        ];
        wanted
            .into_iter()
            .all(|(want, have)| want.as_ref().is_none_or(|w| w == have))
    }
}

impl From<TimelineQuery> for Filter {
    fn from(q: TimelineQuery) -> Self {
        let given = |text: String| (!text.is_empty()).then(|| text.into());
        Self {
            zone: given(q.zone),
            host: given(q.host),
            service: given(q.service),
            flow: given(q.flow),
            request: given(q.request),
            kind: given(q.kind),
        }
    }
}

impl From<Filter> for TimelineQuery {
    fn from(f: Filter) -> Self {
        let text = |field: Option<Box<str>>| field.unwrap_or_default().into();
        Self {
            zone: text(f.zone),
            host: text(f.host),
            service: text(f.service),
            flow: text(f.flow),
            request: text(f.request),
            kind: text(f.kind),
        }
    }
}
