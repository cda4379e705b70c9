use hashbrown::HashMap;

use zinniadrift_core::flow::FlowKey;
use zinniadrift_core::ids::TargetId;

use super::super::fleet::MEMBER_COUNT;

/// The bytes per entry: a 64-bit flow hash, a 32-bit target and a share of the free slots.
const ENTRY_BYTES: u64 = 16;

/// The flow tables of all members, one per member.
#[derive(Debug)]
pub(crate) struct FlowTables {
    tables: [HashMap<u64, TargetId>; MEMBER_COUNT],
}

impl Default for FlowTables {
    fn default() -> Self {
        Self {
            tables: std::array::from_fn(|_| HashMap::new()),
        }
    }
}

impl FlowTables {
    pub(crate) fn get(&self, member: usize, flow: &FlowKey) -> Option<TargetId> {
        self.tables[member].get(&flow.hash64()).copied()
    }

    pub(crate) fn insert(&mut self, member: usize, flow: &FlowKey, target: TargetId) {
        self.tables[member].insert(flow.hash64(), target);
    }

    pub(crate) fn remove(&mut self, member: usize, flow: &FlowKey) {
        self.tables[member].remove(&flow.hash64());
    }

    pub(crate) fn clear(&mut self, member: usize) {
        self.tables[member].clear();
    }

    /// Returns the bytes of the entries of all members.
    pub(crate) fn bytes(&self) -> u64 {
        let entries: usize = self.tables.iter().map(HashMap::len).sum();
        entries as u64 * ENTRY_BYTES
    }
}
