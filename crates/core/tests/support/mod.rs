//! Fixtures for tests and benchmarks.

use std::net::SocketAddr;

use camphorwinch_core::member::{Agent, AgentState, Place};

/// A ready agent with the data address `data`.
pub(crate) fn agent(name: &str, pool: &str, data: SocketAddr) -> Agent {
    Agent {
        name: name.to_owned(),
        place: Place::default(),
        pool: pool.to_owned(),
        data,
        control: data,
        weight: 1.0,
        slots: 7,
        connections: 2_000,
        state: AgentState::Ready,
    }
}
