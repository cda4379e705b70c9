use zinniadrift_core::gateway::{Gateway, GatewaySettings, Peer};
use zinniadrift_core::ids::{Incarnation, MemberId, ZoneName};
use zinniadrift_core::units::MonoTime;

use super::WorldSettings;
use super::event::Origin;

/// Is a gateway of the simulation with the state of its process.
#[derive(Debug)]
pub(super) struct Node {
    /// The real core.
    pub(super) core: Gateway,
    /// This run of the gateway.
    pub(super) origin: Origin,
    /// Whether the process runs.
    pub(super) alive: bool,
    /// The end of the pause in progress.
    pub(super) paused_until: MonoTime,
    /// The time of the tick that is scheduled.
    pub(super) tick_at: Option<MonoTime>,
    peer: Peer,
}

impl Node {
    pub(super) fn new(index: usize, zone: &ZoneName, cfg: &WorldSettings) -> Self {
        let peer = Peer {
            member: MemberId::from_name(&format!("gateway-{index}")),
            zone: zone.clone(),
        };
        let origin = Origin {
            node: index,
            run: 1,
        };
        Self {
            core: start(&peer, origin, cfg),
            origin,
            alive: true,
            paused_until: MonoTime::default(),
            tick_at: None,
            peer,
        }
    }

    /// Returns the gateway as its peers see it.
    pub(super) fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Starts the process anew, without any memory.
    pub(super) fn restart(&mut self, cfg: &WorldSettings) {
        self.origin.run += 1;
        self.core = start(&self.peer, self.origin, cfg);
        self.alive = true;
        self.paused_until = MonoTime::default();
        self.tick_at = None;
    }
}

fn start(peer: &Peer, origin: Origin, cfg: &WorldSettings) -> Gateway {
    Gateway::new(GatewaySettings {
        member: peer.member,
        incarnation: Incarnation::from(origin.run),
        zone: peer.zone.clone(),
        seed: cfg.seed ^ (origin.node as u64) << 32 ^ origin.run,
        lease: cfg.lease,
        mechanisms: cfg.mechanisms,
        ..GatewaySettings::default()
    })
}
