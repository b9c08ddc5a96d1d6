//! Agents found dead, and whether their flows may be given up.
//!
//! An agent that is only paused is found dead like one that died, but its flows live on when it wakes. A process that
//! died with its VM still running refuses connections; one that is paused does not.

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

/// For how long an agent found dead may wake, unless it refuses connections.
const GRACE_MS: u64 = 15_000;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Since {
    at: u64,
    refused: bool,
}

/// Data addresses of agents found dead.
#[derive(Clone, Debug, Default)]
pub(crate) struct Absent {
    by_data: Arc<Mutex<BTreeMap<SocketAddrV4, Since>>>,
}

impl Absent {
    /// Takes in the agents that a snapshot newly shows as dead, and asks them whether they refuse connections.
    pub(crate) fn add(&self, snapshot: &Snapshot) {
        let mut by_data = self.by_data.lock();
        for (data, control) in down(snapshot) {
            if by_data.contains_key(&data) {
                continue;
            }
            by_data.insert(data, Since { at: clock::now_ms(), refused: false });
            tokio::spawn(self.clone().ask(data, control));
        }
    }

    /// Drops the agents that a snapshot no longer shows as dead, once that snapshot is in force.
    pub(crate) fn retain(&self, snapshot: &Snapshot) {
        let down = down(snapshot);
        self.by_data.lock().retain(|data, _| down.contains_key(data));
    }

    /// Whether the agent may yet wake and find its flows.
    pub(crate) fn may_wake(&self, data: SocketAddrV4) -> bool {
        let by_data = self.by_data.lock();
        by_data.get(&data).is_some_and(|it| !it.refused && clock::now_ms() < it.at + GRACE_MS)
    }

    async fn ask(self, data: SocketAddrV4, control: SocketAddr) {
        let connected = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(control)).await;
        let refused =
            matches!(connected, Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused);
        if !refused {
            return;
        }
        if let Some(since) = self.by_data.lock().get_mut(&data) {
            since.refused = true;
        }
    }
}

/// Data and control addresses of the agents found dead.
fn down(snapshot: &Snapshot) -> BTreeMap<SocketAddrV4, SocketAddr> {
    let mut down = BTreeMap::new();
    for agent in snapshot.agents.values() {
        let Some(data) = seal::sealable(agent.data) else {
            continue;
        };
        if agent.state.answers() {
            down.remove(&data);
        } else {
            down.insert(data, agent.control);
        }
    }
    down
}
