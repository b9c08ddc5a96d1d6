//! One consistent picture of configuration and members, as the data path reads it.

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
    /// Version `version` of the service named `name`.
    pub fn new(name: &str, version: u64, spec: Service) -> ServiceEntry {
        ServiceEntry { name: name.to_owned(), version, spec }
    }

    /// Weight of `agent` within the service: the service's own setting goes before what the agent announced.
    pub fn weight(&self, agent: &Agent) -> f64 {
        self.spec.weights.get(&agent.name).copied().unwrap_or(agent.weight)
    }
}

/// Configuration and members at one moment. Built by the control plane, read by everyone else, never changed in place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Highest platform revision whose changes are all contained.
    pub revision: u64,
    /// Services by number.
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// Planned changes by name.
    pub changes: BTreeMap<String, Change>,
    /// Certificates by name.
    pub certificates: BTreeMap<String, Certificate>,
    /// Keys of the fleet.
    pub keys: Option<Keys>,
    /// Agents by name, those found dead included until they are forgotten.
    pub agents: BTreeMap<String, Agent>,
    /// Numbers that grow each time an agent starts, by name.
    pub incarnations: BTreeMap<String, u64>,
    /// Balancers by name.
    pub balancers: BTreeMap<String, Balancer>,
}

impl Snapshot {
    /// Whether a planned drain covers the process with this name, VM and zone.
    pub fn drains(&self, name: &str, vm: &str, zone: &str) -> bool {
        let covers = |target: &Target| target.covers(name, vm, zone);
        self.changes.values().any(|it| covers(&it.target))
    }

    /// Whether `agent` may be given new flows and handed-over requests.
    pub fn takes_work(&self, agent: &Agent) -> bool {
        agent.state.takes_work() && !self.drains(&agent.name, &agent.place.vm, &agent.place.zone)
    }

    /// Agents of the service's pool that take new work, in order of name.
    pub fn candidates(&self, service: ServiceId) -> Vec<&Agent> {
        let Some(entry) = self.services.get(&service) else {
            return Vec::new();
        };
        let pool = &entry.spec.pool;
        self.agents.values().filter(|it| it.pool == *pool && self.takes_work(it)).collect()
    }

    /// Weight of `agent` within a service; the one it announced if the service is not known.
    pub fn weight(&self, service: ServiceId, agent: &Agent) -> f64 {
        self.services.get(&service).map_or(agent.weight, |it| it.weight(agent))
    }
}
