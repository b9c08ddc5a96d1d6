//! Agents that were detected as down, and whether their flows can be reset.
//!
//! A paused agent is detected as down too, but its flows continue when it resumes. If a process has ended and its VM
//! still runs, connections to it are refused; a paused process doesn't refuse them.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use camphorwinch_core::{seal, snapshot::Snapshot};
use parking_lot::Mutex;
use tokio::{net::TcpStream, time};

use crate::clock;

/// Time that a down agent has to resume, unless it refuses connections.
const RESUME_GRACE_MS: u64 = 15_000;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct DownState {
    since_ms: u64,
    refused: bool,
}

/// Down agents by data address.
#[derive(Clone, Debug, Default)]
pub(crate) struct DownAgents {
    by_data: Arc<Mutex<BTreeMap<SocketAddrV4, DownState>>>,
}

impl DownAgents {
    /// Adds the agents that a snapshot newly shows as down, and checks whether they refuse connections.
    pub(crate) fn add(&self, snapshot: &Snapshot) {
        let mut by_data = self.by_data.lock();
        for (data, control) in down_addresses(snapshot) {
            if by_data.contains_key(&data) {
                continue;
            }
            by_data.insert(data, DownState { since_ms: clock::now_ms(), refused: false });
            tokio::spawn(self.clone().check_refused(data, control));
        }
    }

    /// Removes the agents that a snapshot no longer shows as down. To be called after the snapshot was applied.
    pub(crate) fn retain(&self, snapshot: &Snapshot) {
        let down = down_addresses(snapshot);
        self.by_data.lock().retain(|data, _| down.contains_key(data));
    }

    /// Whether the agent may still resume with its flows.
    pub(crate) fn may_resume(&self, data: SocketAddrV4) -> bool {
        let by_data = self.by_data.lock();
        by_data
            .get(&data)
            .is_some_and(|it| !it.refused && clock::now_ms() < it.since_ms + RESUME_GRACE_MS)
    }

    async fn check_refused(self, data: SocketAddrV4, control: SocketAddr) {
        let connected = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(control)).await;
        let refused =
            matches!(connected, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused);
        if !refused {
            return;
        }
        if let Some(state) = self.by_data.lock().get_mut(&data) {
            state.refused = true;
        }
    }
}

/// Data and control addresses of the down agents.
fn down_addresses(snapshot: &Snapshot) -> BTreeMap<SocketAddrV4, SocketAddr> {
    let mut down = BTreeMap::new();
    for agent in snapshot.agents.values() {
        let Some(data) = seal::sealable(agent.data) else {
            continue;
        };
        if agent.state.is_alive() {
            down.remove(&data);
        } else {
            down.insert(data, agent.control);
        }
    }
    down
}
