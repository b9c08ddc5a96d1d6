//! How a process enters the list of members, and gets the list: from processes that have it, or from the store.

mod told;

use std::{collections::BTreeSet, net::SocketAddrV4, sync::Arc, time::Duration};

use camphorwinch_core::opaque::{fleet::Listed, listing::Need, revision::Revision};
use camphorwinch_wire::opaque::Question;
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use super::{Backoff, Found, ask_any, count, reset_after, spread};
use crate::{
    event::Id,
    lists::Lists,
    store::{Announced, Member, Members, Store, StoreError},
};

/// Pause between two lists of members, which find what was missed at the start.
const LIST_EVERY: Duration = Duration::from_secs(45);
/// Pauses of balancers that an agent leaves between two lists of its own: it needs the balancers only, and those that list it
/// greet it.
const AGENT_PAUSES: u32 = 10;
/// Members up to which that pause holds. It grows with more of them, as each list takes more calls then.
const LIST_MEMBERS: usize = 300;
/// Time over which a fleet of [`LIST_MEMBERS`] spreads the lists that follow on a reset of the store.
const RESET_SPREAD: Duration = Duration::from_millis(500);
/// Shortest pause between the beginnings of two lists that others need, for each member: whoever asks meanwhile is served by the
/// next one. So the pages that are read a second don't grow with the fleet, and a small one does not wait.
const LIST_GAP_EACH: Duration = Duration::from_micros(200);
/// Time after which a process reads the store itself if no peer was heard: one that stands still must not hold up a start.
const ALONE_AFTER: Duration = Duration::from_millis(60);
/// The same if one was heard and has not answered: the store may turn it away while it serves others.
const ANSWER_AFTER: Duration = Duration::from_millis(400);
/// Time for all peers, after which the process reads the store itself.
const TELL_LIMIT: Duration = Duration::from_millis(1_600);
/// The same at the first start of the whole system, when those who are asked start themselves and no caller waits.
const FIRST_START_LIMIT: Duration = Duration::from_secs(5);

/// Where a process stands that has just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Start {
    /// It asks others.
    Asking,
    /// Another one told it the configuration and the members.
    Told,
    /// It has to call the store for all it needs.
    Alone,
}

/// What a process needs to enter the list and to get it.
pub(crate) struct Join<S> {
    /// The store.
    pub(crate) store: S,
    /// This process.
    pub(crate) own: Member,
    /// Whether it belongs on the list.
    pub(crate) serves: watch::Receiver<bool>,
    /// Whether the whole system starts for the first time, so that nothing is left from a former life.
    pub(crate) first_start: bool,
    /// Balancers that are asked first.
    pub(crate) seeds: watch::Receiver<Vec<SocketAddrV4>>,
    /// Balancers that have greeted this process.
    pub(crate) greeted: watch::Receiver<BTreeSet<SocketAddrV4>>,
    /// Somebody says that this process is not on the list, or that the list may have changed.
    pub(crate) again: Arc<Notify>,
    /// The list as it is told to others.
    pub(crate) lists: Arc<Lists>,
    /// Where this process stands.
    pub(crate) start: watch::Sender<Start>,
    /// Where what is found goes.
    pub(crate) out: mpsc::Sender<Found>,
}

/// The list, and members beside it that a peer has heard of: the store may have lost their entries.
struct Got {
    members: Members,
    others: Vec<Listed>,
}

/// Why the list is got once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// The process starts.
    Start,
    /// Its time has come: what another process read some time ago will do.
    Due,
    /// Others need one that is read now, or the store came back from a copy.
    Wanted,
    /// This process may have been taken off it.
    Again,
}

