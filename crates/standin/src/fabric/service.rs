//! The fabric's side of one service address.

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
    faults::{Fate, Faults},
    relay::{BUFFER, Buffers, Relay, Udp},
};

/// Sockets on one service address, each with a task and a receive buffer of its own.
const SHARDS: u64 = 4;

/// What the service's task shares with the relays of its callers.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) udp: Udp,
    pub(super) counts: Mutex<ServiceCounts>,
    pub(super) buffers: Buffers,
    pub(super) started: Instant,
    pub(super) seed: u64,
    faults: watch::Receiver<Arc<Faults>>,
}

impl Shared {
    pub(super) fn faults(&self) -> Arc<Faults> {
        self.faults.borrow().clone()
    }
}

/// Settings that all services have in common.
#[derive(Clone, Debug)]
pub(super) struct Common {
    /// IP of the callers' sockets.
    pub(super) ip: IpAddr,
    /// Time after which a caller that sends nothing and gets nothing is forgotten.
    pub(super) idle: Duration,
    pub(super) seed: u64,
    pub(super) faults: watch::Receiver<Arc<Faults>>,
}

/// A service address that is being served; its tasks end when this value is dropped.
#[derive(Debug)]
pub(super) struct Service {
    shards: Vec<Arc<Shared>>,
    balancers: watch::Sender<Vec<SocketAddr>>,
}

impl Service {
    pub(super) fn start(
        addr: SocketAddr,
        balancers: &[SocketAddr],
        common: &Common,
    ) -> anyhow::Result<Service> {
        let mut shards = Vec::new();
        for shard in 0..SHARDS {
            shards.push(Arc::new(Shared {
                udp: Udp::bind(addr, true)?,
                counts: Mutex::default(),
                buffers: Buffers::default(),
                started: Instant::now(),
                seed: common.seed ^ u64::from(addr.port()) ^ (shard << u32::BITS),
                faults: common.faults.clone(),
            }));
        }
        let (balancers, route) = watch::channel(balancers.to_vec());
        for shared in &shards {
            tokio::spawn(Task::new(shared.clone(), common, route.clone()).run());
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
        let mut sum = ServiceCounts::default();
        for shared in &self.shards {
            sum.add(&shared.counts.lock());
        }
        sum
    }
}

/// The task that reads one of the service's sockets.
struct Task {
    shared: Arc<Shared>,
    ip: IpAddr,
    idle: Duration,
    route: watch::Receiver<Vec<SocketAddr>>,
    random: StdRng,
    callers: FxHashMap<SocketAddr, (Arc<Relay>, AbortHandle)>,
    tasks: JoinSet<()>,
}

impl Task {
    fn new(shared: Arc<Shared>, common: &Common, route: watch::Receiver<Vec<SocketAddr>>) -> Task {
        Task {
            ip: common.ip,
            idle: common.idle,
            route,
            random: StdRng::seed_from_u64(shared.seed),
            callers: FxHashMap::default(),
            tasks: JoinSet::new(),
            shared,
        }
    }

    async fn run(mut self) {
        let mut buffer = vec![0; BUFFER * BATCH_SIZE];
        let mut sweep = interval(self.idle / 4);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let shared = self.shared.clone();
        loop {
            tokio::select! {
                changed = self.route.changed() => match changed {
                    Ok(()) => {}
                    Err(_) => return,
                },
                _ = sweep.tick() => self.forget_idle(),
                Some(_) = self.tasks.join_next() => {}
                ready = shared.udp.socket.readable() => match ready {
                    Ok(()) => self.read(&mut buffer),
                    Err(_) => return,
                }
            }
        }
    }

    fn forget_idle(&mut self) {
        let idle_ms = self.idle.as_millis() as u64;
        self.callers.retain(|_, (relay, task)| {
            let keep = relay.idle_ms() < idle_ms;
            if !keep {
                task.abort();
            }
            keep
        });
        self.shared.counts.lock().callers = self.callers.len() as u64;
    }

    fn read(&mut self, buffer: &mut [u8]) {
        let mut metas = [RecvMeta::default(); BATCH_SIZE];
        let received = {
            let mut slices: Vec<IoSliceMut<'_>> =
                buffer.chunks_mut(BUFFER).map(IoSliceMut::new).collect();
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
        let balancers = self.route.borrow().clone();
        for (part, meta) in buffer.chunks(BUFFER).zip(&metas[..count]) {
            for datagram in part[..meta.len].chunks(meta.stride.max(1)) {
                self.spray(datagram, meta.addr, &balancers, &faults);
            }
        }
    }

    /// Sends one datagram to one balancer.
    fn spray(
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
        let balancer = balancers[self.random.random_range(0..balancers.len())];
        if faults.cut.contains(&balancer.ip()) {
            counts.cut += 1;
            return;
        }
        let fate = faults.fate(&mut self.random);
        if fate != Fate::Lose {
            *counts.balancers.entry(balancer).or_default() += 1;
        }
        drop(counts);
        match self.relay(caller) {
            Ok(relay) => relay.forward(datagram, balancer, fate),
            Err(error) => {
                tracing::warn!(%caller, "no socket for the caller: {error:#}");
                self.shared.counts.lock().errors += 1;
            }
        }
    }

    fn relay(&mut self, caller: SocketAddr) -> anyhow::Result<Arc<Relay>> {
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
