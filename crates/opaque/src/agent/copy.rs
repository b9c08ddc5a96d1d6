//! A copy of the balancers' state, kept by a few agents.
//!
//!
//! Balancers hold no persistent state. If all of them restart while the store is unavailable, they learn of a copy
//! from the agents' first reports and fetch it. A copy never replaces newer state.

#[cfg(test)]
mod tests;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use camphorwinch_core::opaque::route::Stamp;
use camphorwinch_wire::opaque::{Greeting, Question, Snapshot, ZonesEntry};
use tokio::{sync::watch, time::Instant};

use crate::{
    event::Id,
    snapshot::{self, QUERY_TIMEOUT},
};

/// Age at which a copy is fetched again, as members change without a new revision.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Minimum interval between fetches, above the duration of one.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// A copy of a balancer's snapshot, served to balancers.
pub(super) struct SnapshotCopy {
    newest: watch::Sender<Arc<Snapshot>>,
    fetched: Option<Instant>,
}

impl SnapshotCopy {
    /// Starts serving the copy at `address`.
    pub(super) fn serve(address: SocketAddrV4) -> anyhow::Result<SnapshotCopy> {
        let (newest, snapshots) = watch::channel(Arc::default());
        snapshot::serve(address, snapshots, None)?;
        Ok(SnapshotCopy { newest, fetched: None })
    }

    /// Stamp of the configuration in the copy, if there is one.
    pub(super) fn config(&self) -> Option<Stamp> {
        self.newest.borrow().config()
    }

    /// Handles a balancer's greeting, which may request that this agent keep a copy.
    pub(super) fn handle_greeting(&mut self, from: SocketAddrV4, greeting: &Greeting) {
        self.handle_zones(greeting);
        if !greeting.keep || greeting.config() < self.config() {
            return;
        }
        let pause =
            if greeting.config() == self.config() { REFRESH_INTERVAL } else { RETRY_INTERVAL };
        if self.fetched.is_some_and(|it| it.elapsed() < pause) {
            return;
        }
        self.fetched = Some(Instant::now());
        tokio::spawn(fetch(from, self.newest.clone()));
    }

    /// Updates the zones out of service in the copy, which change without a new configuration.
    fn handle_zones(&self, greeting: &Greeting) {
        let Some(zones) = &greeting.zones else {
            return;
        };
        self.newest.send_if_modified(|copy| {
            let known = copy.zones.as_ref().map(ZonesEntry::at);
            let newer = copy.config().is_some() && known.is_none_or(|it| it < zones.at());
            if newer {
                Arc::make_mut(copy).zones = Some(zones.clone());
            }
            newer
        });
    }
}

async fn fetch(from: SocketAddrV4, newest: watch::Sender<Arc<Snapshot>>) {
    let id = Id::CopyKept;
    let snapshot = match snapshot::query(from, &Question::all(), QUERY_TIMEOUT).await {
        Ok(it) => it,
        Err(e) => {
            let error = format!("{e:#}");
            tracing::warn!(id = id as u16, name = id.name(), peer = %from, error);
            return;
        }
    };
    let (era, revision, version) = (snapshot.era, snapshot.revision, snapshot.version);
    let members = snapshot.members.len();
    let kept = newest.send_if_modified(|copy| replace(copy, snapshot));
    tracing::info!(
        id = id as u16,
        name = id.name(),
        peer = %from,
        revision,
        era,
        version,
        members,
        kept,
    );
}

/// Replaces the copy unless the fetched snapshot is older; returns whether it did. The newer set of zones is kept.
fn replace(copy: &mut Arc<Snapshot>, mut fetched: Snapshot) -> bool {
    if fetched.config().is_none() || fetched.config() < copy.config() {
        return false;
    }
    let newest = |it: &Snapshot| it.zones.as_ref().map(ZonesEntry::at);
    if newest(copy) > newest(&fetched) {
        fetched.zones = copy.zones.clone();
    }
    *copy = Arc::new(fetched);
    true
}
