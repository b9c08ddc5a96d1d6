//! Members of the fleet as they announce themselves: agents and balancers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Where a process runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
}

/// State of an agent and its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AgentState {
    /// Started, takes no flows yet.
    Starting,
    /// Takes flows and requests.
    Ready,
    /// Takes no new work; flows and requests in progress go on.
    Draining,
    /// About to stop; nothing may be sent to it but packets of its own flows.
    Leaving,
    /// Not heard of for some seconds. It may be paused: it gets no new work, but packets of its flows still go to it.
    Silent,
    /// Found dead by the balancers it announced itself to.
    Down,
}

impl AgentState {
    /// Whether new flows and handed-over requests may be sent to the agent.
    pub fn takes_work(self) -> bool {
        match self {
            AgentState::Ready => true,
            AgentState::Starting
            | AgentState::Draining
            | AgentState::Leaving
            | AgentState::Silent
            | AgentState::Down => false,
        }
    }

    /// Whether the agent still answers packets of its flows.
    pub fn answers(self) -> bool {
        self != AgentState::Down
    }
}

/// An agent as it announced itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Agent {
    /// Name, unique in the fleet.
    pub name: String,
    /// Where it runs.
    pub place: Place,
    /// Pool that its upstream belongs to.
    pub pool: String,
    /// Address for encapsulated packets.
    pub data: SocketAddr,
    /// Address for requests handed over by other agents.
    pub control: SocketAddr,
    /// Share of new flows relative to the others of the pool.
    pub weight: f64,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// Flows that the upstream takes.
    pub connections: u32,
    /// State.
    pub state: AgentState,
}

/// State of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BalancerState {
    /// Places packets.
    Ready,
    /// Stops soon.
    Leaving,
    /// Found dead by its neighbours.
    Down,
}

/// A balancer as it announced itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balancer {
    /// Name, unique in the fleet.
    pub name: String,
    /// Where it runs.
    pub place: Place,
    /// Address for other processes of the system.
    pub control: SocketAddr,
    /// State.
    pub state: BalancerState,
}