impl<S> Join<S>
where
    S: Store,
{
    /// Lists this process once it serves, and gets the list of members; then again from time to time, when `again` says so, and when
    /// others need it.
    pub(crate) async fn run(self) {
        let mut backoff = Backoff::new();
        let mut asking: Option<JoinHandle<()>> = None;
        // Its own object as it was announced last; none if there may be none.
        let mut object = None;
        let mut withdrawn = self.first_start;
        let mut resets = self.store.era();
        let mut reason = Reason::Start;
        let mut newest = None;
        loop {
            let begun = Instant::now();
            let attempt = self.lists.begin();
            let patience = backoff.patience();
            match self.enter(&mut object, &mut withdrawn, reason, patience).await {
                Ok(None) => {
                    backoff.succeeded();
                    self.again.notified().await;
                }
                Ok(Some(Got { members, others })) => {
                    backoff.succeeded();
                    self.started(Start::Alone);
                    let (at, known) = (members.at, members.records.len());
                    let others = Some(others).filter(|it| !it.is_empty()).map(Found::PeerMembers);
                    let is_older = newest > Some(at);
                    newest = newest.max(Some(at));
                    if is_older {
                        // Of a peer that got it before this process got its last one.
                        self.lists.failed(attempt);
                    } else {
                        for it in [Found::Members(members, attempt)].into_iter().chain(others) {
                            if self.out.send(it).await.is_err() {
                                return;
                            }
                        }
                    }
                    reason = self.wait(begun, at, known, &mut resets).await;
                    if reason == Reason::Again && self.is_agent() {
                        object = None;
                    }
                }
                Err(e) => {
                    self.lists.failed(attempt);
                    self.started(Start::Alone);
                    // A peer that is down answers only after its timeout, when the store may have been back for long.
                    if asking.as_ref().is_none_or(JoinHandle::is_finished) {
                        asking = Some(self.ask_seeds());
                    }
                    backoff.failed(&e).await;
                }
            }
        }
    }

    /// Notes how the start went. Only the first word counts.
    fn started(&self, how: Start) {
        self.start.send_if_modified(|it| {
            let asked = *it == Start::Asking;
            if asked {
                *it = how;
            }
            asked
        });
    }

    fn is_agent(&self) -> bool {
        self.own.pool.is_some()
    }

    /// Waits for a reason to get the list again.
    async fn wait(
        &self,
        begun: Instant,
        at: Revision,
        known: usize,
        resets: &mut watch::Receiver<Option<u64>>,
    ) -> Reason {
        tokio::select! {
            () = sleep(list_pause(known, self.is_agent()).mul_f64(spread())) => Reason::Due,
            () = self.again.notified() => Reason::Again,
            () = self.lists.wanted.notified() => {
                tokio::time::sleep_until(begun + LIST_GAP_EACH * known as u32).await;
                Reason::Wanted
            }
            () = reset_after(resets, at.era) => {
                sleep(reset_pause(known).mul_f64(spread())).await;
                Reason::Wanted
            }
        }
    }

    /// Asks the seeds for what they know, beside other work.
    fn ask_seeds(&self) -> JoinHandle<()> {
        let seeds = self.seeds.borrow().clone();
        let (own, out) = (self.own.address, self.out.clone());
        tokio::spawn(async move { ask_any(&seeds, own, &Question::all(), &out).await })
    }

    /// The members, this process among them, if it serves. A list that is not older than its own object shows each process that was
    /// listed before, so of two that start at once one sees the other.
    async fn enter(
        &self,
        object: &mut Option<Announced>,
        withdrawn: &mut bool,
        reason: Reason,
        patience: Duration,
    ) -> Result<Option<Got>, StoreError> {
        if !*self.serves.borrow() {
            if !*withdrawn {
                // From a former life that could not remove it, as the store was away.
                count("withdraw", self.store.withdraw(&self.own.name, None, patience).await)?;
                *withdrawn = true;
            }
            return Ok(None);
        }
        let need = match object {
            Some(_) if reason == Reason::Due => Need::Any,
            Some(_) => Need::Fresh,
            None => self.announce(object, patience).await?,
        };
        let got = self.members(need, patience).await?;
        if self.is_agent() || got.members.lists(&self.own) {
            return Ok(Some(got));
        }
        // It was removed meanwhile, or lost by the store.
        let need = self.announce(object, patience).await?;
        self.members(need, patience).await.map(Some)
    }

    /// Announces this process; how new a list has to be afterwards.
    async fn announce(
        &self,
        object: &mut Option<Announced>,
        patience: Duration,
    ) -> Result<Need, StoreError> {
        let announced = count("announce", self.store.announce(&self.own, patience).await)?;
        *object = Some(announced);
        let id = Id::Announced;
        let revision = announced.revision.map(|it| it.number);
        tracing::info!(id = id as u16, name = id.name(), revision, created = announced.created);
        let since = announced.revision.map_or(Need::Fresh, Need::Since);
        // Balancers that started after a balancer was listed need not know that it has started again: only a list of now shows the
        // agents that joined while it was away. Agents are greeted by balancers that list them.
        let is_back = !announced.created && !self.is_agent();
        Ok(if is_back { Need::Fresh } else { since })
    }

    /// The members, from processes that have the list or from the store. A process that others ask reads the store itself.
    async fn members(&self, need: Need, patience: Duration) -> Result<Got, StoreError> {
        let seeds = self.seeds.borrow().clone();
        if seeds.contains(&self.own.address) {
            return self.read(patience).await;
        }
        let heard = watch::Sender::new(false);
        let limit = if self.first_start { FIRST_START_LIMIT } else { TELL_LIMIT };
        let told = timeout(limit, self.told(&seeds, need, &heard));
        tokio::select! {
            told = told => match told {
                Ok(Some(got)) => Ok(got),
                Ok(None) | Err(_) => self.read(patience).await,
            },
            read = self.read_alone(&heard, patience) => read,
        }
    }

    /// Reads the list in the store.
    async fn read(&self, patience: Duration) -> Result<Got, StoreError> {
        let members = count("list", self.store.members(patience).await)?;
        Ok(Got { members, others: Vec::new() })
    }

    /// Reads it if no peer was heard for some time, or none has answered for some more.
    async fn read_alone(
        &self,
        heard: &watch::Sender<bool>,
        patience: Duration,
    ) -> Result<Got, StoreError> {
        let (alone_after, answer_after) = if self.first_start {
            (FIRST_START_LIMIT, FIRST_START_LIMIT)
        } else {
            (ALONE_AFTER, ANSWER_AFTER)
        };
        let mut peers = heard.subscribe();
        if timeout(alone_after, peers.wait_for(|&it| it)).await.is_ok() {
            sleep(answer_after).await;
        }
        self.read(patience).await
    }
}

pub(super) fn list_pause(members: usize, agent: bool) -> Duration {
    let pause = LIST_EVERY.mul_f64((members as f64 / LIST_MEMBERS as f64).max(1.0));
    if agent { pause * AGENT_PAUSES } else { pause }
}

/// Time over which the processes that see a reset of the store spread their lists. What it lost of them is on its list again
/// within two seconds in a small fleet.
fn reset_pause(members: usize) -> Duration {
    RESET_SPREAD.mul_f64(members as f64 / LIST_MEMBERS as f64)
}
