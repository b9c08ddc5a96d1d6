//! Registration of this process in the member list, and retrieval of that list from peers or the store.

mod peer_list;

use std::{collections::BTreeSet, net::SocketAddrV4, sync::Arc, time::Duration};

use camphorwinch_core::opaque::{fleet::MemberEntry, member_list::Freshness, revision::Revision};
use camphorwinch_wire::opaque::SnapshotRequest;
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

use super::{
    Backoff, Update, count_call, jitter,
    registration::{register, withdraw_own},
    request_any, reset_after,
};
use crate::{
    lists::Lists,
    store::{Member, Members, Store, StoreError},
};

/// Interval between periodic reads of the member list.
const LIST_INTERVAL: Duration = Duration::from_secs(45);
/// Factor on the interval for agents, which need only the balancers and are sent a hello by those that list them.
const AGENT_INTERVAL_FACTOR: u32 = 10;
/// Fleet size up to which the intervals apply; they grow in proportion above it.
const BASELINE_MEMBERS: usize = 300;
/// Time over which a fleet of [`BASELINE_MEMBERS`] spreads its list reads after a store reset.
const RESET_SPREAD: Duration = Duration::from_millis(500);
/// Minimum time between two requested list reads, per member, so that the read load does not grow with the fleet.
/// Requests in between are served by the next read, and a small fleet does not wait.
const LIST_GAP_PER_MEMBER: Duration = Duration::from_micros(200);
/// Time without a response from any peer after which the process reads the store itself: a stalled peer must not delay
/// a start.
const NO_RESPONSE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time without a usable list, after a peer has responded, before the process reads the store itself.
const NO_LIST_TIMEOUT: Duration = Duration::from_millis(400);
/// Total time for requests to peers before the process reads the store itself.
const PEERS_TIMEOUT: Duration = Duration::from_millis(1_600);
/// The same at the first start of the system, when the peers are starting too.
const FIRST_START_PEERS_TIMEOUT: Duration = Duration::from_secs(5);

/// Progress of the initial discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoveryState {
    /// Requesting from peers.
    Requesting,
    /// The configuration and the members came from a peer.
    FromPeer,
    /// The process must read all its state from the store.
    FromStore,
}

/// Task that registers this process and keeps its member list up to date.
pub(crate) struct Join<S> {
    /// Store client.
    pub(crate) store: S,
    /// This process.
    pub(crate) own: Member,
    /// Whether this process should be listed.
    pub(crate) serves: watch::Receiver<bool>,
    /// Revision of this process's entry as last registered; `None` if unknown.
    pub(crate) entry: watch::Sender<Option<Revision>>,
    /// Whether the system starts for the first time, so that no entry of an earlier run exists.
    pub(crate) first_start: bool,
    /// Balancers to request from first.
    pub(crate) seeds: watch::Receiver<Vec<SocketAddrV4>>,
    /// Balancers that have sent a hello to this process.
    pub(crate) hello_senders: watch::Receiver<BTreeSet<SocketAddrV4>>,
    /// Notified when this process is missing from the list or the list may have changed.
    pub(crate) relist: Arc<Notify>,
    /// The list as served to other processes.
    pub(crate) lists: Arc<Lists>,
    /// Progress of the initial discovery.
    pub(crate) start: watch::Sender<DiscoveryState>,
    /// Receives the discovered state.
    pub(crate) out: mpsc::Sender<Update>,
}

/// The store's list, and further members known to a peer, whose store entries may be lost.
struct MemberList {
    members: Members,
    unlisted: Vec<MemberEntry>,
}

/// Why the list is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    /// Initial read.
    Start,
    /// Periodic read, for which an older list from a peer is sufficient.
    Interval,
    /// A peer needs a current list, or the store was reset.
    Requested,
    /// This process may have been withdrawn from the store.
    Rejoin,
}

