//! Packet path of the balancer: opens and closes sockets as the configuration changes, and gives the workers a new
//! placer for each snapshot.

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
    outcome::{Outcome, OutcomeCounters},
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

/// Interval of counter exports and of retries of failed sockets.
const TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Ticks between rebuilds without a change, which expire the addresses of removed services.
const REBUILD_TICKS: u64 = 60;
/// Pause after a rebuild, as a multiple of its duration, to bound the CPU load of a burst of changes.
const REBUILD_PAUSE_FACTOR: u32 = 100;
const MAX_REBUILD_PAUSE: Duration = Duration::from_secs(1);
/// Time without a datagram after which a leaving balancer stops.
const QUIET_PERIOD: Duration = Duration::from_secs(2);
/// Limit for relaying after the balancer has announced that it is leaving.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);

static PACKETS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counter("packets_total", "Datagrams of callers by what became of them", "outcome")
});
static TABLE_BYTES: LazyLock<IntGauge> =
    LazyLock::new(|| metrics::gauge("table_bytes", "Memory of the tables that place new flows"));

pub(crate) struct Relay {
    shared: Arc<Shared>,
    workers: Vec<Worker>,
    sockets: Sockets,
    exported: [u64; Outcome::COUNT],
}

impl Relay {
    /// Starts the workers, without sockets for callers until the first snapshot.
    pub(crate) fn new(config: &BalanceConfig) -> anyhow::Result<Relay> {
        let placer = ArcSwap::from_pointee(Placer::new(&Snapshot::default(), None, now_ms()));
        let shared = Arc::new(Shared { placer, counters: OutcomeCounters::default() });
        let start = |number: usize| -> io::Result<Worker> {
            let data = socket::bind(config.data)?;
            Worker::new(&format!("relay-{number}"), data, Arc::clone(&shared))
        };
        let workers: io::Result<Vec<Worker>> = (0..config.workers).map(start).collect();
        let workers = workers.with_context(|| format!("open the data socket {}", config.data))?;
        let sockets = Sockets::new(config.bind, config.data);
        Ok(Relay { shared, workers, sockets, exported: [0; Outcome::COUNT] })
    }

    /// State shared with the operator address.
    pub(crate) fn shared(&self) -> Arc<Shared> {
        Arc::clone(&self.shared)
    }

    /// Applies snapshots until this future is dropped.
    pub(crate) async fn run(&mut self, control: &Control) {
        let mut snapshots = control.watch();
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut ticks: u64 = 0;
        let mut in_force = false;
        loop {
            tokio::select! {
                changed = snapshots.changed() => {
                    if changed.is_err() {
                        // The control plane has stopped: keep the current configuration.
                        return std::future::pending().await;
                    }
                    in_force = false;
                }
                _ = tick.tick() => {
                    self.export_counters();
                    ticks += 1;
                    if in_force && !ticks.is_multiple_of(REBUILD_TICKS) {
                        continue;
                    }
                }
            }
            if !control.synced() {
                continue;
            }
            in_force = self.apply_latest(control, &mut snapshots).await;
        }
    }

    async fn apply_latest(
        &mut self,
        control: &Control,
        snapshots: &mut watch::Receiver<Arc<Snapshot>>,
    ) -> bool {
        let started = Instant::now();
        let snapshot = Arc::clone(&snapshots.borrow_and_update());
        let in_force = self.apply(&snapshot, now_ms());
        if in_force {
            control.set_applied(snapshot.revision);
        }
        sleep((started.elapsed() * REBUILD_PAUSE_FACTOR).min(MAX_REBUILD_PAUSE)).await;
        in_force
    }

    /// Applies a snapshot; returns false if a socket could not be opened.
    fn apply(&mut self, snapshot: &Snapshot, now_ms: u64) -> bool {
        let placer = Placer::new(snapshot, Some(&self.shared.placer.load()), now_ms);
        TABLE_BYTES.set(placer.table_bytes() as i64);
        let placer = Arc::new(placer);
        self.shared.placer.store(Arc::clone(&placer));
        self.sockets.reconcile(&placer, snapshot, &self.workers)
    }

    fn export_counters(&mut self) {
        for outcome in Outcome::all() {
            let count = self.shared.counters.get(outcome);
            let new = count - self.exported[outcome.index()];
            PACKETS.with_label_values(&[outcome.as_str()]).inc_by(new);
            self.exported[outcome.index()] = count;
        }
    }

    /// Relays until no more datagrams arrive, then stops the workers.
    pub(crate) async fn drain(mut self, control: &Control) {
        let shared = self.shared();
        tokio::select! {
            () = wait_until_quiet(&shared.counters) => {}
            () = self.run(control) => {}
        }
        self.export_counters();
        for worker in self.workers {
            worker.join();
        }
    }
}

/// Waits for [`QUIET_PERIOD`] without datagrams, at most [`LEAVE_TIMEOUT`].
async fn wait_until_quiet(counters: &OutcomeCounters) {
    let started = Instant::now();
    let mut changed = started;
    let mut last = received_datagrams(counters);
    while started.elapsed() < LEAVE_TIMEOUT && changed.elapsed() < QUIET_PERIOD {
        sleep(QUIET_PERIOD / 20).await;
        let now = received_datagrams(counters);
        if now != last {
            (changed, last) = (Instant::now(), now);
        }
    }
}

fn received_datagrams(counters: &OutcomeCounters) -> u64 {
    Outcome::all().map(|it| counters.get(it)).sum()
}

/// State of the packet path for the operator address.
pub(crate) fn status(shared: &Shared) -> Value {
    let count = |it: Outcome| (it.as_str().to_owned(), json!(shared.counters.get(it)));
    let packets: serde_json::Map<String, Value> = Outcome::all().map(count).collect();
    let placer = shared.placer.load();
    let addresses: Vec<SocketAddr> = placer.listeners().keys().copied().collect();
    json!({ "packets": packets, "addresses": addresses, "table_bytes": placer.table_bytes() })
}

#[cfg(test)]
mod tests;
