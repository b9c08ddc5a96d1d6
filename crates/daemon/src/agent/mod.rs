//! The agent: terminates callers' flows next to an upstream and runs their requests.

mod body;
mod claim;
mod datagram;
mod down_agents;
mod flow;
mod handover;
mod link;
mod local;
mod metrics;
mod node;
mod quic;
mod request;
mod reset;
mod rosters;
mod run;
mod service;
mod slots;
mod socket;
#[cfg(test)]
mod tests;
mod throttled;
mod upstream;

pub(crate) use self::{
    node::{Node, Settings},
    run::AgentTasks,
};
