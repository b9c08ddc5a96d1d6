//! Finding the other processes and the configuration: in the store, or with peers while the store is of no use.

use std::{net::SocketAddrV4, time::Duration};

use camphorwinch_core::opaque::{fleet::Listed, route::Routes};
use camphorwinch_wire::opaque::Snapshot;
use rand::Rng;
use tokio::{sync::mpsc, time::sleep};

use crate::{
    event::Id,
    metrics, snapshot,
    store::{Member, Store, StoreError, Watched},
};

/// First pause after a failed call to the store.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause: a fleet that lost its store comes back within two of them.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);
/// Time for which one call waits for a change. A connection that went silent is noticed after this time, and peers'
/// greetings tell of a newer configuration meanwhile.
const WATCH_WAIT: Duration = Duration::from_secs(6);
/// Pause between two lists of members, which find what was missed at the start.
const LIST_EVERY: Duration = Duration::from_secs(45);

/// What was found.
#[derive(Debug)]
pub(crate) enum Found {
    /// A configuration, which may be older than the one in force.
    Routes(Routes),
    /// The whole list of members.
    Members(Vec<Listed>),
    /// Members that a peer knows of.
    PeerMembers(Vec<Listed>),
}

/// Pauses after failures: doubled each time, drawn at random below that, so that processes don't come in step.
struct Backoff {
    pause: Duration,
    lost: bool,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff { pause: FIRST_PAUSE, lost: false }
    }

    async fn failed(&mut self, error: &StoreError) {
        if !self.lost {
            let id = Id::StoreLost;
            tracing::warn!(id = id as u16, name = id.name(), error = %error);
        }
        self.lost = true;
        sleep(self.pause.mul_f64(spread())).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    fn succeeded(&mut self) {
        if self.lost {
            let id = Id::StoreBack;
            tracing::info!(id = id as u16, name = id.name());
        }
        *self = Backoff::new();
    }
}

/// A factor for pauses, drawn at random so that processes don't come in step.
fn spread() -> f64 {
    rand::rng().random_range(0.6..1.0)
}

/// Lists this process in the store and the others for it, then again from time to time.
pub(crate) async fn join<S>(store: S, own: Member, seeds: Vec<SocketAddrV4>, out: mpsc::Sender<Found>)
where
    S: Store,
{
    let mut backoff = Backoff::new();
    loop {
        match enter(&store, &own).await {
            Ok(members) => {
                backoff.succeeded();
                let listed = members.iter().map(Member::listed).collect();
                if out.send(Found::Members(listed)).await.is_err() {
                    return;
                }
                sleep(LIST_EVERY.mul_f64(spread())).await;
            }
            Err(e) => {
                if !backoff.lost {
                    ask_any(&seeds, own.address, &out).await;
                }
                backoff.failed(&e).await;
            }
        }
    }
}

/// The members, this process among them. Whoever lists after writing sees each process that did so before, so of two
/// that start at once one sees the other.
async fn enter<S>(store: &S, own: &Member) -> Result<Vec<Member>, StoreError>
where
    S: Store,
{
    let members = count("list", store.members().await)?;
    if members.contains(own) {
        return Ok(members);
    }
    count("announce", store.announce(own).await)?;
    count("list", store.members().await)
}

/// Follows the configuration in the store.
pub(crate) async fn follow<S>(store: S, out: mpsc::Sender<Found>)
where
    S: Store,
{
    let mut backoff = Backoff::new();
    let mut revision = 0;
    loop {
        let step = if revision == 0 {
            let read = count("read-config", store.routes().await);
            read.map(|it| it.map_or(Watched::Compacted, Watched::Routes))
        } else {
            count("watch-config", store.watch(revision, WATCH_WAIT).await)
        };
        match step {
            Ok(Watched::Routes(routes)) => {
                backoff.succeeded();
                revision = routes.revision;
                if out.send(Found::Routes(routes)).await.is_err() {
                    return;
                }
            }
            Ok(Watched::Nothing(at)) => {
                backoff.succeeded();
                revision = revision.max(at);
            }
            Ok(Watched::Compacted) => {
                if revision == 0 {
                    // There is no configuration yet.
                    sleep(FIRST_PAUSE).await;
                }
                revision = 0;
            }
            Err(e) => {
                backoff.failed(&e).await;
                // What came while the watch was broken may be in no history any more.
                revision = 0;
            }
        }
    }
}

/// Asks peers in turn until one answers.
pub(crate) async fn ask_any(
    peers: &[SocketAddrV4],
    own: SocketAddrV4,
    out: &mpsc::Sender<Found>,
) {
    for &peer in peers.iter().filter(|&&it| it != own) {
        let id = Id::PeerAsked;
        match snapshot::ask(peer).await.and_then(|it| Ok(found(&it)?)) {
            Ok(found) => {
                tracing::info!(id = id as u16, name = id.name(), peer = %peer, found = found.len());
                for it in found {
                    if out.send(it).await.is_err() {
                        return;
                    }
                }
                return;
            }
            Err(e) => {
                tracing::warn!(id = id as u16, name = id.name(), peer = %peer, error = %format!("{e:#}"));
            }
        }
    }
}

fn found(snapshot: &Snapshot) -> Result<Vec<Found>, camphorwinch_wire::opaque::DecodeError> {
    let mut found = vec![Found::PeerMembers(snapshot.members()?)];
    found.extend(snapshot.routes()?.map(Found::Routes));
    Ok(found)
}

fn count<T>(step: &'static str, result: Result<T, StoreError>) -> Result<T, StoreError> {
    let outcome = match &result {
        Ok(_) => "ok",
        Err(StoreError::Timeout { .. }) => "timeout",
        Err(StoreError::Connection { .. }) => "connection",
        Err(StoreError::Busy { .. }) => "busy",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::Answer { .. }) => "answer",
    };
    metrics::STORE_CALLS.with_label_values(&[step, outcome]).inc();
    result
}
