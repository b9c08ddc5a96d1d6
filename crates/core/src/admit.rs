//! Whether an agent takes a new flow. Load is judged here, where it is known exactly, not from lagging reports.

use crate::{
    invariant::{self, Invariant},
    object::Policy,
};

/// What an agent holds and how much it may hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Flows of the service.
    pub flows: u32,
    /// Most flows of the service.
    pub flow_limit: u32,
    /// Flows of all services.
    pub all_flows: u32,
    /// Most flows of all services.
    pub all_limit: u32,
    /// Requests that run or wait for a slot.
    pub busy: u32,
    /// Requests that the upstream runs at once.
    pub slots: u32,
}

/// Whether the agent takes new work, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Intake {
    /// It does.
    Open,
    /// Its upstream does not answer, or refuses for now.
    Closed,
    /// It drains.
    Draining,
}

/// Decision on a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The agent takes the flow.
    Accept,
    /// The next candidate is asked.
    Pass,
    /// The caller is told that the flow is refused.
    Refuse,
}

/// Decides on a new flow; `last` if no other candidate is left to ask.
pub fn admit(policy: Policy, intake: Intake, room: &Room, last: bool) -> Admission {
    let full = room.flows >= room.flow_limit || room.all_flows >= room.all_limit;
    let crowded = policy == Policy::Even && room.busy >= room.slots;
    let decision = match (intake, full) {
        (Intake::Draining, _) | (_, true) if last => Admission::Refuse,
        (Intake::Draining, _) | (_, true) => Admission::Pass,
        (Intake::Closed, false) if !last => Admission::Pass,
        (Intake::Open, false) if crowded && !last => Admission::Pass,
        (Intake::Open | Intake::Closed, false) => Admission::Accept,
    };
    let holds = intake != Intake::Draining || decision != Admission::Accept;
    if invariant::check(Invariant::DrainHolds, holds) { decision } else { Admission::Refuse }
}
