//! Flows: placed as new by some balancer, admitted by an agent, then placed by their sealed connection ID.

use std::net::{SocketAddr, SocketAddrV4};

use camphorwinch_core::{
    admit::{Admission, Intake, Room, admit},
    object::{Policy, ServiceId},
    place::{MIN_INITIAL, Placement},
    seal::{CID_LEN, Home, KeyRing},
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
    fn some_balancer(&mut self) -> Option<usize> {
        let index = self.rng.random_range(0..BALANCERS);
        let it = &self.processes[index];
        (it.up && it.frozen_until <= self.now && it.placer.is_some()).then_some(index)
    }

    /// Opens a flow to some service; returns the agent that holds it.
    pub(crate) fn open_flow(&mut self) -> Option<usize> {
        let balancer = self.some_balancer()?;
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
            self.broke("wrong-service");
            return None;
        }
        let count = candidates.as_slice().len();
        for (at, candidate) in candidates.as_slice().iter().enumerate() {
            let agent = agent_at(candidate);
            let reached =
                self.processes[agent].up && self.processes[agent].frozen_until <= self.now;
            if !reached {
                return None;
            }
            match self.admit(agent, service, at + 1 == count) {
                Admission::Pass => continue,
                Admission::Refuse => return None,
                Admission::Accept => return self.establish(agent, address, caller, service),
            }
        }
        None
    }

    /// The agent of some flow that is open.
    pub(crate) fn held_flow(&mut self) -> Option<usize> {
        self.forget_flows();
        let at = self.rng.random_range(0..self.flows.len().max(1));
        self.flows.get(at).map(|it| it.agent)
    }

    fn admit(&mut self, agent: usize, service: ServiceId, last: bool) -> Admission {
        let it = &self.processes[agent];
        if !it.snapshot.services.contains_key(&service) {
            return Admission::Refuse;
        }
        let flows = self.flows.iter().filter(|it| it.agent == agent).count() as u32;
        let room = Room {
            flows,
            flow_limit: 50,
            all_flows: flows,
            all_limit: 50,
            busy: it.work.busy,
            slots: 3,
        };
        let intake = if self.drains(agent) { Intake::Draining } else { Intake::Open };
        admit(Policy::Steady, intake, &room, last)
    }

    /// Whether the agent knows that it is to be drained.
    pub(crate) fn drains(&self, agent: usize) -> bool {
        let it = &self.processes[agent];
        let place = format!("vm-{agent}");
        let zone = format!("z{}", agent % 3);
        it.snapshot.drains(&it.name, &place, &zone)
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
        let home =
            Home { agent: SocketAddrV4::new([10, 0, 0, agent as u8 + 1].into(), 7_000), service };
        let mut packet = vec![0x40];
        packet.extend(ring.seal(home, self.rng.random()));
        packet.extend([0; 30]);
        let incarnation = self.processes[agent].incarnation;
        let opened = self.now;
        self.flows.push(Flow { agent, incarnation, address, caller, service, packet, opened });
        Some(agent)
    }

    /// An agent that has been draining for long gets no new work.
    pub(crate) fn check_drained(&mut self, agent: usize) {
        let Some(&accepted) = self.platform.drains.get(&name(agent)) else {
            return;
        };
        let limit = super::world::DRAIN_LIMIT_MS;
        let since = |at: u64| at + limit < self.now;
        let balancers = &self.processes[..BALANCERS];
        let quiet = balancers.iter().filter(|it| since(it.disturbed)).count();
        let told = since(self.platform.disturbed) && since(self.processes[agent].disturbed);
        if since(accepted) && told && quiet >= BALANCERS - 1 {
            self.broke("late-work");
        }
    }

    /// Drops flows that a death or a pause of their agent may have ended. Balancers may take an agent for dead until some
    /// time after its pause.
    fn forget_flows(&mut self) {
        let processes = &self.processes;
        self.flows.retain(|it| {
            let agent = &processes[it.agent];
            agent.up
                && agent.incarnation == it.incarnation
                && agent.disturbed + SETTLE_MS <= it.opened
        });
        if self.flows.len() > 150 {
            let at = self.rng.random_range(0..self.flows.len());
            self.flows.swap_remove(at);
        }
    }

    /// A packet of some flow arrives at some balancer.
    pub(crate) fn packet(&mut self) {
        self.forget_flows();
        if self.flows.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.flows.len());
        let Some(balancer) = self.some_balancer() else {
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
        if self.plan.mutant == Some(Mutant::ForgetsOwners) {
            let mut first = vec![0; MIN_INITIAL];
            first[..6].copy_from_slice(&[0xc3, 0, 0, 0, 1, 8]);
            placement = placer.place(listener, flow.caller, &first);
        }
        match placement {
            Placement::Owner { home, .. } => {
                if agent_at(&home.agent) != flow.agent || home.service != flow.service {
                    self.broke("wrong-agent");
                }
                self.seen.placed += 1;
                true
            }
            Placement::New { .. } => {
                self.broke("wrong-agent");
                false
            }
            Placement::Reset(_) => {
                self.broke("live-flow-reset");
                false
            }
            Placement::Drop(_) => false,
        }
    }

    /// A packet of a flow is sent to an address that its service never had.
    pub(crate) fn stray(&mut self) {
        let Some(balancer) = self.some_balancer() else {
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
        let home = Home { agent, service: ServiceId::new("other") };
        let mut packet = vec![0x40];
        packet.extend(ring.seal(home, [1, 2, 3]));
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
            self.broke("wrong-service");
        }
    }

    /// Whether the balancer never saw the flow's service at its address, because it started later or was cut off. Such a
    /// balancer does not place flows from before the move: not proved, see `docs/PROOFS.md`.
    fn is_moved(&self, balancer: usize, at: usize) -> bool {
        let flow = &self.flows[at];
        !self.processes[balancer].had.contains(&(flow.address, flow.service))
    }

    /// Every balancer places every flow that nothing but planned changes has met.
    pub(crate) fn judge_flows(&mut self) {
        self.forget_flows();
        for balancer in 0..BALANCERS {
            for at in 0..self.flows.len() {
                if !self.place(balancer, at) && !self.is_moved(balancer, at) {
                    self.broke("flow-unplaced");
                }
            }
        }
    }
}
