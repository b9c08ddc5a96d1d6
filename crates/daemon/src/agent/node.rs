//! State of the agent that all its parts share.
//!
//! Lock order: `services` before a service's own locks; `claims` before `open`; otherwise no two locks are held
//! together.

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
    admit::Intake,
    claims::{Claims, RequestId},
    gate::Gate,
    member::AgentState,
    object::ServiceId,
    peers::Hints,
    seal::{self, KeyRing},
    snapshot::Snapshot,
};
use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::{
    absent::Absent,
    link::{Dial, Links},
    meter, notice,
    rosters::Rosters,
    service::Service,
    socket::DataSocket,
    upstream::Upstream,
    work::Work,
};
use crate::{
    clock,
    config::{AddressMode, AgentConfig},
    event::{self, About, Id},
};

/// What an agent must know of itself.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Name.
    pub(crate) name: String,
    /// VM.
    pub(crate) vm: String,
    /// Availability zone.
    pub(crate) zone: String,
    /// Pool of the upstream.
    pub(crate) pool: String,
    /// Address for encapsulated datagrams.
    pub(crate) data: SocketAddr,
    /// Address of the upstream.
    pub(crate) upstream: SocketAddr,
    /// Requests that the upstream runs at once.
    pub(crate) slots: u32,
    /// Flows that the agent holds at most.
    pub(crate) connections: u32,
    /// Source address of answers.
    pub(crate) reply: AddressMode,
    /// Handshakes under way at which callers must first prove their address.
    pub(crate) unproven: u32,
}

const MAX_UNPROVEN: u32 = 256;

impl Settings {
    /// The part of the configuration that concerns flows and requests.
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
            unproven: MAX_UNPROVEN,
        }
    }
}

/// The agent's shared state.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    /// Data address as connection IDs carry it.
    pub(crate) home: SocketAddrV4,
    pub(crate) data: Arc<DataSocket>,
    pub(crate) ring: Arc<ArcSwapOption<KeyRing>>,
    pub(crate) work: Work,
    pub(crate) gate: Mutex<Gate>,
    pub(crate) hints: Mutex<Hints>,
    pub(crate) upstream: Upstream,
    pub(crate) links: Links,
    pub(crate) claims: Mutex<Claims>,
    pub(crate) rosters: Mutex<Rosters>,
    /// Keyed requests in hand.
    pub(crate) open: Mutex<BTreeSet<RequestId>>,
    /// Agents found dead.
    pub(crate) absent: Absent,
    /// Flows and requests in progress.
    pub(crate) tasks: TaskTracker,
    snapshot: ArcSwap<Snapshot>,
    services: Mutex<BTreeMap<ServiceId, Arc<Service>>>,
    flows: Arc<AtomicU32>,
    epochs: Epochs,
    stopping: AtomicBool,
    draining: AtomicBool,
    drained: AtomicBool,
    reachable: watch::Sender<bool>,
    changed: watch::Sender<u64>,
}

/// Flows by the epoch of the key that seals their connection IDs.
type Epochs = Arc<Mutex<BTreeMap<u8, u32>>>;

/// A flow counted at the agent; uncounted when dropped.
#[derive(Debug)]
pub(crate) struct FlowCount {
    all: Arc<AtomicU32>,
    own: Arc<AtomicU32>,
    epochs: Epochs,
    epoch: u8,
}

impl FlowCount {
    fn new(all: &Arc<AtomicU32>, own: &Arc<AtomicU32>, epochs: &Epochs, epoch: u8) -> FlowCount {
        all.fetch_add(1, Ordering::Relaxed);
        own.fetch_add(1, Ordering::Relaxed);
        *epochs.lock().entry(epoch).or_default() += 1;
        meter::HELD.inc();
        FlowCount { all: Arc::clone(all), own: Arc::clone(own), epochs: Arc::clone(epochs), epoch }
    }
}

