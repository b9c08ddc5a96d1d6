//! Measures how long a change takes to be applied by all processes.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::Deserialize;
use tokio::time::{self, Instant};

use super::Injector;

/// Limit for a change to be applied everywhere, unless a fault delays it.
const ROLLOUT_LIMIT: Duration = Duration::from_secs(5);
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The part of a process's status with the applied revision.
#[derive(Deserialize)]
struct Status {
    control: Control,
}

#[derive(Deserialize)]
struct Control {
    applied: u64,
}

impl Injector {
    /// Waits until all processes not under a fault have applied the revision, and records the time.
    pub(super) async fn track_rollout(&self, revision: u64) -> anyhow::Result<()> {
        let (start, since) = (Instant::now(), self.shared.stats.now());
        let mut missing = self.daemons().await;
        while start.elapsed() < ROLLOUT_TIMEOUT {
            self.remove_applied(&mut missing, revision).await;
            if missing.is_empty() {
                break;
            }
            time::sleep(POLL_INTERVAL).await;
        }
        let elapsed = start.elapsed();
        self.log.rollouts.lock().push(elapsed);
        if elapsed > ROLLOUT_LIMIT && !self.delayed_by_fault(since) {
            let at = self.shared.stats.now().as_secs_f64();
            let names: Vec<&String> = missing.keys().collect();
            self.log.report_violation(format!(
                "{at:.1} s: revision {revision} took {elapsed:.1?} to be applied everywhere; \
                 not applied by: {names:?}"
            ));
        }
        Ok(())
    }

    async fn daemons(&self) -> BTreeMap<String, SocketAddr> {
        let fleet = self.shared.fleet.lock().await;
        let mut daemons = BTreeMap::new();
        for (name, instance) in fleet.instances() {
            if instance.is_daemon() && instance.process.is_some() {
                daemons.insert(name.to_owned(), instance.admin);
            }
        }
        daemons
    }

    /// Removes processes that have applied the revision or are under a fault.
    async fn remove_applied(&self, missing: &mut BTreeMap<String, SocketAddr>, revision: u64) {
        let names: Vec<String> = missing.keys().cloned().collect();
        for name in names {
            if !self.reservations.is_free(&name) {
                missing.remove(&name);
                continue;
            }
            let status = self.shared.http.get::<Status>(missing[&name], "/status").await;
            if status.is_ok_and(|it| it.control.applied >= revision) {
                missing.remove(&name);
            }
        }
    }
}
