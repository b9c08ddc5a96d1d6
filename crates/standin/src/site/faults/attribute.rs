//! Attributes incidents to injected faults.

use std::time::Duration;

use super::InjectedFault;
use crate::caller::{
    outcome::FailureReason,
    stats::{Incident, IncidentKind},
};

/// Incidents, by whether a fault explains them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attribution {
    /// Flows lost because their agent was killed.
    pub lost_flows: u64,
    /// Responses truncated because their upstream was killed or made to truncate them.
    pub truncated_responses: u64,
    /// Incidents that no fault explains.
    pub unexplained: Vec<Incident>,
}

/// Attributes each incident to a fault if one explains it.
pub fn attribute_incidents(incidents: &[Incident], injected: &[InjectedFault]) -> Attribution {
    let mut attribution = Attribution::default();
    for incident in incidents {
        match &incident.kind {
            IncidentKind::BrokenFlow if agent_was_killed(incident, injected) => {
                attribution.lost_flows += 1
            }
            IncidentKind::Failed(_, FailureReason::Truncated(_))
                if response_was_truncated(incident, injected) =>
            {
                attribution.truncated_responses += 1
            }
            IncidentKind::BrokenFlow | IncidentKind::Failed(..) => {
                attribution.unexplained.push(incident.clone())
            }
        }
    }
    attribution
}

fn agent_was_killed(incident: &Incident, injected: &[InjectedFault]) -> bool {
    injected.iter().any(|fault| {
        let matches = match &incident.agent {
            Some(agent) => fault.killed.contains(agent),
            // No response had named the agent yet.
            None => !fault.killed.is_empty(),
        };
        matches && during(fault.at, incident)
    })
}

fn response_was_truncated(incident: &Incident, injected: &[InjectedFault]) -> bool {
    let Some(upstream) = &incident.upstream else {
        return false;
    };
    injected.iter().any(|fault| {
        let killed = fault.killed.contains(upstream) && during(fault.at, incident);
        let end = fault.until.unwrap_or(Duration::MAX);
        let truncated = fault.truncating.contains(upstream)
            && fault.at <= incident.at
            && incident.started_at <= end;
        killed || truncated
    })
}

fn during(at: Duration, incident: &Incident) -> bool {
    incident.started_at <= at && at <= incident.at
}
