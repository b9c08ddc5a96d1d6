//! What a process follows in the store: the configuration, and the zones out of service.

use std::{ops::Range, sync::Arc, time::Duration};

use camphorwinch_core::opaque::{revision::Revision, zone::ZonesOut};
use rand::Rng;
use tokio::{
    sync::{Notify, mpsc, watch},
    time::{Instant, sleep, timeout},
};

use super::{Backoff, FIRST_PAUSE, Found, Start, count, reset_after, spread};
use crate::store::{Freshness, Store, StoreError, Watched};

/// Mean time for which one call waits for a change of the configuration; each draws its own, so that calls that a change woke
/// together don't end together. A connection that went silent is noticed after this time, and peers' greetings tell of news
/// meanwhile.
const WATCH_WAIT: Duration = Duration::from_secs(6);
/// The same for the zones out of service, which the other balancers read each few seconds besides.
const WATCH_ZONES_WAIT: Duration = Duration::from_secs(12);
/// Shortest and longest wait, in means.
const WAIT_SHARES: Range<f64> = 0.75..1.25;
/// Time after which a process whose call about zones failed tries again, if its calls about the configuration go on failing.
/// Before that it waits for one of those to succeed: in an outage each process calls for one topic instead of two.
const RETRY_ZONES: Duration = Duration::from_secs(3);
/// Pause between two reads of the configuration by a balancer that does not wait for its changes, in a fleet of up to
/// [`READERS`] of them. These reads may be stale, at a tenth of a call's price.
const READ_EVERY: Duration = Duration::from_secs(10);
/// Such balancers of which one reads the configuration each 0.2 s, so that a change is found even while all those that wait for it
/// are cut off from the store. More of them make longer pauses, so that a larger fleet does not make more calls.
const READERS: usize = 51;
/// Pause between two reads of the zones out of service, by any number of balancers: each must leave a zone within seconds, also if no
/// other balancer reaches it.
const READ_ZONES_EVERY: Duration = Duration::from_secs(4);
/// Age that a stale answer may have: for so long after the store came back from a copy no stale ones are asked for.
const STALE_FOR: Duration = Duration::from_secs(10);
/// Longest time for which a process waits until it knows whether it is to wait at the store: as long as a list of the members
/// takes on a slow VM. In a fleet of 15 balancers that saves each start of one that is not a call.
const UNDECIDED: Duration = Duration::from_millis(500);

/// What is followed in the store, with what is known of it.
#[derive(Debug)]
pub(crate) enum Topic {
    /// The configuration.
    Routes,
    /// The zones out of service.
    Zones(ZonesOut),
}

/// What a call about a topic brought: the store's revision and the news, if there are some.
type Step = Watched<(Revision, Option<Found>)>;

impl Topic {
    /// Zones of which nothing is known yet.
    pub(crate) fn zones() -> Topic {
        Topic::Zones(ZonesOut::default())
    }

    /// Pause between two reads while nobody waits here for changes, in a fleet of so many balancers.
    pub(super) fn read_every(&self, balancers: usize) -> Duration {
        match self {
            Topic::Routes => READ_EVERY.mul_f64((balancers as f64 / READERS as f64).max(1.0)),
            Topic::Zones(_) => READ_ZONES_EVERY,
        }
    }

    /// Time for which the next call waits for changes.
    fn watch_wait(&self) -> Duration {
        let mean = match self {
            Topic::Routes => WATCH_WAIT,
            Topic::Zones(_) => WATCH_ZONES_WAIT,
        };
        mean.mul_f64(rand::rng().random_range(WAIT_SHARES))
    }

    /// Waits after a failed call.
    async fn failed(&self, error: &StoreError, backoff: &mut Backoff, served: &Notify) {
        // The first time it may be this call alone that was cut.
        if let Topic::Zones(_) = self
            && backoff.lost
            && error.is_passing()
        {
            backoff.note_lost(error);
            // Either is a reason to try again.
            let _ = timeout(RETRY_ZONES, served.notified()).await;
            return;
        }
        backoff.failed(error).await;
    }

    async fn read<S>(
        &mut self,
        store: &S,
        freshness: Freshness,
        patience: Duration,
    ) -> Result<Step, StoreError>
    where
        S: Store,
    {
        match self {
            Topic::Routes => {
                let seen = count("read-config", store.routes(freshness, patience).await)?;
                Ok(Watched::Seen((seen.at, seen.routes.map(Found::News))))
            }
            Topic::Zones(known) => {
                let zones = store.zones_out(freshness, patience).await;
                *known = count("read-zones", zones)?;
                Ok(Watched::Seen((known.revision(), Some(Found::ZoneNews(known.clone())))))
            }
        }
    }

    async fn watch<S>(
        &mut self,
        store: &S,
        at: Revision,
        patience: Duration,
    ) -> Result<Step, StoreError>
    where
        S: Store,
    {
        let wait = self.watch_wait();
        match self {
            Topic::Routes => {
                let watched = store.watch(at, wait, patience).await;
                Ok(match count("watch-config", watched)? {
                    Watched::Seen(seen) => Watched::Seen((seen.at, seen.routes.map(Found::News))),
                    Watched::Compacted => Watched::Compacted,
                })
            }
            Topic::Zones(known) => {
                let watched = store.watch_zones(known, wait, patience).await;
                let Watched::Seen(zones) = count("watch-zones", watched)? else {
                    return Ok(Watched::Compacted);
                };
                *known = zones;
                Ok(Watched::Seen((known.revision(), Some(Found::ZoneNews(known.clone())))))
            }
        }
    }
}

