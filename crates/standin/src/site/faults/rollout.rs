//! How long an accepted change takes until it is in force everywhere.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use serde::Deserialize;
use tokio::time::{self, Instant};

use super::Injector;

/// Time in which an accepted change must be in force everywhere, unless a fault keeps news away.
const LIMIT: Duration = Duration::from_secs(5);
const GIVE_UP: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);

/// The part of a process's status that tells what is in force.
#[derive(Deserialize)]
struct Status {
    control: Control,
}

#[derive(Deserialize)]
struct Control {
    applied: u64,
}

impl Injector {
    /// Waits until the revision is in force in every process that is not under a fault, and notes the time.
    pub(super) async fn follow(&self, revision: u64) -> anyhow::Result<()> {
        let (start, since) = (Instant::now(), self.shared.tally.now());
        let mut missing = self.daemons().await;
        while start.elapsed() < GIVE_UP {
            self.drop_in_force(&mut missing, revision).await;
            if missing.is_empty() {
                break;
            }
            time::sleep(POLL).await;
        }
        let took = start.elapsed();
        self.log.rollouts.lock().push(took);
        if took > LIMIT && !self.disturbed(since) {
            let at = self.shared.tally.now().as_secs_f64();
            let names: Vec<&String> = missing.keys().collect();
            self.log.complain(format!(
                "{at:.1} s: revision {revision} took {took:.1?} to be in force everywhere; \
                 without it: {names:?}"
            ));
        }
        Ok(())
    }

    async fn daemons(&self) -> BTreeMap<String, SocketAddr> {
        let fleet = self.shared.fleet.lock().await;
        let mut daemons = BTreeMap::new();
        for (name, member) in fleet.members() {
            if member.daemon() && member.process.is_some() {
                daemons.insert(name.to_owned(), member.admin);
            }
        }
        daemons
    }

    /// Drops the processes that have the revision, and those that a fault has taken meanwhile.
    async fn drop_in_force(&self, missing: &mut BTreeMap<String, SocketAddr>, revision: u64) {
        let names: Vec<String> = missing.keys().cloned().collect();
        for name in names {
            if !self.busy.is_free(&name) {
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
