//! Control plane of the process: what it knows of the fleet and its configuration, and what it tells others.

mod state;

use std::{net::SocketAddr, sync::Arc};

use anyhow::Context;
use camphorwinch_core::{
    member::{Agent, AgentState},
    snapshot::Snapshot,
};
use camphorwinch_wire::frame::{self, Frames};
use parking_lot::Mutex;
use serde_json::Value;
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    time::{Duration, timeout},
};
use tokio_rustls::TlsStream;

use crate::{config::Common, control::state::State, tls::Tls};

/// Longest wait for a connection to another process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Accepted hand-over links that may wait for the agent to take them.
const ACCEPTED: usize = 64;

/// A connection to another process of the system, in frames.
pub(crate) type Stream = Frames<TlsStream<TcpStream>>;

/// What the process is.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// A balancer.
    Balancer,
    /// An agent, as it announces itself.
    Agent(Agent),
}

/// Load of an agent, a hint for reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    /// Flows that it holds.
    pub(crate) flows: u32,
    /// Slots in use.
    pub(crate) busy: u32,
}

/// A link that another agent opened to hand over requests; its greeting has been read.
pub(crate) struct Accepted {
    /// Name of the agent that opened it.
    pub(crate) peer: String,
    /// The link.
    pub(crate) stream: Stream,
}

/// Handle of the control plane.
#[derive(Clone)]
pub(crate) struct Control {
    inner: Arc<Inner>,
}

struct Inner {
    tls: Tls,
    state: Mutex<State>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    fenced: watch::Sender<bool>,
    accepted: Mutex<Option<mpsc::Receiver<Accepted>>>,
}

impl Control {
    /// Starts the control plane: listens, joins the fleet and keeps the snapshot up to date.
    pub(crate) async fn start(common: &Common, role: Role) -> anyhow::Result<Control> {
        let tls = Tls::new(&common.fleet)?;
        let (snapshot, _) = watch::channel(Arc::default());
        let (fenced, _) = watch::channel(false);
        let (_, accepted) = mpsc::channel(ACCEPTED);
        let inner = Inner {
            tls,
            state: Mutex::new(State::new(common, &role)),
            snapshot,
            fenced,
            accepted: Mutex::new(Some(accepted)),
        };
        let control = Control { inner: Arc::new(inner) };
        control.publish();
        Ok(control)
    }

    /// The newest snapshot.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.inner.snapshot.borrow().clone()
    }

    /// Receiver of every new snapshot.
    pub(crate) fn watch(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.inner.snapshot.subscribe()
    }

    /// Whether the configuration was complete once: before that, nothing may be served.
    pub(crate) fn synced(&self) -> bool {
        self.inner.state.lock().view.synced()
    }

    /// States which revision the data path has put in force.
    pub(crate) fn applied(&self, revision: u64) {
        self.inner.state.lock().applied = revision;
    }

    /// Announces a new state of the agent.
    pub(crate) fn set_state(&self, state: AgentState) {
        self.inner.state.lock().set_agent_state(state);
        self.publish();
    }

    /// Sets the load that is reported.
    pub(crate) fn set_load(&self, load: Load) {
        self.inner.state.lock().load = load;
    }

    /// Announces that the process leaves, and waits until peers have been told.
    pub(crate) async fn leave(&self) {
        self.set_state(AgentState::Leaving);
    }

    /// True once a newer process took this one's name: then this one must stop.
    pub(crate) fn fenced(&self) -> watch::Receiver<bool> {
        self.inner.fenced.subscribe()
    }

    /// Links that other agents open to hand over requests; none at the second call.
    pub(crate) fn accepted(&self) -> Option<mpsc::Receiver<Accepted>> {
        self.inner.accepted.lock().take()
    }

    /// Opens a link to another agent, to hand over requests.
    pub(crate) async fn dial(&self, peer: &str, address: SocketAddr) -> anyhow::Result<Stream> {
        let connect = async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            self.inner.tls.connect(stream).await
        };
        let stream = timeout(CONNECT_TIMEOUT, connect)
            .await
            .with_context(|| format!("connect to {peer} at {address}: timeout"))?
            .with_context(|| format!("connect to {peer} at {address}"))?;
        Ok(frame::frames(stream))
    }

    /// State of the control plane, for operators.
    pub(crate) fn status(&self) -> Value {
        let state = self.inner.state.lock();
        serde_json::json!({
            "synced": state.view.synced(),
            "revision": state.view.revision(),
            "applied": state.applied,
        })
    }

    fn publish(&self) {
        let (snapshot, _) = self.inner.state.lock().snapshot();
        self.inner.snapshot.send_replace(Arc::new(snapshot));
    }
}
