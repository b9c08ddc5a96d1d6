//! State shared by all parts of the agent.
//!
//! Lock order: `services` before a service's own locks, of those `applying` first; `claims` before `keyed_requests`;
//! otherwise no two locks are held together.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, SocketAddrV4},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

use anyhow::Context;
use arc_swap::{ArcSwap, ArcSwapOption};
use camphorwinch_core::{
    admit::Availability,
    backoff::UpstreamBackoff,
    claims::{Claims, RequestId},
    member::AgentState,
    object::ServiceId,
    peers::PeerLoads,
    seal::{self, KeyRing},
    snapshot::Snapshot,
};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::{
    down_agents::DownAgents,
    link::{Dial, LinkCache},
    metrics,
    rosters::Rosters,
    service::Service,
    slots::SlotLimiter,
    socket::DataSocket,
    throttled,
    upstream::Upstream,
};
use crate::{
    clock,
    config::{AddressMode, AgentConfig},
    event::{self, EventId, EventSubject},
};

/// Settings of one agent.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) name: String,
    pub(crate) vm: String,
    pub(crate) zone: String,
    /// Pool that the upstream belongs to.
    pub(crate) pool: String,
    /// Address that receives encapsulated datagrams.
    pub(crate) data: SocketAddr,
    pub(crate) upstream: SocketAddr,
    /// Requests that the upstream runs concurrently.
    pub(crate) slots: u32,
    /// Maximum number of open flows.
    pub(crate) connections: u32,
    /// Source address of packets to callers.
    pub(crate) reply: AddressMode,
    /// Pending handshakes per service from which on callers must first validate their address.
    pub(crate) max_unvalidated_handshakes: u32,
}

const MAX_UNVALIDATED_HANDSHAKES: u32 = 256;

impl Settings {
    /// Takes the settings for flows and requests from the process configuration.
    pub(crate) fn new(config: &AgentConfig) -> Settings {
        Settings {
            name: config.common.name.clone(),
            vm: config.common.place.vm.clone(),
            zone: config.common.place.zone.clone(),
            pool: config.pool.clone(),
            data: config.data,
            upstream: config.upstream,
            slots: config.slots,
            connections: config.connections,
            reply: config.reply,
            max_unvalidated_handshakes: MAX_UNVALIDATED_HANDSHAKES,
        }
    }
}

/// The agent's shared state.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    /// Data address as encoded in connection IDs.
    pub(crate) data_address: SocketAddrV4,
    pub(crate) data_socket: Arc<DataSocket>,
    pub(crate) key_ring: Arc<ArcSwapOption<KeyRing>>,
    pub(crate) slot_limiter: SlotLimiter,
    pub(crate) backoff: Mutex<UpstreamBackoff>,
    pub(crate) peer_loads: Mutex<PeerLoads>,
    pub(crate) upstream: Upstream,
    pub(crate) links: LinkCache,
    pub(crate) claims: Mutex<Claims>,
    pub(crate) rosters: Mutex<Rosters>,
    /// Requests with an idempotency key that this agent is processing.
    pub(crate) keyed_requests: Mutex<BTreeSet<RequestId>>,
    /// Agents that were detected as down.
    pub(crate) down_agents: DownAgents,
    /// Tasks of flows and requests in progress.
    pub(crate) tasks: TaskTracker,
    snapshot: ArcSwap<Snapshot>,
    services: Mutex<BTreeMap<ServiceId, Arc<Service>>>,
    flows: Arc<AtomicU32>,
    epoch_counts: EpochCounts,
    stopping: AtomicBool,
    draining: AtomicBool,
    drain_reported: AtomicBool,
    upstream_reachable: watch::Sender<bool>,
    changed: watch::Sender<u64>,
}

/// Number of flows by epoch of the key that encrypts their connection IDs.
type EpochCounts = Arc<Mutex<BTreeMap<u8, u32>>>;

/// Guard that counts an open flow.
#[derive(Debug)]
pub(crate) struct FlowGuard {
    total_flows: Arc<AtomicU32>,
    service_flows: Arc<AtomicU32>,
    epoch_counts: EpochCounts,
    epoch: u8,
}

impl FlowGuard {
    fn new(
        total_flows: &Arc<AtomicU32>,
        service_flows: &Arc<AtomicU32>,
        epoch_counts: &EpochCounts,
        epoch: u8,
    ) -> FlowGuard {
        total_flows.fetch_add(1, Ordering::Relaxed);
        service_flows.fetch_add(1, Ordering::Relaxed);
        *epoch_counts.lock().entry(epoch).or_default() += 1;
        metrics::OPEN_FLOWS.inc();
        FlowGuard {
            total_flows: Arc::clone(total_flows),
            service_flows: Arc::clone(service_flows),
            epoch_counts: Arc::clone(epoch_counts),
            epoch,
        }
    }
}

