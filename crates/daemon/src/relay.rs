//! The balancer's packet path: opens and closes the sockets of services as the configuration changes, and gives the
//! workers a new placer for each snapshot.

mod sockets;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, LazyLock},
    time::{Duration, Instant},
};

use anyhow::Context;
use arc_swap::ArcSwap;
use camphorwinch_core::{place::Placer, snapshot::Snapshot};
use camphorwinch_relay::{
    outcome::{Outcome, Tally},
    relay::Shared,
    socket,
    worker::Worker,
};
use prometheus::{IntCounterVec, IntGauge};
use serde_json::{Value, json};
use tokio::{
    sync::watch,
    time::{MissedTickBehavior, interval, sleep},
};

use self::sockets::Sockets;
use crate::{clock::now_ms, config::BalanceConfig, control::Control, metrics};

/// How often counters are exported and failed sockets tried again.
const TICK: Duration = Duration::from_secs(1);
/// Ticks between two rebuilds without a change, which let addresses of former services expire.
const REBUILD_TICKS: u64 = 60;
/// Wait after a rebuild, in multiples of the time it took, so that a burst of changes can't fill a core.
const REST: u32 = 100;
/// Longest wait between a change and its being in force here.
const MAX_REST: Duration = Duration::from_secs(1);
/// How long no datagram must have arrived before a balancer that leaves ends.
const QUIET: Duration = Duration::from_secs(2);
/// Longest time a balancer that leaves goes on relaying.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

static PACKETS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counter("packets_total", "Datagrams of callers by what became of them", "outcome")
});
static TABLE_BYTES: LazyLock<IntGauge> =
    LazyLock::new(|| metrics::gauge("table_bytes", "Memory of the tables that place new flows"));

/// The packet path.
pub(crate) struct Relay {
    shared: Arc<Shared>,
    workers: Vec<Worker>,
    sockets: Sockets,
    exported: [u64; Outcome::COUNT],
}

impl Relay {
    /// Starts the workers. They have no sockets to receive from before the first snapshot.
    pub(crate) fn new(config: &BalanceConfig) -> anyhow::Result<Relay> {
        let placer = ArcSwap::from_pointee(Placer::new(&Snapshot::default(), None, now_ms()));
        let shared = Arc::new(Shared { placer, tally: Tally::default() });
        let start = |number: usize| -> io::Result<Worker> {
            let data = socket::bind(config.data)?;
            Worker::new(&format!("relay-{number}"), data, Arc::clone(&shared))
        };
        let workers: io::Result<Vec<Worker>> = (0..config.workers).map(start).collect();
        let workers = workers.with_context(|| format!("open the data socket {}", config.data))?;
        let sockets = Sockets::new(config.bind, config.data);
        Ok(Relay { shared, workers, sockets, exported: [0; Outcome::COUNT] })
    }

    /// What the packet path shares with the operator address.
    pub(crate) fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.shared)
    }

    /// Follows the snapshots until this future is dropped.
    pub(crate) async fn follow(&mut self, control: &Control) {
        let mut snapshots = control.watch();
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks: u64 = 0;
        let mut in_force = false;
        loop {
            tokio::select! {
                changed = snapshots.changed() => {
                    if changed.is_err() {
                        // The control plane has ended: what is in force stays so.
                        return std::future::pending().await;
                    }
                    in_force = false;
                }
                _ = tick.tick() => {
                    self.export();
                    ticks += 1;
                    if in_force && !ticks.is_multiple_of(REBUILD_TICKS) {
                        continue;
                    }
                }
            }
            if !control.synced() {
                continue;
            }
            in_force = self.follow_one(control, &mut snapshots).await;
        }
    }

    async fn follow_one(
        &mut self,
        control: &Control,
        snapshots: &mut watch::Receiver<Arc<Snapshot>>,
    ) -> bool {
        let started = Instant::now();
        let snapshot = Arc::clone(&snapshots.borrow_and_update());
        let in_force = self.apply(&snapshot, now_ms());
        if in_force {
            control.applied(snapshot.revision);
        }
        sleep((started.elapsed() * REST).min(MAX_REST)).await;
        in_force
    }

    /// Puts a snapshot in force; false if a service's socket could not be opened.
    fn apply(&mut self, snapshot: &Snapshot, now_ms: u64) -> bool {
        let placer = Placer::new(snapshot, Some(&self.shared.placer.load()), now_ms);
        TABLE_BYTES.set(placer.table_bytes() as i64);
        let placer = Arc::new(placer);
        self.shared.placer.store(Arc::clone(&placer));
        self.sockets.adjust(&placer, snapshot, &self.workers)
    }

    fn export(&mut self) {
        for outcome in Outcome::all() {
            let count = self.shared.tally.get(outcome);
            let new = count - self.exported[outcome.index()];
            PACKETS.with_label_values(&[outcome.as_str()]).inc_by(new);
            self.exported[outcome.index()] = count;
        }
    }

    /// Goes on relaying until no more datagrams arrive, then ends the workers.
    pub(crate) async fn finish(mut self, control: &Control) {
        let shared = self.shared();
        tokio::select! {
            () = quiet(&shared.tally) => {}
            () = self.follow(control) => {}
        }
        self.export();
        for worker in self.workers {
            worker.join();
        }
    }
}

/// Waits until no datagram has arrived for a while, or until the longest time a balancer that leaves goes on.
async fn quiet(tally: &Tally) {
    let started = Instant::now();
    let mut changed = started;
    let mut last = received(tally);
    while started.elapsed() < LEAVE_TIMEOUT && changed.elapsed() < QUIET {
        sleep(QUIET / 20).await;
        let now = received(tally);
        if now != last {
            (changed, last) = (Instant::now(), now);
        }
    }
}

fn received(tally: &Tally) -> u64 {
    Outcome::all().map(|it| tally.get(it)).sum()
}

/// State of the packet path, for operators.
pub(crate) fn status(shared: &Shared) -> Value {
    let count = |it: Outcome| (it.as_str().to_owned(), json!(shared.tally.get(it)));
    let packets: serde_json::Map<String, Value> = Outcome::all().map(count).collect();
    let placer = shared.placer.load();
    let addresses: Vec<SocketAddr> = placer.listeners().keys().copied().collect();
    json!({ "packets": packets, "addresses": addresses, "table_bytes": placer.table_bytes() })
}

#[cfg(test)]
mod tests;
