use zinniadrift_core::gateway::{Gateway, GatewaySettings, HedgeLimit, HedgingSettings, Peer};
use zinniadrift_core::ids::{Incarnation, MemberId, ZoneName};
use zinniadrift_core::units::MonoTime;

use super::SimulationSettings;
use super::event::GatewayInstance;

/// A simulated gateway process that runs the real gateway core.
#[derive(Debug)]
pub(super) struct GatewayProcess {
    /// The gateway core.
    pub(super) core: Gateway,
    /// The current incarnation.
    pub(super) instance: GatewayInstance,
    /// Whether the process is running.
    pub(super) alive: bool,
    /// The end of the latest pause; the process is paused if it is in the future.
    pub(super) paused_until: MonoTime,
    /// The time of the scheduled tick, if any.
    pub(super) tick_at: Option<MonoTime>,
    peer: Peer,
}

impl GatewayProcess {
    pub(super) fn new(index: usize, zone: &ZoneName, cfg: &SimulationSettings) -> Self {
        let peer = Peer {
            member: MemberId::from_name(&format!("gateway-{index}")),
            zone: zone.clone(),
        };
        let instance = GatewayInstance {
            gateway: index,
            incarnation: 1,
        };
        Self {
            core: start(&peer, instance, cfg),
            instance,
            alive: true,
            paused_until: MonoTime::default(),
            tick_at: None,
            peer,
        }
    }

    /// Returns the gateway's entry in the list of live gateways.
    pub(super) fn peer(&self) -> &Peer {
        &self.peer
    }

    /// Restarts the process with the next incarnation and empty state.
    pub(super) fn restart(&mut self, cfg: &SimulationSettings) {
        self.instance.incarnation += 1;
        self.core = start(&self.peer, self.instance, cfg);
        self.alive = true;
        self.paused_until = MonoTime::default();
        self.tick_at = None;
    }
}

fn start(peer: &Peer, instance: GatewayInstance, cfg: &SimulationSettings) -> Gateway {
    Gateway::new(GatewaySettings {
        member: peer.member,
        incarnation: Incarnation::from(instance.incarnation),
        zone: peer.zone.clone(),
        seed: cfg.seed ^ (instance.gateway as u64) << 32 ^ instance.incarnation,
        lease: cfg.lease,
        hedging: HedgingSettings {
            enabled: cfg.hedging.share > 0.0,
            share: HedgeLimit::try_from(cfg.hedging.share).unwrap_or_default(),
        },
        mechanisms: cfg.mechanisms,
        ..GatewaySettings::default()
    })
}
