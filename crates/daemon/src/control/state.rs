//! What the tasks of the control plane share.

use camphorwinch_core::{
    assemble::Assembler,
    member::{AgentState, Balancer, BalancerState},
    object::SpecError,
    record::{Member, Record, Role as MemberRole, Version},
    snapshot::Snapshot,
    view::View,
};

use crate::{
    clock::wall_ms,
    config::Common,
    control::{Load, Role},
};

/// The shared state. It is locked for short computations only, never across an await.
pub(crate) struct State {
    /// What is known of the fleet.
    pub(crate) view: View,
    /// The process's own announcement.
    pub(crate) own: Member,
    /// Revision that the data path has put in force.
    pub(crate) applied: u64,
    /// Load of the upstream, if this is an agent.
    pub(crate) load: Load,
    assembler: Assembler,
}

impl State {
    /// The state of a process that has just started.
    pub(crate) fn new(common: &Common, role: &Role) -> State {
        let wall = wall_ms();
        let role = match role {
            Role::Agent(agent) => MemberRole::Agent { agent: agent.clone(), homes: Vec::new() },
            Role::Balancer => MemberRole::Balancer {
                balancer: Balancer {
                    name: common.name.clone(),
                    place: common.place.clone(),
                    control: common.control,
                    state: BalancerState::Ready,
                },
                lease: None,
            },
        };
        let own = Member { version: Version::member(wall, 0), since_ms: wall, role };
        let mut view = View::new();
        view.merge(&Record::Member(own.clone()), wall);
        let assembler = Assembler::new();
        State { view, own, applied: 0, load: Load::default(), assembler }
    }

    /// Builds a snapshot; also returns faults of objects that were not seen before.
    pub(crate) fn snapshot(&mut self) -> (Snapshot, Vec<SpecError>) {
        self.assembler.snapshot(&self.view)
    }

    /// Announces a change of the own record; true if there was one.
    pub(crate) fn announce<F>(&mut self, change: F) -> bool
    where
        F: FnOnce(&mut MemberRole),
    {
        let before = self.own.role.clone();
        change(&mut self.own.role);
        if self.own.role == before {
            return false;
        }
        self.own.version = self.own.version.next();
        self.own.since_ms = wall_ms();
        self.view.merge(&Record::Member(self.own.clone()), wall_ms())
    }

    /// Sets the own state if this is an agent.
    pub(crate) fn set_agent_state(&mut self, state: AgentState) -> bool {
        self.announce(|role| {
            if let MemberRole::Agent { agent, .. } = role {
                agent.state = state;
            }
        })
    }
}
