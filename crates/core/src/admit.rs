//! Admission of new flows at an agent. It is based on the agent's exact load, not on delayed reports.

use crate::{
    invariant::{self, Invariant},
    object::Policy,
};

/// Current load and limits of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentLoad {
    /// Number of flows of the service.
    pub flows: u32,
    /// Maximum number of flows of the service.
    pub flow_limit: u32,
    /// Number of flows of all services.
    pub all_flows: u32,
    /// Maximum number of flows of all services.
    pub all_limit: u32,
    /// Number of requests that run or wait for a slot.
    pub busy: u32,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
}

/// Whether the agent accepts new work, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Accepts new work.
    Open,
    /// The upstream is unreachable or currently refuses requests.
    Closed,
    /// The agent is draining.
    Draining,
}

/// Decision on a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The agent accepts the flow.
    Accept,
    /// The flow goes to the next candidate.
    Forward,
    /// The flow is refused.
    Refuse,
}

/// Decides on a new flow; `last` means that no further candidate is left.
pub fn admit(
    policy: Policy,
    availability: Availability,
    load: &AgentLoad,
    last: bool,
) -> Admission {
    let full = load.flows >= load.flow_limit || load.all_flows >= load.all_limit;
    let busy = policy == Policy::Even && load.busy >= load.slots;
    let decision = match (availability, full) {
        (Availability::Draining, _) | (_, true) if last => Admission::Refuse,
        (Availability::Draining, _) | (_, true) => Admission::Forward,
        (Availability::Closed, false) if !last => Admission::Forward,
        (Availability::Open, false) if busy && !last => Admission::Forward,
        (Availability::Open | Availability::Closed, false) => Admission::Accept,
    };
    let allowed = availability != Availability::Draining || decision != Admission::Accept;
    if invariant::check(Invariant::DrainHolds, allowed) { decision } else { Admission::Refuse }
}