/// Whether a process waits at the store for changes of a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Duty {
    /// Not known yet, as the other processes are not.
    Undecided,
    /// It does.
    Watch,
    /// It reads from time to time, as so many balancers do; others tell of changes.
    Read(usize),
}

/// The duty once it is decided on; none if the process ends.
async fn decided(duty: &mut watch::Receiver<Duty>) -> Option<Duty> {
    match timeout(UNDECIDED, duty.wait_for(|&it| it != Duty::Undecided)).await {
        Ok(Ok(it)) => Some(*it),
        Ok(Err(_)) => None,
        Err(_) => Some(Duty::Watch),
    }
}

/// The store's era, as far as a follower knows it.
#[derive(Debug, Default)]
pub(super) struct Era {
    known: Option<u64>,
    rose: Option<Instant>,
}

impl Era {
    /// Whether an answer may be taken. A stale one may be of the store as it was before it came back from a copy, whatever era it
    /// tells; its revisions could pass for later ones.
    pub(super) fn accepts(&mut self, era: u64, freshness: Freshness) -> bool {
        if self.known == Some(era) {
            return true;
        }
        if freshness == Freshness::Stale || self.known > Some(era) {
            return false;
        }
        if self.known.replace(era).is_some() {
            self.rose = Some(Instant::now());
        }
        true
    }

    /// How new the answer to the next read has to be.
    pub(super) fn freshness(&self) -> Freshness {
        let settled = self.rose.is_none_or(|it| it.elapsed() > STALE_FOR);
        if self.known.is_some() && settled { Freshness::Stale } else { Freshness::Current }
    }
}

/// What a process needs to follow a topic in the store.
pub(crate) struct Follow<S> {
    /// The store.
    pub(crate) store: S,
    /// Whether it waits there for changes.
    pub(crate) duty: watch::Receiver<Duty>,
    /// Whether others have told it what is in force, so that it need not read that at its start.
    pub(crate) start: watch::Receiver<Start>,
    /// Tells the zones' follower that the store answered the other one.
    pub(crate) served: Arc<Notify>,
    /// Where what is found goes.
    pub(crate) out: mpsc::Sender<Found>,
}

impl<S> Follow<S>
where
    S: Store,
{
    /// Follows a topic until the process ends.
    pub(crate) async fn run(mut self, mut topic: Topic) {
        let mut backoff = Backoff::new();
        let mut resets = self.store.era();
        let mut era = Era::default();
        // Where the last read or call ended; none if the next one has to read.
        let mut at = None;
        let mut freshness = Freshness::Current;
        let Ok(start) = self.start.wait_for(|&it| it != Start::Asking).await.map(|it| *it) else {
            return;
        };
        let mut informed = start == Start::Told;
        let mut known = informed;
        if informed {
            era.known = *resets.borrow();
            freshness = era.freshness();
        }
        loop {
            if at.is_some() || informed {
                let Some(now) = decided(&mut self.duty).await else {
                    return;
                };
                if let Duty::Read(balancers) = now {
                    let pause = topic.read_every(balancers).mul_f64(spread());
                    // Others tell of changes meanwhile. A closed channel means that the process ends.
                    let watches = timeout(pause, self.duty.wait_for(|&it| it == Duty::Watch));
                    if let Ok(Err(_)) = watches.await {
                        return;
                    }
                    at = None;
                }
            }
            informed = false;
            let step = match at {
                None => topic.read(&self.store, freshness, backoff.patience()).await,
                Some(at) => tokio::select! {
                    it = topic.watch(&self.store, at, backoff.patience()) => it,
                    // Its connection may have gone silent with the store that it reached.
                    () = reset_after(&mut resets, at.era) => Ok(Watched::Compacted),
                },
            };
            let asked_for = std::mem::replace(&mut freshness, Freshness::Current);
            let step = match step {
                Ok(Watched::Seen((it, _))) if !era.accepts(it.era, asked_for) => {
                    Ok(Watched::Compacted)
                }
                it => it,
            };
            match step {
                Ok(Watched::Seen((seen_at, news))) => {
                    backoff.succeeded();
                    freshness = era.freshness();
                    if let Topic::Routes = topic {
                        self.served.notify_waiters();
                    }
                    at = Some(seen_at);
                    known = true;
                    let Some(news) = news else {
                        continue;
                    };
                    if self.out.send(news).await.is_err() {
                        return;
                    }
                }
                Ok(Watched::Compacted) => {
                    at = None;
                    // The store may go on like that.
                    sleep(FIRST_PAUSE.mul_f64(spread())).await;
                }
                Err(e) => {
                    // What came while the watch was broken may be in no history any more.
                    at = None;
                    if known && self.waits_for_its_turn(&topic, &e) {
                        backoff.note_lost(&e);
                        informed = true;
                        freshness = era.freshness();
                        continue;
                    }
                    topic.failed(&e, &mut backoff, &self.served).await;
                }
            }
        }
    }

    /// Whether a call that failed is left at that until the next turn: others read the configuration as well, and tell of changes. When the
    /// store turns many processes away, each try again would be one more call that brings nothing.
    fn waits_for_its_turn(&self, topic: &Topic, error: &StoreError) -> bool {
        let reads = matches!(*self.duty.borrow(), Duty::Read(_));
        reads && error.is_passing() && matches!(topic, Topic::Routes)
    }
}
