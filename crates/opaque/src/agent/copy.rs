//! A copy of what balancers know, kept by a few agents.
//!
//! Balancers keep nothing. If all of them end while the store is away, those that start would place nothing until it is back.
//! The agents live on and report to each balancer that they knew, so a balancer that starts hears of a copy with their first
//! reports and fetches it: it serves a second after its start, store or no store. A copy never replaces what is newer.

#[cfg(test)]
mod tests;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use camphorwinch_core::opaque::route::Stamp;
use camphorwinch_wire::opaque::{Greeting, Question, Snapshot, ZonesEntry};
use tokio::{sync::watch, time::Instant};

use crate::{
    event::Id,
    snapshot::{self, ASK_TIMEOUT},
};

/// Age from which a copy of the newest revision is fetched again, as members come and go: with 160 kB and 8 copies at the size
/// designed for 43 kB a second in all, 5 from each of the eight balancers that watch the store.
const RENEW: Duration = Duration::from_secs(30);
/// Pause between two attempts, above the time that one may take.
const ATTEMPT: Duration = Duration::from_millis(700);

/// The copy, as it is served to balancers.
pub(super) struct Copy {
    newest: watch::Sender<Arc<Snapshot>>,
    fetched: Option<Instant>,
}

impl Copy {
    /// Serves the copy at the agent's address from now on.
    pub(super) fn serve(address: SocketAddrV4) -> anyhow::Result<Copy> {
        let (newest, snapshots) = watch::channel(Arc::default());
        snapshot::serve(address, snapshots, None)?;
        Ok(Copy { newest, fetched: None })
    }

    /// The configuration in the copy, if there is one.
    pub(super) fn config(&self) -> Option<Stamp> {
        self.newest.borrow().config()
    }

    /// A balancer tells what is in force there, and whether this agent is to keep a copy.
    pub(super) fn take_greeting(&mut self, from: SocketAddrV4, greeting: &Greeting) {
        self.take_zones(greeting);
        if !greeting.keep || greeting.config() < self.config() {
            return;
        }
        let pause = if greeting.config() == self.config() { RENEW } else { ATTEMPT };
        if self.fetched.is_some_and(|it| it.elapsed() < pause) {
            return;
        }
        self.fetched = Some(Instant::now());
        tokio::spawn(fetch(from, self.newest.clone()));
    }

    /// Zones go out of service and come back without a new configuration, so a greeting's word is taken over.
    fn take_zones(&self, greeting: &Greeting) {
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
    let snapshot = match snapshot::ask(from, &Question::all(), ASK_TIMEOUT).await {
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

/// Takes a fetched snapshot over unless it is older than the copy; whether it did. The newer set of zones stays.
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