impl Drop for FlowCount {
    fn drop(&mut self) {
        self.all.fetch_sub(1, Ordering::Relaxed);
        self.own.fetch_sub(1, Ordering::Relaxed);
        let mut epochs = self.epochs.lock();
        if let Some(count) = epochs.get_mut(&self.epoch) {
            *count -= 1;
            if *count == 0 {
                epochs.remove(&self.epoch);
            }
        }
        drop(epochs);
        meter::HELD.dec();
    }
}

impl Node {
    /// Binds the data socket.
    pub(crate) fn new(settings: Settings, dial: Arc<dyn Dial>) -> anyhow::Result<Arc<Node>> {
        let data = Arc::new(DataSocket::bind(settings.data)?);
        let home = seal::sealable(data.local()).context("the data address must be IPv4")?;
        Ok(Arc::new(Node {
            home,
            data,
            ring: Arc::default(),
            work: Work::new(settings.slots),
            gate: Mutex::new(Gate::new()),
            hints: Mutex::new(Hints::new()),
            upstream: Upstream::new(settings.upstream),
            links: Links::new(dial),
            claims: Mutex::new(Claims::new()),
            rosters: Mutex::new(Rosters::new(&settings.name)),
            open: Mutex::default(),
            absent: Absent::default(),
            tasks: TaskTracker::new(),
            snapshot: ArcSwap::default(),
            services: Mutex::default(),
            flows: Arc::default(),
            epochs: Epochs::default(),
            stopping: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drained: AtomicBool::new(false),
            reachable: watch::Sender::new(false),
            changed: watch::Sender::new(0),
            settings,
        }))
    }

    /// Configuration and members in force here.
    pub(crate) fn snapshot(&self) -> Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Puts a snapshot in force.
    pub(crate) fn apply(self: &Arc<Self>, snapshot: Arc<Snapshot>) {
        self.apply_keys(&snapshot);
        // Whoever sees an agent as dead must find it among the absent: else it resets flows of one that is only paused.
        self.absent.add(&snapshot);
        self.snapshot.store(Arc::clone(&snapshot));
        self.absent.retain(&snapshot);
        self.rosters.lock().apply(&snapshot, clock::now_ms());
        self.hints.lock().retain(|it| snapshot.agents.contains_key(it));
        self.refresh();
        for service in self.services() {
            service.apply(&snapshot, self);
        }
        self.bump();
    }

    fn apply_keys(&self, snapshot: &Snapshot) {
        let Some(keys) = &snapshot.keys else {
            return;
        };
        if self.snapshot.load().keys.as_ref() == Some(keys) {
            return;
        }
        let Some(ring) = KeyRing::new(keys) else {
            event::emit(Id::ConfigRefused, About::new(), "keys/fleet: no key seals");
            return;
        };
        let epoch = ring.epoch();
        let former = self.ring.swap(Some(Arc::new(ring)));
        if former.is_some_and(|it| it.epoch() != epoch) {
            event::emit(Id::KeyRotated, About::new(), &format!("sealing epoch {epoch}"));
        }
    }

