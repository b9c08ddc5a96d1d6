//! Simulation of flows: placed as new by a balancer, admitted by an agent, then placed by sealed connection ID.

use std::net::{SocketAddr, SocketAddrV4};

use camphorwinch_core::{
    admit::{Admission, AgentLoad, Availability, admit},
    object::{Policy, ServiceId},
    place::{MIN_INITIAL, Placement},
    seal::{CID_LEN, FlowOwner, KeyRing},
};
use rand::Rng;

use super::world::{BALANCERS, Mutant, World, name};

const SETTLE_MS: u64 = 10_000;

/// An established flow.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    pub(crate) agent: usize,
    incarnation: u64,
    address: SocketAddr,
    caller: SocketAddr,
    service: ServiceId,
    packet: Vec<u8>,
    opened: u64,
}

fn agent_at(address: &SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[3]) - 1
}

impl World {
    fn random_balancer(&mut self) -> Option<usize> {
        let index = self.rng.random_range(0..BALANCERS);
        let it = &self.processes[index];
        (it.up && it.paused_until <= self.now && it.placer.is_some()).then_some(index)
    }

    /// Opens a flow to a random service; returns the agent that holds it.
    pub(crate) fn open_flow(&mut self) -> Option<usize> {
        let balancer = self.random_balancer()?;
        let caller = SocketAddr::from(([192, 0, 2, 1], self.rng.random_range(1_024..60_000)));
        let mut packet = vec![0; MIN_INITIAL];
        packet[..6].copy_from_slice(&[0xc3, 0, 0, 0, 1, 8]);
        self.rng.fill(&mut packet[6..14]);
        let placer = self.processes[balancer].placer.as_ref()?;
        let listeners: Vec<_> = placer.listeners().iter().collect();
        let at = self.rng.random_range(0..listeners.len().max(1));
        let &(address, listener) = listeners.get(at)?;
        let address = *address;
        let Placement::New { service, candidates } = placer.place(listener, caller, &packet) else {
            return None;
        };
        if listener.service() != Some(service) {
            self.report_violation("wrong-service");
            return None;
        }
        let count = candidates.as_slice().len();
        for (at, candidate) in candidates.as_slice().iter().enumerate() {
            let agent = agent_at(candidate);
            let reached =
                self.processes[agent].up && self.processes[agent].paused_until <= self.now;
            if !reached {
                return None;
            }
            match self.admit(agent, service, at + 1 == count) {
                Admission::Forward => continue,
                Admission::Refuse => return None,
                Admission::Accept => return self.establish(agent, address, caller, service),
            }
        }
        None
    }

    /// Returns the agent of a random open flow.
    pub(crate) fn random_open_flow(&mut self) -> Option<usize> {
        self.remove_stale_flows();
        let at = self.rng.random_range(0..self.flows.len().max(1));
        self.flows.get(at).map(|it| it.agent)
    }

    fn admit(&mut self, agent: usize, service: ServiceId, last: bool) -> Admission {
        let it = &self.processes[agent];
        if !it.snapshot.services.contains_key(&service) {
            return Admission::Refuse;
        }
        let flows = self.flows.iter().filter(|it| it.agent == agent).count() as u32;
        let load = AgentLoad {
            flows,
            flow_limit: 50,
            all_flows: flows,
            all_limit: 50,
            busy: it.work.busy,
            slots: 3,
        };
        let availability =
            if self.drains(agent) { Availability::Draining } else { Availability::Open };
        admit(Policy::Steady, availability, &load, last)
    }

    /// Whether the agent's snapshot contains a drain of the agent.
    pub(crate) fn drains(&self, agent: usize) -> bool {
        let it = &self.processes[agent];
        let place = format!("vm-{agent}");
        let zone = format!("z{}", agent % 3);
        it.snapshot.is_draining(&it.name, &place, &zone)
    }

    fn establish(
        &mut self,
        agent: usize,
        address: SocketAddr,
        caller: SocketAddr,
        service: ServiceId,
    ) -> Option<usize> {
        self.check_drained(agent);
        let ring = KeyRing::new(self.processes[agent].snapshot.keys.as_ref()?)?;
        let owner = FlowOwner {
            agent: SocketAddrV4::new([10, 0, 0, agent as u8 + 1].into(), 7_000),
            service,
        };
        let mut packet = vec![0x40];
        packet.extend(ring.seal(owner, self.rng.random()));
        packet.extend([0; 30]);
        let incarnation = self.processes[agent].incarnation;
        let opened = self.now;
        self.flows.push(Flow { agent, incarnation, address, caller, service, packet, opened });
        Some(agent)
    }