impl Drop for FlowGuard {
    fn drop(&mut self) {
        self.total_flows.fetch_sub(1, Ordering::Relaxed);
        self.service_flows.fetch_sub(1, Ordering::Relaxed);
        let mut epoch_counts = self.epoch_counts.lock();
        if let Some(count) = epoch_counts.get_mut(&self.epoch) {
            *count -= 1;
            if *count == 0 {
                epoch_counts.remove(&self.epoch);
            }
        }
        drop(epoch_counts);
        metrics::OPEN_FLOWS.dec();
    }
}

impl Node {
    /// Creates the state and binds the data socket. Fails if the data address is not IPv4.
    pub(crate) fn new(settings: Settings, dial: Arc<dyn Dial>) -> anyhow::Result<Arc<Node>> {
        let data_socket = Arc::new(DataSocket::bind(settings.data)?);
        let data_address =
            seal::sealable(data_socket.local_addr()).context("the data address must be IPv4")?;
        Ok(Arc::new(Node {
            data_address,
            data_socket,
            key_ring: Arc::default(),
            slot_limiter: SlotLimiter::new(settings.slots),
            backoff: Mutex::new(UpstreamBackoff::new()),
            peer_loads: Mutex::new(PeerLoads::new()),
            upstream: Upstream::new(settings.upstream),
            links: LinkCache::new(dial),
            claims: Mutex::new(Claims::new()),
            rosters: Mutex::new(Rosters::new(&settings.name)),
            keyed_requests: Mutex::default(),
            down_agents: DownAgents::default(),
            tasks: TaskTracker::new(),
            snapshot: ArcSwap::default(),
            services: Mutex::default(),
            flows: Arc::default(),
            epoch_counts: EpochCounts::default(),
            stopping: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drain_reported: AtomicBool::new(false),
            upstream_reachable: watch::Sender::new(false),
            changed: watch::Sender::new(0),
            settings,
        }))
    }

    /// Current configuration and membership.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Applies a snapshot to the agent and its services.
    pub(crate) fn apply(self: &Arc<Self>, snapshot: Arc<Snapshot>) {
        self.put_in_force(&snapshot);
        self.down_agents.retain(&snapshot);
        self.rosters.lock().apply(&snapshot, clock::now_ms());
        self.peer_loads.lock().retain(|it| snapshot.agents.contains_key(it));
        self.update_draining();
        for service in self.services() {
            service.apply(self);
        }
        self.notify_changed();
    }

    /// First part of [`Node::apply`]: from here on flows and requests are handled by this snapshot.
    pub(crate) fn put_in_force(&self, snapshot: &Arc<Snapshot>) {
        self.apply_keys(snapshot);
        // Must precede the snapshot: otherwise flows of a down agent are reset even if it is only paused.
        self.down_agents.add(snapshot);
        self.snapshot.store(Arc::clone(snapshot));
    }

    fn apply_keys(&self, snapshot: &Snapshot) {
        let Some(keys) = &snapshot.keys else {
            return;
        };
        if self.snapshot.load().keys.as_ref() == Some(keys) {
            return;
        }
        let Some(ring) = KeyRing::new(keys) else {
            event::emit(
                EventId::ConfigRefused,
                EventSubject::new(),
                "keys/fleet: no key with use \"seal\"",
            );
            return;
        };
        let epoch = ring.epoch();
        let previous = self.key_ring.swap(Some(Arc::new(ring)));
        if previous.is_some_and(|it| it.epoch() != epoch) {
            event::emit(EventId::KeyRotated, EventSubject::new(), &format!("key epoch {epoch}"));
        }
    }

