//! Control plane of the process: membership, replicated configuration, and links to other processes.

mod dial;
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
    config::CommonConfig,
    control::{dial::Dials, state::State},
    event::{self, EventId, EventSubject},
    lease,
    platform::{Platform, PlatformError},
    report::{self, Reports},
    tls::Tls,
};

/// Limit for connecting to another agent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of the queue of accepted handover links.
const MAX_ACCEPTED_LINKS: usize = 64;
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after building a snapshot, as a multiple of the time that it took.
const PUBLISH_DELAY_FACTOR: u32 = 20;
/// Limit for releasing the lease, and for sending the last messages to peers.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between checks for empty send queues.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A framed TLS connection to another process.
pub(crate) type FramedStream = Frames<TlsStream<TcpStream>>;

#[derive(Clone, Debug)]
#[expect(clippy::large_enum_variant, reason = "there is one in each process")]
pub(crate) enum Role {
    Balancer,
    /// An agent, with its initial member data.
    Agent(Agent),
}

/// Load of an agent, for reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    /// Open flows.
    pub(crate) flows: u32,
    /// Requests in progress.
    pub(crate) busy: u32,
}

/// A handover link opened by another agent, with its hello message already read.
pub(crate) struct AcceptedLink {
    /// Name of the agent that opened it.
    pub(crate) peer: String,
    pub(crate) stream: FramedStream,
}

/// Handle of the control plane.
#[derive(Clone)]
pub(crate) struct Control {
    inner: Arc<Inner>,
}

/// Shared by the tasks of the control plane. Lock order: `dials`, `reports`, `state`.
pub(crate) struct Inner {
    pub(crate) common: CommonConfig,
    pub(crate) tls: Tls,
    pub(crate) platform: Platform,
    pub(crate) dials: Mutex<Dials>,
    pub(crate) reports: Mutex<Reports>,
    pub(crate) state: Mutex<State>,
    pub(crate) snapshot: watch::Sender<Arc<Snapshot>>,
    fenced: watch::Sender<bool>,
    accepted_tx: mpsc::Sender<AcceptedLink>,
    accepted: Mutex<Option<mpsc::Receiver<AcceptedLink>>>,
    dirty: Notify,
    /// Triggers an immediate heartbeat.
    pub(crate) heartbeat: Notify,
    /// Triggers an immediate report.
    pub(crate) report: Notify,
    /// Whether the last platform call failed.
    platform_unreachable: AtomicBool,
    /// Stops all tasks.
    pub(crate) stop: CancellationToken,
    /// Triggers the release of the lease.
    pub(crate) leaving: CancellationToken,
    /// Cancelled once the lease is released.
    pub(crate) released: CancellationToken,
}

impl Control {
    /// Starts the control plane: listens, joins the fleet and publishes snapshots.
    pub(crate) async fn start(common: &CommonConfig, role: Role) -> anyhow::Result<Control> {
        let address = common.control;
        let listener = TcpListener::bind(address)
            .await
            .with_context(|| format!("listen on the control address {address}"))?;
        let inner = Arc::new(Inner::new(common, &role)?);
        inner.request_publish();
        tokio::spawn(publish(Arc::clone(&inner)));
        tokio::spawn(link::listen(Arc::clone(&inner), listener));
        tokio::spawn(tick::run(Arc::clone(&inner)));
        tokio::spawn(dial::run(Arc::clone(&inner)));
        match role {
            Role::Balancer => {
                tokio::spawn(lease::run(Arc::clone(&inner)));
                tokio::spawn(report::run(Arc::clone(&inner)));
            }
            Role::Agent(_) => inner.released.cancel(),
        }
        Ok(Control { inner })
    }

    /// Subscribes to snapshots.
    pub(crate) fn watch(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.inner.snapshot.subscribe()
    }

    /// Whether a complete configuration was received; nothing may be served before.
    pub(crate) fn synced(&self) -> bool {
        self.inner.state.lock().view.synced()
    }

    /// Sets the revision that is in force in the data path.
    pub(crate) fn set_applied(&self, revision: u64) {
        let mut state = self.inner.state.lock();
        if state.applied == revision {
            return;
        }
        state.applied = revision;
        drop(state);
        event::emit_local(
            EventId::ConfigInForce,
            EventSubject::new(),
            &format!("revision {revision}"),
        );
        self.inner.heartbeat.notify_one();
        self.inner.report.notify_one();
    }

    /// Announces a new state of the agent.
    pub(crate) fn set_state(&self, state: AgentState) {
        self.inner.state.lock().set_agent_state(state);
        self.inner.request_publish();
    }

    /// Sets the load to report.
    pub(crate) fn set_load(&self, load: Load) {
        self.inner.state.lock().load = load;
    }

    /// Sets the key epochs of the open flows to report. A key can be removed once no flow uses its epoch.
    pub(crate) fn set_epochs(&self, epochs: Vec<u8>) {
        self.inner.state.lock().epochs = epochs;
    }

