//! Selects fault targets so that enough processes of each kind stay unaffected.

use std::{collections::BTreeSet, sync::Arc};

use parking_lot::Mutex;
use rand::{rngs::StdRng, seq::IndexedRandom};

use super::Injector;
use crate::site::fleet::{Fleet, Role};

/// Names reserved by faults in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct Reservations {
    names: Arc<Mutex<BTreeSet<String>>>,
}

/// A name reserved for one fault; released when dropped.
pub(super) struct Reservation {
    reservations: Reservations,
    /// The reserved name.
    pub(super) name: String,
}

/// An upstream VM reserved for one fault.
pub(super) struct UpstreamVm {
    /// Name of the agent.
    pub(super) agent: String,
    /// Name of the upstream.
    pub(super) upstream: String,
    /// Name of the service.
    pub(super) service: String,
    /// Availability zone.
    pub(super) zone: String,
    /// Name of the VM.
    pub(super) vm: String,
    _reservation: Reservation,
}

impl Reservations {
    /// Reserves a name; `None` if it is reserved already.
    pub(super) fn reserve(&self, name: &str) -> Option<Reservation> {
        let fresh = self.names.lock().insert(name.to_owned());
        fresh.then(|| Reservation { reservations: self.clone(), name: name.to_owned() })
    }

    /// Whether the name is not reserved.
    pub(super) fn is_free(&self, name: &str) -> bool {
        !self.names.lock().contains(name)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.reservations.names.lock().remove(&self.name);
    }
}

impl Injector {
    /// Reserves a balancer, always leaving at least one free.
    pub(super) async fn pick_balancer(&self, rng: &mut StdRng) -> Option<Reservation> {
        let fleet = self.shared.fleet.lock().await;
        let mut free = fleet.running(Role::Balancer);
        free.retain(|it| self.reservations.is_free(it));
        if free.len() < 2 {
            return None;
        }
        self.reservations.reserve(free.choose(rng)?)
    }

    /// Reserves an upstream VM, leaving at least half of each pool free.
    pub(super) async fn pick_vm(&self, rng: &mut StdRng) -> Option<UpstreamVm> {
        let fleet = self.shared.fleet.lock().await;
        let mut agents = fleet.running(Role::Agent);
        agents.retain(|it| self.is_available(&fleet, it));
        let agent = agents.choose(rng)?;
        self.reserve_vm(&fleet, agent)
    }

    /// Reserves the VM of this agent, if it is free.
    pub(super) fn reserve_vm(&self, fleet: &Fleet, agent: &str) -> Option<UpstreamVm> {
        let instance = fleet.get(agent).ok()?;
        Some(UpstreamVm {
            agent: agent.to_owned(),
            upstream: format!("{agent}-upstream"),
            service: instance.service.clone()?,
            zone: instance.zone.clone(),
            vm: instance.vm.clone(),
            _reservation: self.reservations.reserve(agent)?,
        })
    }

    /// Whether the agent and more than half of its pool are free.
    pub(super) fn is_available(&self, fleet: &Fleet, agent: &str) -> bool {
        let Ok(instance) = fleet.get(agent) else { return false };
        let (mut all, mut free) = (0, 0);
        for (name, other) in fleet.instances() {
            if other.role != Role::Agent || other.service != instance.service {
                continue;
            }
            if other.process.is_none() && self.reservations.is_free(name) {
                continue;
            }
            all += 1;
            if self.reservations.is_free(name) {
                free += 1;
            }
        }
        self.reservations.is_free(agent) && free * 2 > all
    }
}