    /// Begins a graceful stop: the agent accepts no new work.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.update_draining();
        for service in self.services() {
            service.apply(self);
        }
    }

    /// Records whether the upstream is reachable.
    pub(crate) fn set_upstream_reachable(&self, upstream_reachable: bool) {
        if self.upstream_reachable.send_replace(upstream_reachable) != upstream_reachable {
            self.notify_changed();
        }
    }

    /// Completes when the upstream is not reachable.
    pub(crate) async fn upstream_lost(&self) {
        // The sender lives as long as the node.
        let _ = self.upstream_reachable.subscribe().wait_for(|it| !*it).await;
    }

    /// Receiver that is notified of each change of the agent's state.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Notifies the receivers of [`Node::changed`].
    pub(crate) fn notify_changed(&self) {
        self.changed.send_modify(|it| *it += 1);
    }

    /// Whether the agent drains, because of a configured change or a stop.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Whether the agent accepts new work.
    pub(crate) fn availability(&self) -> Availability {
        if self.is_draining() {
            return Availability::Draining;
        }
        let upstream_reachable = *self.upstream_reachable.borrow();
        if upstream_reachable && self.backoff.lock().admits(clock::now_ms()) {
            Availability::Open
        } else {
            Availability::Closed
        }
    }

    /// State to report to the other members.
    pub(crate) fn state(&self) -> AgentState {
        const MAX_CLOSED_MS: u64 = 3_000;
        if self.stopping.load(Ordering::SeqCst) {
            return AgentState::Draining;
        }
        let closed_ms = self.backoff.lock().refused_for_ms(clock::now_ms());
        if *self.upstream_reachable.borrow() && closed_ms < MAX_CLOSED_MS {
            AgentState::Ready
        } else {
            AgentState::Starting
        }
    }

    /// Number of open flows.
    pub(crate) fn flows(&self) -> u32 {
        self.flows.load(Ordering::Relaxed)
    }

    /// Counts a flow, also in the counter of its service.
    pub(crate) fn count_flow(&self, service_flows: &Arc<AtomicU32>) -> FlowGuard {
        // A flow keeps the connection IDs issued at its start, also after the key was rotated.
        let epoch = self.key_ring.load().as_ref().map_or(0, |it| it.epoch());
        FlowGuard::new(&self.flows, service_flows, &self.epoch_counts, epoch)
    }

    /// Epochs of the keys that open flows still use.
    pub(crate) fn key_epochs(&self) -> Vec<u8> {
        self.epoch_counts.lock().keys().copied().collect()
    }

    /// The services opened so far.
    pub(crate) fn services(&self) -> Vec<Arc<Service>> {
        self.services.lock().values().cloned().collect()
    }

    /// The service with this ID, opened at its first use. None if it is unknown, there are no keys, or opening failed.
    pub(crate) fn get_or_open_service(self: &Arc<Self>, id: ServiceId) -> Option<Arc<Service>> {
        if let Some(it) = self.services.lock().get(&id) {
            return Some(Arc::clone(it));
        }
        let snapshot = self.snapshot();
        let entry = snapshot.services.get(&id)?;
        let ring = self.key_ring.load_full()?;
        let mut services = self.services.lock();
        if let Some(it) = services.get(&id) {
            return Some(Arc::clone(it));
        }
        match Service::open(self, id, entry, &ring) {
            Ok(it) => {
                services.insert(id, Arc::clone(&it));
                drop(services);
                it.apply(self);
                Some(it)
            }
            Err(e) => {
                drop(services);
                let about = EventSubject::new().with_service(&entry.name);
                throttled::emit(EventId::ConfigRefused, about, &format!("{e:#}"));
                None
            }
        }
    }

    /// Status for the operator API.
    pub(crate) fn status(&self) -> Value {
        let snapshot = self.snapshot();
        let service = |it: &Arc<Service>| json!({ "name": it.name, "flows": it.flows(), "here": it.is_local(&snapshot, self) });
        let services: Vec<Value> = self.services().iter().map(service).collect();
        json!({
            "state": self.state(),
            "draining": self.is_draining(),
            "flows": self.flows(),
            "busy": self.slot_limiter.busy(),
            "slots": self.slot_limiter.slots(),
            "services": services,
        })
    }

    /// Reports once that a drain is complete: no flow and no request is left.
    pub(crate) fn report_drained(&self) {
        let done = self.is_draining() && self.flows() == 0 && self.slot_limiter.busy() == 0;
        if self.drain_reported.swap(done, Ordering::SeqCst) || !done {
            return;
        }
        let about = EventSubject::new().with_upstream(&self.settings.name);
        event::emit(EventId::DrainDone, about, "no flow or request is left");
    }

    fn update_draining(&self) {
        let it = &self.settings;
        let configured = self.snapshot.load().is_draining(&it.name, &it.vm, &it.zone);
        let draining = configured || self.stopping.load(Ordering::SeqCst);
        let was_draining = self.draining.swap(draining, Ordering::SeqCst);
        if draining && !was_draining {
            let text = format!("{} flows, {} requests", self.flows(), self.slot_limiter.busy());
            event::emit(EventId::DrainStarted, EventSubject::new().with_upstream(&it.name), &text);
        }
        if was_draining && !draining {
            event::emit(
                EventId::DrainEnded,
                EventSubject::new().with_upstream(&it.name),
                "accepts new work",
            );
        }
        self.notify_changed();
    }
}
