//! A copy of the balancers' state, kept by a few agents.
//!
//!
//! Balancers hold no persistent state. If all of them restart while the store is unavailable, they learn of a copy
//! from the agents' first reports and fetch it. A copy never replaces newer state.

#[cfg(test)]
mod tests;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use camphorwinch_core::opaque::route::ConfigVersion;
use camphorwinch_wire::opaque::{Hello, Snapshot, SnapshotRequest, ZonesEntry};
use tokio::{sync::watch, time::Instant};

use crate::{
    event::Id,
    snapshot::{self, REQUEST_TIMEOUT},
};

/// Age at which a copy is fetched again, as members change without a new revision. With 160 kB and 8 copies in the size
/// designed for this takes 43 kB a second in all.
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

    /// Version of the configuration in the copy, if there is one.
    pub(super) fn config(&self) -> Option<ConfigVersion> {
        self.newest.borrow().config()
    }

    /// Handles a balancer's hello, which may request that this agent keep a copy.
    pub(super) fn handle_hello(&mut self, from: SocketAddrV4, hello: &Hello) {
        self.handle_zones(hello);
        if !hello.keep_copy || hello.config() < self.config() {
            return;
        }
        let pause = if hello.config() == self.config() { REFRESH_INTERVAL } else { RETRY_INTERVAL };
        if self.fetched.is_some_and(|it| it.elapsed() < pause) {
            return;
        }
        self.fetched = Some(Instant::now());
        tokio::spawn(fetch(from, self.newest.clone()));
    }

    /// Updates the zones out of service in the copy, which change without a new configuration.
    fn handle_zones(&self, hello: &Hello) {
        let Some(zones) = &hello.zones else {
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
    let snapshot = match snapshot::request(from, &SnapshotRequest::all(), REQUEST_TIMEOUT).await {
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
