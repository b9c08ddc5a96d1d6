//! Admission of new flows at an agent. It is based on the agent's exact load, not on delayed reports.

use crate::{
    invariant::{self, Invariant},
    object::Policy,
};

/// Current load and limits of an agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
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
pub enum Intake {
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
    Pass,
    /// The flow is refused.
    Refuse,
}

/// Decides on a new flow; `last` means that no further candidate is left.
pub fn admit(policy: Policy, intake: Intake, room: &Room, last: bool) -> Admission {
    let full = room.flows >= room.flow_limit || room.all_flows >= room.all_limit;
    let busy = policy == Policy::Even && room.busy >= room.slots;
    let decision = match (intake, full) {
        (Intake::Draining, _) | (_, true) if last => Admission::Refuse,
        (Intake::Draining, _) | (_, true) => Admission::Pass,
        (Intake::Closed, false) if !last => Admission::Pass,
        (Intake::Open, false) if busy && !last => Admission::Pass,
        (Intake::Open | Intake::Closed, false) => Admission::Accept,
    };
    let allowed = intake != Intake::Draining || decision != Admission::Accept;
    if invariant::check(Invariant::DrainHolds, allowed) { decision } else { Admission::Refuse }
}
