//! Finding the other processes and the configuration: in the store, or with peers while the store is of no use.

#[cfg(test)]
mod tests;
mod topic;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use camphorwinch_core::opaque::{fleet::Listed, route::Routes, zone::ZonesOut};
use camphorwinch_wire::opaque::Snapshot;
use futures::{StreamExt, stream::FuturesUnordered};
use rand::Rng;
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
    time::sleep,
};

pub(crate) use self::topic::{Duty, Topic, follow};
use crate::{
    event::Id,
    metrics, snapshot,
    store::{Member, Members, Record, Store, StoreError},
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
/// Pause between two lists of members, which find what was missed at the start.
const LIST_EVERY: Duration = Duration::from_secs(45);
/// Pauses of balancers that an agent leaves between two lists of its own: it needs the balancers only, and those that list it
/// greet it. At the size designed for that makes 19 calls a second out of 108.
const AGENT_PAUSES: u32 = 10;
/// Members up to which that pause holds. It grows with more of them, as each list takes more calls then: at 6,420 members
/// and 500 on a page they make some 100 calls a second in all.
const LIST_MEMBERS: usize = 300;

/// Time over which a fleet of [`LIST_MEMBERS`] spreads the lists that follow on a reset of the store.
const RESET_SPREAD: Duration = Duration::from_millis(500);

/// What was found.
#[derive(Debug)]
pub(crate) enum Found {
    /// A configuration of a peer, which may be older than the one in force.
    Routes(Routes),
    /// A configuration from the store.
    News(Routes),
    /// Zones out of service, as a peer knows them.
    Zones(ZonesOut),
    /// Zones out of service, from the store.
    ZoneNews(ZonesOut),
    /// The whole list of members.
    Members(Members),
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

/// Lists the members for this process, and this process among them once `serves` says so; then again from time to time
/// and when `again` says so.
pub(crate) async fn join<S>(
    store: S,
    own: Member,
    serves: watch::Receiver<bool>,
    seeds: watch::Receiver<Vec<SocketAddrV4>>,
    again: Arc<Notify>,
    out: mpsc::Sender<Found>,
) where
    S: Store,
{
    let mut backoff = Backoff::new();
    let mut asking: Option<JoinHandle<()>> = None;
    let mut absent = false;
    let mut resets = store.era();
    loop {
        let serving = *serves.borrow();
        match enter(&store, &own, serving, absent, backoff.patience()).await {
            Ok(members) => {
                backoff.succeeded();
                absent = !members.lists(&own);
                let (era, count) = (members.era, members.records.len());
                if out.send(Found::Members(members)).await.is_err() {
                    return;
                }
                // Each is a reason to list again.
                tokio::select! {
                    () = sleep(list_pause(count, own.pool.is_some()).mul_f64(spread())) => {}
                    () = again.notified() => {}
                    () = reset_after(&mut resets, era) => {
                        sleep(reset_pause(count).mul_f64(spread())).await;
                    }
                }
            }
            Err(e) => {
                // A peer that is down answers only after its timeout, when the store may have been back for long.
                if asking.as_ref().is_none_or(JoinHandle::is_finished) {
                    asking = Some(ask_seeds(&seeds, own.address, &out));
                }
                backoff.failed(&e).await;
            }
        }
    }
}

/// Asks the seeds beside other work.
fn ask_seeds(
    seeds: &watch::Receiver<Vec<SocketAddrV4>>,
    own: SocketAddrV4,
    out: &mpsc::Sender<Found>,
) -> JoinHandle<()> {
    let (seeds, out) = (seeds.borrow().clone(), out.clone());
    tokio::spawn(async move { ask_any(&seeds, own, &out).await })
}

fn list_pause(members: usize, agent: bool) -> Duration {
    let pause = LIST_EVERY.mul_f64((members as f64 / LIST_MEMBERS as f64).max(1.0));
    if agent { pause * AGENT_PAUSES } else { pause }
}

/// Time over which the processes that see a reset of the store spread their lists. What it lost of them is on its list again
/// within two seconds in a small fleet; in one of 6,420 members 520 balancers make some 600 calls a second.
fn reset_pause(members: usize) -> Duration {
    RESET_SPREAD.mul_f64(members as f64 / LIST_MEMBERS as f64)
}

/// The members, this process among them if it serves; `absent` says that it was not on the list before. Whoever lists
/// after writing sees each process that did so before, so of two that start at once one sees the other.
async fn enter<S>(
    store: &S,
    own: &Member,
    serving: bool,
    absent: bool,
    patience: Duration,
) -> Result<Members, StoreError>
where
    S: Store,
{
    if serving && absent {
        return announce(store, own, patience).await;
    }
    let members = count("list", store.members(patience).await)?;
    let listed = members.lists(own);
    if listed && !serving {
        // From a former life that could not remove it, as the store was away.
        count("withdraw", store.withdraw(&own.name, None, patience).await)?;
    }
    if listed || !serving {
        return Ok(members);
    }
    announce(store, own, patience).await
}

async fn announce<S>(store: &S, own: &Member, patience: Duration) -> Result<Members, StoreError>
where
    S: Store,
{
    count("announce", store.announce(own, patience).await)?;
    count("list", store.members(patience).await)
}

/// Takes members off the list that have been gone for long. They come through `gone`.
pub(crate) async fn weed<S>(store: S, mut gone: mpsc::Receiver<Record>)
where
    S: Store,
{
    while let Some(record) = gone.recv().await {
        let name = &record.member.name;
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
        let name = &record.member.name;
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
pub(crate) async fn ask_any(peers: &[SocketAddrV4], own: SocketAddrV4, out: &mpsc::Sender<Found>) {
    let others = peers.iter().copied().filter(|&it| it != own);
    let mut answers: FuturesUnordered<_> = others.map(ask_one).collect();
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

async fn ask_one(peer: SocketAddrV4) -> (SocketAddrV4, anyhow::Result<Vec<Found>>) {
    let answer = snapshot::ask(peer).await;
    (peer, answer.and_then(|it| Ok(found(&it)?)))
}

fn found(snapshot: &Snapshot) -> Result<Vec<Found>, camphorwinch_wire::opaque::DecodeError> {
    let mut found = vec![Found::PeerMembers(snapshot.members()?)];
    // Before the routes: whoever knows these places flows.
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
