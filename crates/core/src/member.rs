//! Members of the fleet: agents and balancers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Location of a process.
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
    /// Started, does not accept flows yet.
    Starting,
    /// Accepts flows and requests.
    Ready,
    /// Accepts no new work; flows and requests in progress continue.
    Draining,
    /// Shutting down; receives only packets of its own flows.
    Leaving,
    /// Unreachable for some seconds and possibly paused; receives only packets of its own flows.
    Silent,
    /// Declared down by the balancers it was connected to.
    Down,
}

impl AgentState {
    /// Whether new flows and forwarded requests may be sent to the agent.
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

    /// Whether packets of its flows are still sent to the agent.
    pub fn is_alive(self) -> bool {
        self != AgentState::Down
    }
}

/// Announced state of an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Agent {
    /// Name, unique in the fleet.
    pub name: String,
    /// Location of the process.
    pub place: Place,
    /// Pool that its upstream belongs to.
    pub pool: String,
    /// Address for encapsulated packets.
    pub data: SocketAddr,
    /// Address for requests forwarded by other agents.
    pub control: SocketAddr,
    /// Weight for new flows relative to other agents of the pool.
    pub weight: f64,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Maximum number of flows of the upstream.
    pub connections: u32,
    /// State of the agent.
    pub state: AgentState,
}

/// State of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BalancerState {
    /// Places packets.
    Ready,
    /// Shutting down.
    Leaving,
    /// Declared down by its neighbours.
    Down,
}

/// Announced state of a balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balancer {
    /// Name, unique in the fleet.
    pub name: String,
    /// Location of the process.
    pub place: Place,
    /// Address for other processes of the system.
    pub control: SocketAddr,
    /// State of the balancer.
    pub state: BalancerState,
}