    /// Reports a violation if an agent gets work after the drain limit.
    pub(crate) fn check_drained(&mut self, agent: usize) {
        let Some(&accepted) = self.platform.drains.get(&name(agent)) else {
            return;
        };
        let limit = super::world::DRAIN_LIMIT_MS;
        let past_limit = |at: u64| at + limit < self.now;
        let balancers = &self.processes[..BALANCERS];
        let undisturbed = balancers.iter().filter(|it| past_limit(it.disturbed_until)).count();
        let agent_undisturbed = past_limit(self.platform.disturbed_until)
            && past_limit(self.processes[agent].disturbed_until);
        if past_limit(accepted) && agent_undisturbed && undisturbed >= BALANCERS - 1 {
            self.report_violation("late-work");
        }
    }

    /// Removes flows that a death or a pause of their agent may have ended. Balancers may regard an agent as dead for
    /// some time after its pause.
    fn remove_stale_flows(&mut self) {
        let processes = &self.processes;
        self.flows.retain(|it| {
            let agent = &processes[it.agent];
            agent.up
                && agent.incarnation == it.incarnation
                && agent.disturbed_until + SETTLE_MS <= it.opened
        });
        if self.flows.len() > 150 {
            let at = self.rng.random_range(0..self.flows.len());
            self.flows.swap_remove(at);
        }
    }

    /// Sends a packet of a random flow to a random balancer.
    pub(crate) fn send_random_packet(&mut self) {
        self.remove_stale_flows();
        if self.flows.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.flows.len());
        let Some(balancer) = self.random_balancer() else {
            return;
        };
        self.seen.packets += 1;
        self.place(balancer, at);
    }

    fn place(&mut self, balancer: usize, at: usize) -> bool {
        let flow = self.flows[at].clone();
        let Some(placer) = &self.processes[balancer].placer else {
            return false;
        };
        let Some(listener) = placer.listeners().get(&flow.address) else {
            return false;
        };
        let mut placement = placer.place(listener, flow.caller, &flow.packet);
        if self.plan.mutant == Some(Mutant::IgnoresFlowOwners) {
            let mut first = vec![0; MIN_INITIAL];
            first[..6].copy_from_slice(&[0xc3, 0, 0, 0, 1, 8]);
            placement = placer.place(listener, flow.caller, &first);
        }
        match placement {
            Placement::Owner { owner, .. } => {
                if agent_at(&owner.agent) != flow.agent || owner.service != flow.service {
                    self.report_violation("wrong-agent");
                }
                self.seen.placed += 1;
                true
            }
            Placement::New { .. } => {
                self.report_violation("wrong-agent");
                false
            }
            Placement::Reset(_) => {
                self.report_violation("live-flow-reset");
                false
            }
            Placement::Drop(_) => false,
        }
    }

    /// Sends a packet of a flow to addresses that its service never used.
    pub(crate) fn send_to_wrong_address(&mut self) {
        let Some(balancer) = self.random_balancer() else {
            return;
        };
        let ignores = self.mutant(Mutant::IgnoresService);
        let it = &self.processes[balancer];
        let (Some(placer), Some(keys)) = (&it.placer, &it.snapshot.keys) else {
            return;
        };
        let Some(ring) = KeyRing::new(keys) else {
            return;
        };
        let agent = SocketAddrV4::new([10, 0, 0, 4].into(), 7_000);
        let owner = FlowOwner { agent, service: ServiceId::new("other") };
        let mut packet = vec![0x40];
        packet.extend(ring.seal(owner, [1, 2, 3]));
        packet.extend([0; 30]);
        let caller = SocketAddr::from(([192, 0, 2, 9], 9));
        let mut reached = false;
        for listener in placer.listeners().values() {
            reached |= match ignores {
                true => ring.open(&packet[1..=CID_LEN]).is_some(),
                false => !matches!(placer.place(listener, caller, &packet), Placement::Drop(_)),
            };
        }
        if reached {
            self.report_violation("wrong-service");
        }
    }

    /// Whether the balancer never saw the flow's service at its address, because it started later or was isolated. It
    /// does not place flows from before the move; see `docs/PROOFS.md`.
    fn missed_address(&self, balancer: usize, at: usize) -> bool {
        let flow = &self.flows[at];
        !self.processes[balancer].served_addresses.contains(&(flow.address, flow.service))
    }

    /// Checks that every balancer places every flow that was affected only by planned changes.
    pub(crate) fn check_flows(&mut self) {
        self.remove_stale_flows();
        for balancer in 0..BALANCERS {
            for at in 0..self.flows.len() {
                if !self.place(balancer, at) && !self.missed_address(balancer, at) {
                    self.report_violation("flow-unplaced");
                }
            }
        }
    }
}
