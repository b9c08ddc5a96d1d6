//! Control plane of the process: what it knows of the fleet and its configuration, and what it tells others.

mod join;
mod link;
pub(crate) mod peer;
mod receive;
pub(crate) mod state;
pub(crate) mod tick;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use anyhow::Context;
use camphorwinch_core::{
    invariant::{Invariant, check},
    member::{Agent, AgentState},
    record::Role as MemberRole,
    snapshot::Snapshot,
};
use camphorwinch_wire::{
    frame::{self, Frames},
    message::Purpose,
};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc, watch},
    time::{Duration, Instant, sleep, timeout},
};
use tokio_rustls::TlsStream;
use tokio_util::sync::CancellationToken;

use crate::{
    config::Common,
    control::{join::Dials, state::State},
    event::{self, About, Id},
    lease,
    platform::{Platform, PlatformError},
    report::{self, Reports},
    tls::Tls,
};

/// Longest wait for a connection to another agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Accepted links for requests that may wait for the agent to take them.
const ACCEPTED: usize = 64;
/// Least time between two snapshots.
const PUBLISH_GAP: Duration = Duration::from_millis(10);
/// How much of the time building snapshots may take, as one part in so many.
const PUBLISH_SHARE: u32 = 20;
/// Longest wait for the lease to be given back, and for peers to be told of the leaving.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between looks whether everything was written.
const FLUSH_STEP: Duration = Duration::from_millis(20);

/// A connection to another process of the system, in frames.
pub(crate) type Stream = Frames<TlsStream<TcpStream>>;

/// What the process is.
#[derive(Clone, Debug)]
#[expect(clippy::large_enum_variant, reason = "there is one in each process")]
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

/// What the tasks of the control plane share. Locks are taken in the order of their fields: `dials`, `reports` and
/// `state`; most paths take one only.
pub(crate) struct Inner {
    pub(crate) common: Common,
    pub(crate) tls: Tls,
    pub(crate) platform: Platform,
    pub(crate) dials: Mutex<Dials>,
    pub(crate) reports: Mutex<Reports>,
    pub(crate) state: Mutex<State>,
    pub(crate) snapshot: watch::Sender<Arc<Snapshot>>,
    fenced: watch::Sender<bool>,
    accepted_tx: mpsc::Sender<Accepted>,
    accepted: Mutex<Option<mpsc::Receiver<Accepted>>>,
    dirty: Notify,
    /// Asks for a sign of life at once.
    pub(crate) beat: Notify,
    /// Asks for a report at once.
    pub(crate) report: Notify,
    /// Whether the platform failed to answer last time.
    lost: AtomicBool,
    /// Ends all tasks.
    pub(crate) stop: CancellationToken,
    /// Asks for the lease to be given back.
    pub(crate) leaving: CancellationToken,
    /// States that it was given back.
    pub(crate) released: CancellationToken,
}

impl Control {
    /// Starts the control plane: listens, joins the fleet and keeps the snapshot up to date.
    pub(crate) async fn start(common: &Common, role: Role) -> anyhow::Result<Control> {
        let address = common.control;
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("listen for other processes on {address}"))?;
        let inner = Arc::new(Inner::new(common, &role)?);
        inner.changed();
        tokio::spawn(publish(Arc::clone(&inner)));
        tokio::spawn(link::listen(Arc::clone(&inner), listener));
        tokio::spawn(tick::run(Arc::clone(&inner)));
        tokio::spawn(join::run(Arc::clone(&inner)));
        match role {
            Role::Balancer => {
                tokio::spawn(lease::run(Arc::clone(&inner)));
                tokio::spawn(report::run(Arc::clone(&inner)));
            }
            Role::Agent(_) => inner.released.cancel(),
        }
        Ok(Control { inner })
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
        let mut state = self.inner.state.lock();
        if state.applied == revision {
            return;
        }
        state.applied = revision;
        drop(state);
        event::emit_local(Id::ConfigInForce, About::new(), &format!("revision {revision}"));
        self.inner.beat.notify_one();
        self.inner.report.notify_one();
    }

    /// Announces a new state of the agent.
    pub(crate) fn set_state(&self, state: AgentState) {
        self.inner.state.lock().set_agent_state(state);
        self.inner.changed();
    }

    /// Sets the load that is reported.
    pub(crate) fn set_load(&self, load: Load) {
        self.inner.state.lock().load = load;
    }

    /// Sets the key epochs of the flows, which are reported: a key may go once no flow has its epoch.
    pub(crate) fn set_epochs(&self, epochs: Vec<u8>) {
        self.inner.state.lock().epochs = epochs;
    }

    /// Announces that the process leaves, gives back its lease, and waits until peers have been told.
    pub(crate) async fn leave(&self) {
        self.inner.state.lock().set_leaving();
        self.inner.changed();
        self.inner.leaving.cancel();
        let _ = timeout(LEAVE_TIMEOUT, self.inner.released.cancelled()).await;
        let _ = timeout(LEAVE_TIMEOUT, self.flush()).await;
    }

    async fn flush(&self) {
        loop {
            sleep(FLUSH_STEP).await;
            let state = self.inner.state.lock();
            let empty = |it: &peer::Link| it.outbox.capacity() == it.outbox.max_capacity();
            if state.links.values().all(empty) {
                return;
            }
        }
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
            let stream = self.inner.tls.connect(stream).await?;
            let mut stream = frame::frames(stream);
            link::send_hello(&self.inner, &mut stream, Purpose::Handover).await?;
            anyhow::Ok(stream)
        };
        timeout(CONNECT_TIMEOUT, connect)
            .await
            .with_context(|| format!("connect to {peer} at {address}: timeout"))?
            .with_context(|| format!("connect to {peer} at {address}"))
    }

    /// State of the control plane, for operators.
    pub(crate) fn status(&self) -> Value {
        let state = self.inner.state.lock();
        let peers: BTreeSet<&str> = state.links.values().map(|it| it.peer.as_str()).collect();
        let (lease, homes) = match &state.own.role {
            MemberRole::Balancer { lease, .. } => (*lease, None),
            MemberRole::Agent { homes, .. } => (None, Some(homes)),
        };
        json!({
            "name": state.own.name(),
            "state": state::state_of(&state.own.role),
            "synced": state.view.synced(),
            "revision": state.view.revision(),
            "applied": state.applied,
            "members": state.view.members().count(),
            "links": peers,
            "lease": lease,
            "homes": homes,
            "platform": !self.inner.lost.load(Ordering::Relaxed),
        })
    }
}