    /// Asks for a graceful stop: no new work from here on.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.refresh();
        let snapshot = self.snapshot();
        for service in self.services() {
            service.apply(&snapshot, self);
        }
    }

    /// Notes whether the upstream accepts connections.
    pub(crate) fn set_reachable(&self, reachable: bool) {
        if self.reachable.send_replace(reachable) != reachable {
            self.bump();
        }
    }

    /// Completes when the upstream no longer answers.
    pub(crate) async fn lost(&self) {
        // The sender lives as long as the node.
        let _ = self.reachable.subscribe().wait_for(|it| !*it).await;
    }

    /// Signals changes of the agent's own state.
    pub(crate) fn changed(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Tells those that follow the agent's state to look again.
    pub(crate) fn bump(&self) {
        self.changed.send_modify(|it| *it += 1);
    }

    /// Whether the agent drains, by a planned change or because it stops.
    pub(crate) fn drains(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Whether the agent takes new work.
    pub(crate) fn intake(&self) -> Intake {
        if self.drains() {
            return Intake::Draining;
        }
        let reachable = *self.reachable.borrow();
        if reachable && self.gate.lock().is_open(clock::now_ms()) {
            Intake::Open
        } else {
            Intake::Closed
        }
    }

    /// State to announce.
    pub(crate) fn state(&self) -> AgentState {
        const CLOSED_MS: u64 = 3_000;
        if self.stopping.load(Ordering::SeqCst) {
            return AgentState::Draining;
        }
        let closed = self.gate.lock().closed_for(clock::now_ms());
        if *self.reachable.borrow() && closed < CLOSED_MS {
            AgentState::Ready
        } else {
            AgentState::Starting
        }
    }

    /// Flows held.
    pub(crate) fn flows(&self) -> u32 {
        self.flows.load(Ordering::Relaxed)
    }

    /// Counts a flow of a service whose own count is `own`.
    pub(crate) fn count_flow(&self, own: &Arc<AtomicU32>) -> FlowCount {
        // A flow keeps the connection IDs that it began with, whatever key seals later ones.
        let epoch = self.ring.load().as_ref().map_or(0, |it| it.epoch());
        FlowCount::new(&self.flows, own, &self.epochs, epoch)
    }

    /// Epochs of the keys that flows held here need.
    pub(crate) fn epochs(&self) -> Vec<u8> {
        self.epochs.lock().keys().copied().collect()
    }

    /// The services that flows came for so far.
    pub(crate) fn services(&self) -> Vec<Arc<Service>> {
        self.services.lock().values().cloned().collect()
    }

    /// The service with this number; set up at its first datagram.
    pub(crate) fn service(self: &Arc<Self>, id: ServiceId) -> Option<Arc<Service>> {
        if let Some(it) = self.services.lock().get(&id) {
            return Some(Arc::clone(it));
        }
        let snapshot = self.snapshot();
        let entry = snapshot.services.get(&id)?;
        let ring = self.ring.load_full()?;
        let mut services = self.services.lock();
        if let Some(it) = services.get(&id) {
            return Some(Arc::clone(it));
        }
        match Service::open(self, id, entry, &ring) {
            Ok(it) => {
                services.insert(id, Arc::clone(&it));
                drop(services);
                it.apply(&snapshot, self);
                Some(it)
            }
            Err(e) => {
                drop(services);
                let about = About::new().with_service(&entry.name);
                notice::emit(Id::ConfigRefused, about, &format!("{e:#}"));
                None
            }
        }
    }

    /// State, for operators.
    pub(crate) fn status(&self) -> Value {
        let service = |it: &Arc<Service>| json!({ "name": it.name, "flows": it.flows(), "here": it.is_here(self) });
        let services: Vec<Value> = self.services().iter().map(service).collect();
        json!({
            "state": self.state(),
            "draining": self.drains(),
            "flows": self.flows(),
            "busy": self.work.busy(),
            "slots": self.work.slots(),
            "services": services,
        })
    }

    /// Says once that a drain is done: no flow and no request is left.
    pub(crate) fn report_drained(&self) {
        let done = self.drains() && self.flows() == 0 && self.work.busy() == 0;
        if self.drained.swap(done, Ordering::SeqCst) || !done {
            return;
        }
        let about = About::new().with_upstream(&self.settings.name);
        event::emit(Id::DrainDone, about, "no flow is left");
    }

    fn refresh(&self) {
        let it = &self.settings;
        let planned = self.snapshot.load().drains(&it.name, &it.vm, &it.zone);
        let drains = planned || self.stopping.load(Ordering::SeqCst);
        let drained = self.draining.swap(drains, Ordering::SeqCst);
        if drains && !drained {
            let text = format!("{} flows, {} requests", self.flows(), self.work.busy());
            event::emit(Id::DrainStarted, About::new().with_upstream(&it.name), &text);
        }
        if drained && !drains {
            event::emit(Id::DrainEnded, About::new().with_upstream(&it.name), "takes new work");
        }
        self.bump();
    }
}
