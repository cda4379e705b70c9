use crate::ids::ZoneName;

/// A change of the set of drained zones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ZoneChange {
    /// The zone is taken out of service.
    Drained(ZoneName),
    /// The zone is in service again.
    Returned(ZoneName),
}