    /// Announces that the process is leaving, releases its lease, and waits until the announcement is sent.
    pub(crate) async fn leave(&self) {
        self.inner.state.lock().set_leaving();
        self.inner.request_publish();
        self.inner.leaving.cancel();
        let _ = timeout(LEAVE_TIMEOUT, self.inner.released.cancelled()).await;
        let _ = timeout(LEAVE_TIMEOUT, self.flush()).await;
    }

    async fn flush(&self) {
        loop {
            sleep(FLUSH_POLL_INTERVAL).await;
            let state = self.inner.state.lock();
            let empty = |it: &peer::Link| it.outbox.capacity() == it.outbox.max_capacity();
            if state.links.values().all(empty) {
                return;
            }
        }
    }

    /// True once a newer process uses the same name; this process must then stop.
    pub(crate) fn fenced(&self) -> watch::Receiver<bool> {
        self.inner.fenced.subscribe()
    }

    /// Receiver of handover links opened by other agents; `None` from the second call.
    pub(crate) fn accepted(&self) -> Option<mpsc::Receiver<AcceptedLink>> {
        self.inner.accepted.lock().take()
    }

    /// Opens a handover link to another agent.
    pub(crate) async fn dial(
        &self,
        peer: &str,
        address: SocketAddr,
    ) -> anyhow::Result<FramedStream> {
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

    /// State of the control plane for the operator address.
    pub(crate) fn status(&self) -> Value {
        let state = self.inner.state.lock();
        let peers: BTreeSet<&str> = state.links.values().map(|it| it.peer.as_str()).collect();
        let (lease, balancers) = match &state.own.role {
            MemberRole::Balancer { lease, .. } => (*lease, None),
            MemberRole::Agent { balancers, .. } => (None, Some(balancers)),
        };
        json!({
            "name": state.own.name(),
            "state": state::state_name(&state.own.role),
            "synced": state.view.synced(),
            "revision": state.view.revision(),
            "applied": state.applied,
            "members": state.view.members().count(),
            "links": peers,
            "lease": lease,
            "homes": balancers,
            "platform": !self.inner.platform_unreachable.load(Ordering::Relaxed),
        })
    }
}

impl Inner {
    fn new(common: &CommonConfig, role: &Role) -> anyhow::Result<Inner> {
        let (snapshot, _) = watch::channel(Arc::default());
        let (fenced, _) = watch::channel(false);
        let (accepted_tx, accepted) = mpsc::channel(MAX_ACCEPTED_LINKS);
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
            heartbeat: Notify::new(),
            report: Notify::new(),
            platform_unreachable: AtomicBool::new(false),
            stop: CancellationToken::new(),
            leaving: CancellationToken::new(),
            released: CancellationToken::new(),
        })
    }

    /// Triggers a new snapshot.
    pub(crate) fn request_publish(&self) {
        self.dirty.notify_one();
    }

    /// Records a failed platform call; emits an event on the first failure.
    pub(crate) fn platform_failed(&self, e: &PlatformError) {
        if !self.platform_unreachable.swap(true, Ordering::Relaxed) {
            event::emit(EventId::PlatformLost, EventSubject::new(), &e.to_string());
        }
    }

    /// Records a successful platform call; emits an event after an outage.
    pub(crate) fn platform_recovered(&self) {
        if self.platform_unreachable.swap(false, Ordering::Relaxed) {
            event::emit(
                EventId::PlatformBack,
                EventSubject::new(),
                "the platform is reachable again",
            );
        }
    }

    /// Announces the held lease; returns the previously announced one.
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
            event::emit(EventId::ConfigRefused, EventSubject::new(), &fault.to_string());
        }
        if fenced && !self.fenced.send_replace(true) {
            event::emit(EventId::Fenced, EventSubject::new(), "a newer process uses this name");
        }
        self.snapshot.send_if_modified(|it| {
            let not_older = check(Invariant::VersionGrows, snapshot.revision >= it.revision);
            let changed = not_older && snapshot != **it;
            if changed {
                *it = Arc::new(snapshot);
            }
            changed
        });
        report::record_changes(self);
    }
}

/// Publishes a snapshot after changes; the rate is limited by the time that building one takes.
async fn publish(inner: Arc<Inner>) {
    let mut history = BTreeMap::new();
    loop {
        tokio::select! {
            () = inner.dirty.notified() => {}
            () = inner.stop.cancelled() => return,
        }
        let started = Instant::now();
        inner.publish();
        let snapshot = inner.snapshot.borrow().clone();
        if let Some(pools) = wanted_pools(&inner, &snapshot, &mut history) {
            inner.update_pools(pools);
        }
        sleep((started.elapsed() * PUBLISH_DELAY_FACTOR).max(MIN_PUBLISH_INTERVAL)).await;
    }
}

/// Pools that an agent subscribes to: its own, and all current and former pools of the services that its pool served.
/// Requests of these services go to the current pool, and former pools keep the outcomes of earlier requests.
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
        let pools_of_service = history.entry(entry.name.clone()).or_default();
        pools_of_service.insert(entry.spec.pool.clone());
        if pools_of_service.contains(&own) {
            pools.extend(pools_of_service.iter().cloned());
        }
    }
    Some(pools.into_iter().collect())
}

#[cfg(test)]
mod tests;