impl Inner {
    fn new(common: &Common, role: &Role) -> anyhow::Result<Inner> {
        let (snapshot, _) = watch::channel(Arc::default());
        let (fenced, _) = watch::channel(false);
        let (accepted_tx, accepted) = mpsc::channel(ACCEPTED);
        Ok(Inner {
            common: common.clone(),
            tls: Tls::new(&common.fleet)?,
            platform: Platform::new(common.platform),
            dials: Mutex::default(),
            reports: Mutex::default(),
            state: Mutex::new(State::new(common, role)),
            snapshot,
            fenced,
            accepted_tx,
            accepted: Mutex::new(Some(accepted)),
            dirty: Notify::new(),
            beat: Notify::new(),
            report: Notify::new(),
            lost: AtomicBool::new(false),
            stop: CancellationToken::new(),
            leaving: CancellationToken::new(),
            released: CancellationToken::new(),
        })
    }

    /// Asks for a new snapshot.
    pub(crate) fn changed(&self) {
        self.dirty.notify_one();
    }

    /// Takes note of a call to the platform that failed.
    pub(crate) fn platform_lost(&self, e: &PlatformError) {
        if !self.lost.swap(true, Ordering::Relaxed) {
            event::emit(Id::PlatformLost, About::new(), &e.to_string());
        }
    }

    /// Takes note of a call to the platform that succeeded.
    pub(crate) fn platform_back(&self) {
        if self.lost.swap(false, Ordering::Relaxed) {
            event::emit(Id::PlatformBack, About::new(), "the platform answers again");
        }
    }

    /// Announces the lease that is held; returns the one announced before.
    pub(crate) fn set_lease(&self, held: Option<u8>) -> Option<u8> {
        let mut state = self.state.lock();
        let MemberRole::Balancer { lease: before, .. } = state.own.role else {
            return None;
        };
        state.announce(|role| {
            if let MemberRole::Balancer { lease, .. } = role {
                *lease = held;
            }
        });
        before
    }

    fn publish(&self) {
        let (snapshot, faults, fenced) = {
            let mut state = self.state.lock();
            let (snapshot, faults) = state.snapshot();
            (snapshot, faults, state.fenced)
        };
        for fault in faults {
            event::emit(Id::ConfigRefused, About::new(), &fault.to_string());
        }
        if fenced && !self.fenced.send_replace(true) {
            event::emit(Id::Fenced, About::new(), "a newer process has this name");
        }
        self.snapshot.send_if_modified(|it| {
            let grows = check(Invariant::VersionGrows, snapshot.revision >= it.revision);
            let news = grows && snapshot != **it;
            if news {
                *it = Arc::new(snapshot);
            }
            news
        });
        report::note(self);
    }
}

/// Publishes a snapshot after changes, not more often than the cost of building one allows.
async fn publish(inner: Arc<Inner>) {
    let mut history = BTreeMap::new();
    loop {
        tokio::select! {
            () = inner.dirty.notified() => {}
            () = inner.stop.cancelled() => return,
        }
        let began = Instant::now();
        inner.publish();
        let snapshot = inner.snapshot.borrow().clone();
        if let Some(pools) = wanted_pools(&inner, &snapshot, &mut history) {
            inner.update_pools(pools);
        }
        sleep((began.elapsed() * PUBLISH_SHARE).max(PUBLISH_GAP)).await;
    }
}

/// Pools whose agents an agent wants to know: its own, and all pools that a service had which its own pool ever served.
/// Requests on the flows of such a service go to its present pool, and former pools remember what ran.
fn wanted_pools(
    inner: &Inner,
    snapshot: &Snapshot,
    history: &mut BTreeMap<String, BTreeSet<String>>,
) -> Option<Vec<String>> {
    let own = match &inner.state.lock().own.role {
        MemberRole::Agent { agent, .. } => agent.pool.clone(),
        MemberRole::Balancer { .. } => return None,
    };
    let mut pools = BTreeSet::from([own.clone()]);
    for entry in snapshot.services.values() {
        let had = history.entry(entry.name.clone()).or_default();
        had.insert(entry.spec.pool.clone());
        if had.contains(&own) {
            pools.extend(had.iter().cloned());
        }
    }
    Some(pools.into_iter().collect())
}

#[cfg(test)]
mod tests;
