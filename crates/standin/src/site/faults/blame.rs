//! Tells what callers saw because a VM died from what nothing explains.

use std::time::Duration;

use super::Placed;
use crate::caller::{
    outcome::Flaw,
    tally::{Incident, What},
};

/// Incidents, sorted by whether a fault explains them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blame {
    /// Flows that lived on a VM that died.
    pub lost_flows: u64,
    /// Answers cut because their upstream died or was made to cut them.
    pub cut_answers: u64,
    /// What no fault explains.
    pub unexplained: Vec<Incident>,
}

/// Sorts the incidents.
pub fn blame(incidents: &[Incident], placed: &[Placed]) -> Blame {
    let mut blame = Blame::default();
    for incident in incidents {
        match &incident.what {
            What::BrokenFlow if lived_on_dead(incident, placed) => blame.lost_flows += 1,
            What::Failed(_, Flaw::Cut(_)) if was_cut(incident, placed) => blame.cut_answers += 1,
            What::BrokenFlow | What::Failed(..) => blame.unexplained.push(incident.clone()),
        }
    }
    blame
}

fn lived_on_dead(incident: &Incident, placed: &[Placed]) -> bool {
    placed.iter().any(|fault| {
        let hit = match &incident.agent {
            Some(agent) => fault.killed.contains(agent),
            // It had not answered yet, so nobody knows where it lived.
            None => !fault.killed.is_empty(),
        };
        hit && within(fault.at, incident)
    })
}

fn was_cut(incident: &Incident, placed: &[Placed]) -> bool {
    let Some(upstream) = &incident.upstream else {
        return false;
    };
    placed.iter().any(|fault| {
        let killed = fault.killed.contains(upstream) && within(fault.at, incident);
        let over = fault.until.unwrap_or(Duration::MAX);
        let cut = fault.cut.contains(upstream) && fault.at <= incident.at && incident.since <= over;
        killed || cut
    })
}

fn within(at: Duration, incident: &Incident) -> bool {
    incident.since <= at && at <= incident.at
}
