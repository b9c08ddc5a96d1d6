//! Chooses where a fault goes, so that some of each kind of process stay untouched.

use std::{collections::BTreeSet, sync::Arc};

use parking_lot::Mutex;
use rand::{rngs::StdRng, seq::IndexedRandom};

use super::Injector;
use crate::site::fleet::{Fleet, Role};

/// Things that a fault holds at the moment.
#[derive(Clone, Debug, Default)]
pub(super) struct Busy {
    names: Arc<Mutex<BTreeSet<String>>>,
}

/// Holds a name for one fault.
pub(super) struct Hold {
    busy: Busy,
    /// What is held.
    pub(super) name: String,
}

/// An upstream VM under a fault.
pub(super) struct Vm {
    /// Agent.
    pub(super) agent: String,
    /// Upstream.
    pub(super) upstream: String,
    /// Service.
    pub(super) service: String,
    /// Availability zone.
    pub(super) zone: String,
    /// VM.
    pub(super) vm: String,
    _hold: Hold,
}

impl Busy {
    /// Holds a name, unless another fault does.
    pub(super) fn hold(&self, name: &str) -> Option<Hold> {
        let fresh = self.names.lock().insert(name.to_owned());
        fresh.then(|| Hold { busy: self.clone(), name: name.to_owned() })
    }

    /// Whether no fault holds the name.
    pub(super) fn is_free(&self, name: &str) -> bool {
        !self.names.lock().contains(name)
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.busy.names.lock().remove(&self.name);
    }
}

impl Injector {
    /// A balancer that no other fault holds; one at least stays untouched.
    pub(super) async fn pick_entry(&self, rng: &mut StdRng) -> Option<Hold> {
        let fleet = self.shared.fleet.lock().await;
        let mut free = fleet.running(Role::Balancer);
        free.retain(|it| self.busy.is_free(it));
        if free.len() < 2 {
            return None;
        }
        self.busy.hold(free.choose(rng)?)
    }

    /// An upstream VM that no other fault holds; half of each pool at least stays untouched.
    pub(super) async fn pick_vm(&self, rng: &mut StdRng) -> Option<Vm> {
        let fleet = self.shared.fleet.lock().await;
        let mut agents = fleet.running(Role::Agent);
        agents.retain(|it| self.is_spare(&fleet, it));
        let agent = agents.choose(rng)?;
        self.hold_vm(&fleet, agent)
    }

    /// The VM of this agent, if no other fault holds it.
    pub(super) fn hold_vm(&self, fleet: &Fleet, agent: &str) -> Option<Vm> {
        let member = fleet.get(agent).ok()?;
        Some(Vm {
            agent: agent.to_owned(),
            upstream: format!("{agent}-upstream"),
            service: member.service.clone()?,
            zone: member.zone.clone(),
            vm: member.vm.clone(),
            _hold: self.busy.hold(agent)?,
        })
    }

    /// Whether the agent is free, and more than half of its pool.
    pub(super) fn is_spare(&self, fleet: &Fleet, agent: &str) -> bool {
        let Ok(member) = fleet.get(agent) else { return false };
        let (mut all, mut free) = (0, 0);
        for (name, other) in fleet.members() {
            if other.role != Role::Agent || other.service != member.service {
                continue;
            }
            if other.process.is_none() && self.busy.is_free(name) {
                continue;
            }
            all += 1;
            if self.busy.is_free(name) {
                free += 1;
            }
        }
        self.busy.is_free(agent) && free * 2 > all
    }
}