impl<S> Join<S>
where
    S: Store,
{
    /// Registers this process once it serves, and reads the list of members at the start, periodically and on request.
    pub(crate) async fn run(self) {
        let mut backoff = Backoff::new();
        let mut seeds_request: Option<JoinHandle<()>> = None;
        let mut registered = false;
        let mut withdrawn = self.first_start;
        let mut resets = self.store.era();
        let mut reason = Reason::Start;
        let mut newest = None;
        loop {
            let begun = Instant::now();
            let attempt = self.lists.begin_attempt();
            let call_timeout = backoff.call_timeout();
            match self
                .register_and_list(&mut registered, &mut withdrawn, reason, call_timeout)
                .await
            {
                Ok(None) => {
                    backoff.reset();
                    self.relist.notified().await;
                }
                Ok(Some(MemberList { members, unlisted })) => {
                    backoff.reset();
                    self.set_state(DiscoveryState::FromStore);
                    let (at, member_count) = (members.at, members.records.len());
                    let unlisted =
                        Some(unlisted).filter(|it| !it.is_empty()).map(Update::PeerMembers);
                    let is_older = newest > Some(at);
                    newest = newest.max(Some(at));
                    if is_older {
                        // The peer's list predates the one this process already has.
                        self.lists.fail_attempt(attempt);
                    } else {
                        for it in [Update::Members(members, attempt)].into_iter().chain(unlisted) {
                            if self.out.send(it).await.is_err() {
                                return;
                            }
                        }
                    }
                    reason = self.wait(begun, at, member_count, &mut resets).await;
                    if reason == Reason::Rejoin && self.is_agent() {
                        registered = false;
                    }
                }
                Err(e) => {
                    self.lists.fail_attempt(attempt);
                    self.set_state(DiscoveryState::FromStore);
                    // An unreachable peer delays the answer by its timeout, so the requests run in the background.
                    if seeds_request.as_ref().is_none_or(JoinHandle::is_finished) {
                        seeds_request = Some(self.request_from_seeds());
                    }
                    backoff.wait_after_failure(&e).await;
                }
            }
        }
    }

    /// Records the outcome of the initial discovery; later calls have no effect.
    fn set_state(&self, state: DiscoveryState) {
        self.start.send_if_modified(|it| {
            let pending = *it == DiscoveryState::Requesting;
            if pending {
                *it = state;
            }
            pending
        });
    }

    fn is_agent(&self) -> bool {
        self.own.pool.is_some()
    }

    /// Waits until the list has to be read again.
    async fn wait(
        &self,
        begun: Instant,
        at: Revision,
        member_count: usize,
        resets: &mut watch::Receiver<Option<u64>>,
    ) -> Reason {
        tokio::select! {
            () = sleep(list_interval(member_count, self.is_agent()).mul_f64(jitter())) => {
                Reason::Interval
            }
            () = self.relist.notified() => Reason::Rejoin,
            () = self.lists.refresh_requested.notified() => {
                tokio::time::sleep_until(begun + LIST_GAP_PER_MEMBER * member_count as u32).await;
                Reason::Requested
            }
            () = reset_after(resets, at.era) => {
                sleep(reset_delay(member_count).mul_f64(jitter())).await;
                Reason::Requested
            }
        }
    }

    /// Requests the full state from the seeds in the background.
    fn request_from_seeds(&self) -> JoinHandle<()> {
        let seeds = self.seeds.borrow().clone();
        let (own, out) = (self.own.address, self.out.clone());
        tokio::spawn(async move { request_any(&seeds, own, &SnapshotRequest::all(), &out).await })
    }

    /// Returns the members, after registering this process if it serves.
    ///
    /// A list at least as new as its own object contains each process listed before, so of two that start concurrently
    /// one sees the other.
    async fn register_and_list(
        &self,
        registered: &mut bool,
        withdrawn: &mut bool,
        reason: Reason,
        call_timeout: Duration,
    ) -> Result<Option<MemberList>, StoreError> {
        if !*self.serves.borrow() {
            if !*withdrawn {
                // Removes an entry of an earlier run that could not withdraw it while the store was unavailable.
                withdraw_own(&self.store, &self.own.name, None, call_timeout).await?;
                *withdrawn = true;
            }
            return Ok(None);
        }
        let freshness = match reason {
            _ if !*registered => self.register(registered, call_timeout).await?,
            Reason::Interval => Freshness::Any,
            Reason::Start | Reason::Requested | Reason::Rejoin => Freshness::Fresh,
        };
        let list = self.members(freshness, call_timeout).await?;
        if self.is_agent() || list.members.contains(&self.own) {
            return Ok(Some(list));
        }
        // The entry was withdrawn meanwhile, or lost in a reset of the store.
        let freshness = self.register(registered, call_timeout).await?;
        self.members(freshness, call_timeout).await.map(Some)
    }

    /// Writes this process's entry and returns how new a list has to be afterwards.
    async fn register(
        &self,
        registered: &mut bool,
        call_timeout: Duration,
    ) -> Result<Freshness, StoreError> {
        *registered = false;
        let entry = register(&self.store, &self.own, call_timeout).await?;
        *registered = true;
        self.entry.send_replace(entry.revision);
        Ok(match entry.replaced {
            // Balancers listed since then have sent this agent a hello, as its entry was there all the time.
            Some(replaced) if self.is_agent() => Freshness::AtLeast(replaced),
            // A list that is only as new as the earlier entry may lack agents that this balancer has missed.
            Some(_) => Freshness::Fresh,
            None => entry.revision.map_or(Freshness::Fresh, Freshness::AtLeast),
        })
    }

    /// Returns the members from peers or the store. A seed always reads the store, as its peers request from it.
    async fn members(
        &self,
        freshness: Freshness,
        call_timeout: Duration,
    ) -> Result<MemberList, StoreError> {
        let seeds = self.seeds.borrow().clone();
        if seeds.contains(&self.own.address) {
            // No peer sends a seed the configuration at its start, and others wait for the seed's.
            self.set_state(DiscoveryState::FromStore);
            return self.read(call_timeout).await;
        }
        let responded = watch::Sender::new(false);
        let limit = if self.first_start { FIRST_START_PEERS_TIMEOUT } else { PEERS_TIMEOUT };
        let from_peers = timeout(limit, self.members_from_peers(&seeds, freshness, &responded));
        tokio::select! {
            from_peers = from_peers => match from_peers {
                Ok(Some(list)) => Ok(list),
                Ok(None) | Err(_) => self.read(call_timeout).await,
            },
            read = self.read_after_timeout(&responded, call_timeout) => read,
        }
    }

    async fn read(&self, call_timeout: Duration) -> Result<MemberList, StoreError> {
        let members = count_call("list", self.store.members(call_timeout).await)?;
        Ok(MemberList { members, unlisted: Vec::new() })
    }

    /// Reads the store if no peer responds, or none answers in time.
    async fn read_after_timeout(
        &self,
        responded: &watch::Sender<bool>,
        call_timeout: Duration,
    ) -> Result<MemberList, StoreError> {
        let (no_response_timeout, no_list_timeout) = if self.first_start {
            (FIRST_START_PEERS_TIMEOUT, FIRST_START_PEERS_TIMEOUT)
        } else {
            (NO_RESPONSE_TIMEOUT, NO_LIST_TIMEOUT)
        };
        let mut peers = responded.subscribe();
        if timeout(no_response_timeout, peers.wait_for(|&it| it)).await.is_ok() {
            sleep(no_list_timeout).await;
        }
        self.read(call_timeout).await
    }
}

pub(super) fn list_interval(members: usize, agent: bool) -> Duration {
    let pause = LIST_INTERVAL.mul_f64((members as f64 / BASELINE_MEMBERS as f64).max(1.0));
    if agent { pause * AGENT_INTERVAL_FACTOR } else { pause }
}

/// Time over which processes spread their list reads after a store reset.
fn reset_delay(members: usize) -> Duration {
    RESET_SPREAD.mul_f64(members as f64 / BASELINE_MEMBERS as f64)
}
