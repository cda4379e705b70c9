use zinniadrift_core::ids::ZoneName;

use crate::PeerUpdateError;

/// The names of the availability zones in one message, to which targets refer by position.
#[derive(Debug, Default)]
pub(crate) struct ZoneTable {
    names: Vec<ZoneName>,
}

impl ZoneTable {
    /// Returns the table of the names in a message.
    pub(crate) fn from_names(names: Vec<String>) -> Self {
        let names = names.into_iter().map(|n| n.into_boxed_str().into());
        Self {
            names: names.collect(),
        }
    }

    /// Returns the position of a name, which is added if it is new.
    pub(crate) fn position(&mut self, zone: ZoneName) -> u32 {
        let known = self.names.iter().position(|n| *n == zone);
        let position = known.unwrap_or_else(|| {
            self.names.push(zone);
            self.names.len() - 1
        });
        // A message has fewer zones than targets, which are counted in 32 bits.
        u32::try_from(position).unwrap_or(u32::MAX)
    }

    /// Returns the name at a position.
    pub(crate) fn name(&self, position: u32) -> Result<ZoneName, PeerUpdateError> {
        let position = usize::try_from(position).ok();
        let name = position.and_then(|p| self.names.get(p));
        name.cloned().ok_or(PeerUpdateError::UnknownZone)
    }

    /// Returns the names by position.
    pub(crate) fn into_names(self) -> Vec<String> {
        let names = self.names.iter();
        names.map(|n| AsRef::<str>::as_ref(n).to_owned()).collect()
    }
}
