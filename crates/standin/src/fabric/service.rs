//! Sockets and tasks of one service address.

use std::{
    io::{self, IoSliceMut},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use quinn_udp::{BATCH_SIZE, RecvMeta};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rustc_hash::FxHashMap;
use tokio::{
    sync::watch,
    task::{AbortHandle, JoinSet},
    time::{Instant, MissedTickBehavior, interval},
};

use super::{
    counts::ServiceCounts,
    faults::{Action, Faults},
    relay::{BufferPool, RECV_BUFFER_BYTES, Relay, Udp},
};

/// Number of sockets per service address, each with its own task and receive buffer.
const SHARDS: u64 = 4;

/// State that the task of a shard shares with the relays of its callers.
#[derive(Debug)]
pub(super) struct ShardState {
    pub(super) udp: Udp,
    pub(super) counts: Mutex<ServiceCounts>,
    pub(super) buffers: BufferPool,
    pub(super) started: Instant,
    pub(super) seed: u64,
    faults: watch::Receiver<Arc<Faults>>,
}

impl ShardState {
    pub(super) fn faults(&self) -> Arc<Faults> {
        self.faults.borrow().clone()
    }
}

/// Settings common to all services.
#[derive(Clone, Debug)]
pub(super) struct ServiceConfig {
    /// IP to bind the sockets of callers on.
    pub(super) ip: IpAddr,
    /// Time without a datagram in either direction after which a caller is evicted.
    pub(super) idle_timeout: Duration,
    pub(super) seed: u64,
    pub(super) faults: watch::Receiver<Arc<Faults>>,
}

/// A served address; dropping it ends its tasks.
#[derive(Debug)]
pub(super) struct Service {
    shards: Vec<Arc<ShardState>>,
    balancers: watch::Sender<Vec<SocketAddr>>,
}

impl Service {
    pub(super) fn start(
        addr: SocketAddr,
        balancers: &[SocketAddr],
        config: &ServiceConfig,
    ) -> anyhow::Result<Service> {
        let mut shards = Vec::new();
        for shard in 0..SHARDS {
            shards.push(Arc::new(ShardState {
                udp: Udp::bind(addr, true)?,
                counts: Mutex::default(),
                buffers: BufferPool::default(),
                started: Instant::now(),
                seed: config.seed ^ u64::from(addr.port()) ^ (shard << u32::BITS),
                faults: config.faults.clone(),
            }));
        }
        let (balancers, receiver) = watch::channel(balancers.to_vec());
        for shared in &shards {
            tokio::spawn(ShardTask::new(shared.clone(), config, receiver.clone()).run());
        }
        Ok(Service { shards, balancers })
    }

    pub(super) fn set_balancers(&self, balancers: &[SocketAddr]) {
        self.balancers.send_replace(balancers.to_vec());
    }

    pub(super) fn balancers(&self) -> Vec<SocketAddr> {
        self.balancers.borrow().clone()
    }

    pub(super) fn counts(&self) -> ServiceCounts {
        let mut total = ServiceCounts::default();
        for shared in &self.shards {
            total.add(&shared.counts.lock());
        }
        total
    }
}

/// Task that receives from one of the sockets of a service.
struct ShardTask {
    shared: Arc<ShardState>,
    ip: IpAddr,
    idle_timeout: Duration,
    balancers: watch::Receiver<Vec<SocketAddr>>,
    rng: StdRng,
    callers: FxHashMap<SocketAddr, (Arc<Relay>, AbortHandle)>,
    tasks: JoinSet<()>,
}

impl ShardTask {
    fn new(
        shared: Arc<ShardState>,
        config: &ServiceConfig,
        balancers: watch::Receiver<Vec<SocketAddr>>,
    ) -> ShardTask {
        ShardTask {
            ip: config.ip,
            idle_timeout: config.idle_timeout,
            balancers,
            rng: StdRng::seed_from_u64(shared.seed),
            callers: FxHashMap::default(),
            tasks: JoinSet::new(),
            shared,
        }
    }

    async fn run(mut self) {
        let mut buffer = vec![0; RECV_BUFFER_BYTES * BATCH_SIZE];
        let mut evict_ticks = interval(self.idle_timeout / 4);
        evict_ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let shared = self.shared.clone();
        loop {
            tokio::select! {
                changed = self.balancers.changed() => match changed {
                    Ok(()) => {}
                    Err(_) => return,
                },
                _ = evict_ticks.tick() => self.evict_idle(),
                Some(_) = self.tasks.join_next() => {}
                ready = shared.udp.socket.readable() => match ready {
                    Ok(()) => self.receive(&mut buffer),
                    Err(_) => return,
                }
            }
        }
    }

    fn evict_idle(&mut self) {
        let timeout_ms = self.idle_timeout.as_millis() as u64;
        self.callers.retain(|_, (relay, task)| {
            let keep = relay.idle_ms() < timeout_ms;
            if !keep {
                task.abort();
            }
            keep
        });
        self.shared.counts.lock().callers = self.callers.len() as u64;
    }

    fn receive(&mut self, buffer: &mut [u8]) {
        let mut metas = [RecvMeta::default(); BATCH_SIZE];
        let received = {
            let mut slices: Vec<IoSliceMut<'_>> =
                buffer.chunks_mut(RECV_BUFFER_BYTES).map(IoSliceMut::new).collect();
            self.shared.udp.recv(&mut slices, &mut metas)
        };
        let count = match received {
            Ok(count) => count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(_) => {
                self.shared.counts.lock().errors += 1;
                return;
            }
        };
        let faults = self.shared.faults();
        let balancers = self.balancers.borrow().clone();
        for (part, meta) in buffer.chunks(RECV_BUFFER_BYTES).zip(&metas[..count]) {
            for datagram in part[..meta.len].chunks(meta.stride.max(1)) {
                self.forward(datagram, meta.addr, &balancers, &faults);
            }
        }
    }

    /// Forwards a datagram to a random balancer.
    fn forward(
        &mut self,
        datagram: &[u8],
        caller: SocketAddr,
        balancers: &[SocketAddr],
        faults: &Faults,
    ) {
        let mut counts = self.shared.counts.lock();
        counts.forward += 1;
        if balancers.is_empty() {
            counts.unrouted += 1;
            return;
        }
        let balancer = balancers[self.rng.random_range(0..balancers.len())];
        if faults.cut.contains(&balancer.ip()) {
            counts.cut += 1;
            return;
        }
        let action = faults.draw_action(&mut self.rng);
        if action != Action::Drop {
            *counts.balancers.entry(balancer).or_default() += 1;
        }
        drop(counts);
        match self.get_or_open_relay(caller) {
            Ok(relay) => relay.forward(datagram, balancer, action),
            Err(error) => {
                tracing::warn!(%caller, "failed to open a socket for the caller: {error:#}");
                self.shared.counts.lock().errors += 1;
            }
        }
    }

    fn get_or_open_relay(&mut self, caller: SocketAddr) -> anyhow::Result<Arc<Relay>> {
        if let Some((relay, _)) = self.callers.get(&caller) {
            return Ok(relay.clone());
        }
        let relay = Arc::new(Relay::new(self.ip, caller, self.shared.clone())?);
        let task = self.tasks.spawn(relay.clone().run());
        self.callers.insert(caller, (relay.clone(), task));
        let mut counts = self.shared.counts.lock();
        counts.callers = self.callers.len() as u64;
        counts.opened += 1;
        Ok(relay)
    }
}
