use std::collections::HashMap;

use zinniadrift_core::balancer::TimelineEvent;
use zinniadrift_core::ids::{MemberId, ServiceId, TargetId};
use zinniadrift_core::settings::ServiceCatalog;

use crate::timeline::{Recorder, Subject};

/// Records a state change of the core in the log and on the time line, with names instead of ids.
pub(super) fn record_event(
    recorder: &Recorder,
    event: &TimelineEvent,
    catalog: &ServiceCatalog,
    names: &HashMap<MemberId, Box<str>>,
) {
    let peer = |id: &MemberId| names.get(id).map_or_else(|| id.to_string(), Box::to_string);
    let (service, kind, text) = match event {
        TimelineEvent::State(state) => (None, "state", state.to_string()),
        TimelineEvent::Synchronised => (None, "sync", event.to_string()),
        TimelineEvent::Unsynchronised(_) => (None, "sync", event.to_string()),
        TimelineEvent::PeerAlive(id) => (None, "peer", format!("{} alive", peer(id))),
        TimelineEvent::PeerDead(id) => (None, "peer", format!("{} dead", peer(id))),
        TimelineEvent::Settings(_) => (None, "settings", event.to_string()),
        TimelineEvent::Rebase { service, phase } => (Some(*service), "rebase", phase.to_string()),
        TimelineEvent::Ejected { service, target } => {
            let name = target_name(catalog, *service, *target);
            (Some(*service), "target", format!("{name} ejected"))
        }
        TimelineEvent::Restored { service, target } => {
            let name = target_name(catalog, *service, *target);
            (Some(*service), "target", format!("{name} restored"))
        }
    };
    let path = service.and_then(|id| catalog.services.iter().find(|s| s.id == id));
    let subject = Subject {
        service: path.map_or_else(Box::default, |s| s.path.clone()),
        ..Subject::default()
    };
    tracing::info!(kind, service = %subject.service, "{text}");
    recorder.record_about(subject, kind, text);
}

fn target_name(catalog: &ServiceCatalog, service: ServiceId, target: TargetId) -> Box<str> {
    let service = catalog.services.iter().find(|s| s.id == service);
    let target_of = |t: TargetId| service?.targets.iter().find(|x| x.id == t);
    target_of(target).map_or_else(|| target.to_string().into(), |t| t.name.clone())
}
