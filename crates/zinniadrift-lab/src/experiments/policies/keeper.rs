use xxhash_rust::xxh3::xxh3_64_with_seed;

use zinniadrift_core::flow::{FlowKey, FlowPacket, PacketKind};
use zinniadrift_core::ids::TargetId;

use super::flow_tables::FlowTables;
use super::rule::{Rule, RuleContext};

/// The payload bytes of a datagram that replicates an entry: flow, target and envelope.
const REPLICA_PAYLOAD_BYTES: u64 = 48;
/// The payload bytes of an acknowledgement or of a query for an entry.
const SHORT_PAYLOAD_BYTES: u64 = 32;

/// A rule under which one member owns each flow.
///
/// The owner decides for all packets of the flow and replicates the flow's entry to one backup
/// member.
#[derive(Debug, Default)]
pub(crate) struct Keeper {
    /// The entries that each member holds as owner or as backup.
    entries: FlowTables,
}

impl Rule for Keeper {
    fn place(&mut self, member: usize, pkt: &FlowPacket, cx: &mut RuleContext) -> Option<TargetId> {
        let (owner, backup) = owner_and_backup(&pkt.flow, cx.presumed_alive)?;
        cx.handling_member = owner;
        if owner != member {
            *cx.relayed += 1;
        }
        let view = &cx.views[owner];
        let alive = |t: &TargetId| view.is_alive(*t);
        if matches!(pkt.kind, PacketKind::Close | PacketKind::Reset) {
            let known = self.entries.get(owner, &pkt.flow);
            self.entries.remove(owner, &pkt.flow);
            if let Some(backup) = backup {
                self.entries.remove(backup, &pkt.flow);
                cx.count_datagram(owner, backup, REPLICA_PAYLOAD_BYTES);
            }
            return known.or_else(|| cx.views[owner].live_target(&pkt.flow));
        }
        let replica = backup.and_then(|b| self.entries.get(b, &pkt.flow));
        if let Some(target) = self.entries.get(owner, &pkt.flow).filter(alive) {
            if replica != Some(target) {
                self.store(owner, backup, &pkt.flow, target, pkt.kind, cx);
            }
            return Some(target);
        }
        let target = match replica.filter(alive) {
            Some(target) => target,
            None => view.live_target(&pkt.flow)?,
        };
        self.store(owner, backup, &pkt.flow, target, pkt.kind, cx);
        Some(target)
    }

    fn clear_member(&mut self, member: usize) {
        self.entries.clear(member);
    }

    fn state_bytes(&self) -> u64 {
        self.entries.bytes()
    }

    fn has_membership(&self) -> bool {
        true
    }
}

impl Keeper {
    /// Stores an entry on the owner and the backup, and counts the datagrams that this requires.
    fn store(
        &mut self,
        owner: usize,
        backup: Option<usize>,
        flow: &FlowKey,
        target: TargetId,
        kind: PacketKind,
        cx: &mut RuleContext,
    ) {
        self.entries.insert(owner, flow, target);
        let Some(backup) = backup else {
            return;
        };
        self.entries.insert(backup, flow, target);
        if kind != PacketKind::Open {
            cx.count_datagram(owner, backup, SHORT_PAYLOAD_BYTES);
        }
        cx.count_datagram(owner, backup, REPLICA_PAYLOAD_BYTES);
        cx.count_datagram(backup, owner, SHORT_PAYLOAD_BYTES);
    }
}

/// Returns the owner and the backup of a flow: the two live members with the highest rendezvous
/// weights.
fn owner_and_backup(flow: &FlowKey, alive: &[bool]) -> Option<(usize, Option<usize>)> {
    let hash = flow.hash64().to_le_bytes();
    let mut best: Option<(u64, usize)> = None;
    let mut second: Option<(u64, usize)> = None;
    for (member, _) in alive.iter().enumerate().filter(|(_, alive)| **alive) {
        let scored = Some((xxh3_64_with_seed(&hash, member as u64), member));
        if scored > best {
            second = best;
            best = scored;
        } else if scored > second {
            second = scored;
        }
    }
    best.map(|(_, owner)| (owner, second.map(|(_, member)| member)))
}
