//! Consistent snapshot of configuration and members for the data path.

use std::collections::BTreeMap;

use crate::{
    member::{Agent, Balancer},
    object::{Certificate, Change, Keys, Service, ServiceId, Target},
};

/// A service that is in force.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    /// Name of the object.
    pub name: String,
    /// Version of the object.
    pub version: u64,
    /// Its spec.
    pub spec: Service,
}

impl ServiceEntry {
    /// Creates the entry of version `version` of the service `name`.
    pub fn new(name: &str, version: u64, spec: Service) -> ServiceEntry {
        ServiceEntry { name: name.to_owned(), version, spec }
    }

    /// Weight of `agent` within the service; a weight set in the service overrides the announced one.
    pub fn weight(&self, agent: &Agent) -> f64 {
        self.spec.weights.get(&agent.name).copied().unwrap_or(agent.weight)
    }
}

/// Configuration and members at one point in time. Built by the control plane and immutable afterwards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Highest platform revision up to which the snapshot is complete.
    pub revision: u64,
    /// Services by ID.
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// Planned changes by name.
    pub changes: BTreeMap<String, Change>,
    /// Certificates by name.
    pub certificates: BTreeMap<String, Certificate>,
    /// Keys of the fleet.
    pub keys: Option<Keys>,
    /// Agents by name, including those that are down until they are removed.
    pub agents: BTreeMap<String, Agent>,
    /// Incarnations of the agents, by name.
    pub incarnations: BTreeMap<String, u64>,
    /// Balancers by name.
    pub balancers: BTreeMap<String, Balancer>,
}

impl Snapshot {
    /// Whether a planned drain applies to the process with this name, VM and zone.
    pub fn is_draining(&self, name: &str, vm: &str, zone: &str) -> bool {
        let covers = |target: &Target| target.matches(name, vm, zone);
        self.changes.values().any(|it| covers(&it.target))
    }

    /// Whether new flows and forwarded requests may be sent to `agent`.
    pub fn takes_work(&self, agent: &Agent) -> bool {
        agent.state.takes_work()
            && !self.is_draining(&agent.name, &agent.place.vm, &agent.place.zone)
    }

    /// Agents of the service's pool that accept new work, sorted by name.
    pub fn candidates(&self, service: ServiceId) -> Vec<&Agent> {
        let Some(entry) = self.services.get(&service) else {
            return Vec::new();
        };
        let pool = &entry.spec.pool;
        self.agents.values().filter(|it| it.pool == *pool && self.takes_work(it)).collect()
    }

    /// Weight of `agent` within a service; the announced weight if the service is unknown.
    pub fn weight(&self, service: ServiceId, agent: &Agent) -> f64 {
        self.services.get(&service).map_or(agent.weight, |it| it.weight(agent))
    }
}
