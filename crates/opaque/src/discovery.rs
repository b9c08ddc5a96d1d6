//! Finding the other processes and the configuration: in the store, or with peers while the store is of no use.

mod join;
#[cfg(test)]
mod tests;
mod topic;

use std::{net::SocketAddrV4, time::Duration};

use camphorwinch_core::opaque::{fleet::Listed, route::Routes, zone::ZonesOut};
use camphorwinch_wire::opaque::{Part, Question, Snapshot};
use futures::{StreamExt, stream::FuturesUnordered};
use rand::Rng;
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

pub(crate) use self::{
    join::{Join, Start},
    topic::{Duty, Follow, Topic},
};
use crate::{
    event::Id,
    metrics,
    snapshot::{self, ASK_TIMEOUT},
    store::{Members, Record, Store, StoreError},
};

/// First pause after a failed call to the store.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Longest pause: a fleet that lost its store is back within two of them.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Time for a first call. Answers take 4 ms, those of a slow store a quarter of a second; when the store comes back,
/// calls that still wait for an answer that never comes delay the fleet by this time.
const FIRST_PATIENCE: Duration = Duration::from_millis(700);
/// Time for a call after others got no answer: the store may be slower still.
const LONGEST_PATIENCE: Duration = Duration::from_millis(2_800);
/// Calls without an answer before the time for one doubles.
const TIMEOUTS_EACH: u32 = 6;
/// Calls for one removal, with half a second or more between them: an outage of the store lasts seconds.
const WITHDRAW_TRIES: u32 = 30;

/// What was found.
#[derive(Debug)]
pub(crate) enum Found {
    /// A configuration of a peer, which may be older than the one in force.
    Routes(Routes),
    /// A configuration from the store.
    News(Routes),
    /// Zones out of service, as a peer knows them.
    Zones(ZonesOut),
    /// Zones out of service whose entries the store lost, as a peer knows them.
    LostZones(Vec<String>),
    /// Zones out of service, from the store.
    ZoneNews(ZonesOut),
    /// The whole list of members, or all balancers on it for an agent; and the number of the attempt that brought it.
    Members(Members, u64),
    /// Members that a peer knows of.
    PeerMembers(Vec<Listed>),
}

/// Pauses after failures: doubled each time, drawn at random below that, so that processes don't come in step.
struct Backoff {
    pause: Duration,
    lost: bool,
    timeouts: u32,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff { pause: FIRST_PAUSE, lost: false, timeouts: 0 }
    }

    /// How long the next call may take.
    fn patience(&self) -> Duration {
        (FIRST_PATIENCE * 2u32.pow((self.timeouts / TIMEOUTS_EACH).min(2))).min(LONGEST_PATIENCE)
    }

    fn note_lost(&mut self, error: &StoreError) {
        if let StoreError::Timeout { .. } = error {
            self.timeouts += 1;
        }
        if !self.lost {
            let id = Id::StoreLost;
            tracing::warn!(id = id as u16, name = id.name(), error = %error);
        }
        self.lost = true;
    }

    async fn failed(&mut self, error: &StoreError) {
        self.note_lost(error);
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

/// Reports each reset of the store.
pub(crate) async fn observe_resets(mut era: watch::Receiver<Option<u64>>) {
    let mut known = None;
    while let Ok(now) = era.wait_for(|&it| it != known).await.map(|it| *it) {
        if let (Some(before), Some(era)) = (known, now) {
            let id = Id::StoreReset;
            tracing::warn!(id = id as u16, name = id.name(), era, before);
        }
        known = now;
    }
}

/// Returns when an answer of the store tells of a later era.
async fn reset_after(store_era: &mut watch::Receiver<Option<u64>>, era: u64) {
    if store_era.wait_for(|it| *it > Some(era)).await.is_err() {
        // No answer will come any more.
        std::future::pending::<()>().await;
    }
}

/// Takes members off the list that have been gone for long. They come through `gone`.
pub(crate) async fn weed<S>(store: S, mut gone: mpsc::Receiver<Record>)
where
    S: Store,
{
    while let Some(record) = gone.recv().await {
        let name = &record.name;
        let id = Id::MemberWithdrawn;
        match withdraw(&store, &record).await {
            Ok(()) => tracing::info!(id = id as u16, name = id.name(), member = name),
            Err(e) => {
                let error = e.to_string();
                tracing::warn!(id = id as u16, name = id.name(), member = name, error);
            }
        }
    }
}

/// Removes a member's object, again and again while the store is away.
async fn withdraw<S>(store: &S, record: &Record) -> Result<(), StoreError>
where
    S: Store,
{
    let mut tries = 0;
    loop {
        let name = &record.name;
        let done = store.withdraw(name, Some(record.revision), FIRST_PATIENCE).await;
        let error = match count("withdraw", done) {
            Ok(()) => return Ok(()),
            Err(e) => e,
        };
        tries += 1;
        if tries == WITHDRAW_TRIES || !error.is_passing() {
            return Err(error);
        }
        sleep(LONGEST_PAUSE.mul_f64(spread())).await;
    }
}

/// Asks peers, all at once, and takes the first answer.
pub(crate) async fn ask_any(
    peers: &[SocketAddrV4],
    own: SocketAddrV4,
    ask: &Question,
    out: &mpsc::Sender<Found>,
) {
    let others = peers.iter().copied().filter(|&it| it != own);
    let mut answers: FuturesUnordered<_> = others.map(|it| ask_one(it, ask)).collect();
    while let Some((peer, answer)) = answers.next().await {
        let id = Id::PeerAsked;
        let found = match answer {
            Ok(found) => found,
            Err(e) => {
                let error = format!("{e:#}");
                tracing::info!(id = id as u16, name = id.name(), peer = %peer, error);
                continue;
            }
        };
        tracing::info!(id = id as u16, name = id.name(), peer = %peer, found = found.len());
        for it in found {
            if out.send(it).await.is_err() {
                return;
            }
        }
        return;
    }
}

async fn ask_one(peer: SocketAddrV4, ask: &Question) -> (SocketAddrV4, anyhow::Result<Vec<Found>>) {
    let answer = snapshot::ask(peer, ask, ASK_TIMEOUT).await;
    let with_members = ask.members() != Part::None;
    (peer, answer.and_then(|it| Ok(found(&it, with_members)?)))
}

fn found(
    snapshot: &Snapshot,
    with_members: bool,
) -> Result<Vec<Found>, camphorwinch_wire::opaque::DecodeError> {
    let mut found = Vec::new();
    if with_members {
        found.push(Found::PeerMembers(snapshot.members()?));
    }
    // Before the routes: whoever knows these places flows.
    if !snapshot.lost_zones.is_empty() {
        found.push(Found::LostZones(snapshot.lost_zones.clone()));
    }
    found.extend(snapshot.zones.clone().map(|it| Found::Zones(it.into())));
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
        Err(StoreError::Reset { .. }) => "reset",
        Err(StoreError::Answer { .. }) => "answer",
    };
    metrics::STORE_CALLS.with_label_values(&[step, outcome]).inc();
    result
}
