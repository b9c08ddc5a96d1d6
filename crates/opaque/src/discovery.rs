//! Discovery of members and configuration, from the store or, while the store is unavailable, from peers.

#[cfg(test)]
mod fake_store;
mod join;
mod registration;
mod removals;
#[cfg(test)]
mod tests;
mod topic;
mod watch_timer;

use std::{collections::BTreeSet, net::SocketAddrV4, time::Duration};

use camphorwinch_core::opaque::{
    balancer::Duty,
    fleet::{MemberEntry, RestartingAgent},
    former_pools::FormerPool,
    route::Routes,
    zone::ZonesOut,
};
use camphorwinch_wire::opaque::{Part, Snapshot, SnapshotRequest};
use futures::{StreamExt, stream::FuturesUnordered};
use rand::Rng;
use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

pub(crate) use self::{
    join::{DiscoveryState, Join},
    registration::withdraw_own,
    removals::WatchRemovals,
    topic::{Follow, Topic, WatchRole},
};
use crate::{
    event::Id,
    metrics,
    snapshot::{self, REQUEST_TIMEOUT},
    store::{Members, Record, RemovedMember, Store, StoreError},
};

/// Backoff after the first failed store call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);
/// Upper bound of the backoff between store calls: a fleet that lost its store is back within two of them.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Timeout of a store call while the store answers normally. Answers take 4 ms, those of a slow store a quarter of a
/// second; after an outage, calls that still wait for a lost answer delay the fleet by this time.
const INITIAL_CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Upper bound of the timeout after repeated timeouts.
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(2_800);
/// Timeouts before the call timeout doubles.
const TIMEOUTS_PER_DOUBLING: u32 = 6;
/// Attempts to withdraw one member; must outlast an outage of several seconds.
const MAX_WITHDRAW_ATTEMPTS: u32 = 30;

/// A piece of cluster state from the store or a peer.
#[derive(Debug)]
pub(crate) enum Update {
    /// A configuration from a peer, which may be older than the one in force.
    PeerRoutes(Routes),
    /// A configuration from the store.
    StoreRoutes(Routes),
    /// Zones out of service, from a peer.
    PeerZones(ZonesOut),
    /// Zones out of service whose store entries were lost, from a peer.
    PeerLostZones(Vec<String>),
    /// Zones out of service, from the store.
    StoreZones(ZonesOut),
    /// The store has answered the watch that is this duty, so that what is known is current.
    Answered(Duty),
    /// The complete list of members, or all balancers for an agent, and the number of the attempt that fetched it.
    Members(Members, u64),
    /// Members known to a peer.
    PeerMembers(Vec<MemberEntry>),
    /// Pools that routes no longer include, as known to a peer, and whether these are all.
    PeerFormerPools(Vec<FormerPool>, bool),
    /// Agents that announced a restart to a peer.
    PeerRestarting(Vec<RestartingAgent>),
    /// Members that were removed from the store.
    Removed(Vec<RemovedMember>),
    /// Members may have been removed from the store; the next list shows which.
    RemovalsUnknown,
    /// The peers asked for agents that report to them have named some, or none can.
    PeersAsked,
}

/// Jittered exponential backoff and adaptive call timeout for the store.
struct Backoff {
    delay: Duration,
    failing: bool,
    timeouts: u32,
}

impl Backoff {
    fn new() -> Backoff {
        Backoff { delay: INITIAL_BACKOFF, failing: false, timeouts: 0 }
    }

    fn call_timeout(&self) -> Duration {
        (INITIAL_CALL_TIMEOUT * 2u32.pow((self.timeouts / TIMEOUTS_PER_DOUBLING).min(2)))
            .min(MAX_CALL_TIMEOUT)
    }

    fn record_failure(&mut self, error: &StoreError) {
        if let StoreError::Timeout { .. } = error {
            self.timeouts += 1;
        }
        if !self.failing {
            let id = Id::StoreLost;
            tracing::warn!(id = id as u16, name = id.name(), error = %error);
        }
        self.failing = true;
    }

    async fn wait_after_failure(&mut self, error: &StoreError) {
        self.record_failure(error);
        sleep(self.delay.mul_f64(jitter())).await;
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
    }

    fn reset(&mut self) {
        if self.failing {
            let id = Id::StoreBack;
            tracing::info!(id = id as u16, name = id.name());
        }
        *self = Backoff::new();
    }
}

/// Random factor that keeps processes from retrying in lockstep.
fn jitter() -> f64 {
    rand::rng().random_range(0.6..1.0)
}

/// Logs each reset of the store.
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

/// Returns once the store reports an era later than `era`.
async fn reset_after(store_era: &mut watch::Receiver<Option<u64>>, era: u64) {
    if store_era.wait_for(|it| *it > Some(era)).await.is_err() {
        // The store client is gone; no later era can arrive.
        std::future::pending::<()>().await;
    }
}

/// Withdraws the members received through `gone` from the store, as long as they stand in `withdrawing`.
pub(crate) async fn withdraw_gone_members<S>(
    store: S,
    mut gone: mpsc::Receiver<Record>,
    withdrawing: watch::Sender<BTreeSet<SocketAddrV4>>,
) where
    S: Store,
{
    while let Some(record) = gone.recv().await {
        let (name, revision) = (&record.name, record.revision.number);
        let id = Id::MemberWithdrawn;
        let address = record.listed.address;
        let is_gone = || withdrawing.borrow().contains(&address);
        let result = withdraw(&store, &record, is_gone).await;
        withdrawing.send_if_modified(|it| it.remove(&address));
        match result {
            Ok(()) => tracing::info!(id = id as u16, name = id.name(), member = name, revision),
            Err(e) => {
                let error = e.to_string();
                tracing::warn!(id = id as u16, name = id.name(), member = name, revision, error);
            }
        }
    }
}

/// Withdraws a member, retrying transient errors for as long as the member is gone.
async fn withdraw<S, G>(store: &S, record: &Record, is_gone: G) -> Result<(), StoreError>
where
    S: Store,
    G: Fn() -> bool,
{
    let mut attempts = 0;
    loop {
        let name = &record.name;
        let result = store.withdraw(name, record.revision, INITIAL_CALL_TIMEOUT).await;
        let error = match count_call("withdraw", result) {
            Ok(()) => return Ok(()),
            Err(e) => e,
        };
        attempts += 1;
        if attempts == MAX_WITHDRAW_ATTEMPTS || !error.is_transient() {
            return Err(error);
        }
        sleep(MAX_BACKOFF.mul_f64(jitter())).await;
        if !is_gone() {
            return Err(error);
        }
    }
}

/// Sends a request to all peers concurrently and applies the first answer.
pub(crate) async fn request_any(
    peers: &[SocketAddrV4],
    own: SocketAddrV4,
    request: &SnapshotRequest,
    out: &mpsc::Sender<Update>,
) {
    let others = peers.iter().copied().filter(|&it| it != own);
    let mut answers: FuturesUnordered<_> = others.map(|it| request_one(it, request)).collect();
    while let Some(answer) = answers.next().await {
        let id = Id::PeerAsked;
        let Some((peer, found)) = answer else {
            continue;
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

/// Asks peers for the agents that report to them, announced restarts and former pools, until one has named some agents and
/// one knows all former pools. A peer that has just started does not know more than this process.
pub(crate) async fn request_reporting(peers: &[SocketAddrV4], out: &mpsc::Sender<Update>) {
    let request = SnapshotRequest::default().with_members(Part::Reporting);
    let mut answers: FuturesUnordered<_> =
        peers.iter().map(|&it| request_one(it, &request)).collect();
    let (mut has_agents, mut has_all_pools) = (false, false);
    while let Some(answer) = answers.next().await {
        let id = Id::PeerAsked;
        let Some((peer, found)) = answer else {
            continue;
        };
        let (mut reporting, mut former_pools) = (0, 0);
        for it in found {
            match &it {
                Update::PeerMembers(members) if !has_agents && !members.is_empty() => {
                    reporting = members.len();
                    has_agents = true;
                }
                Update::PeerFormerPools(pools, all) => {
                    former_pools = pools.len();
                    has_all_pools |= all;
                }
                Update::PeerRestarting(_) => {}
                _ => continue,
            }
            if out.send(it).await.is_err() {
                return;
            }
        }
        tracing::info!(
            id = id as u16,
            name = id.name(),
            peer = %peer,
            reporting,
            former_pools,
            all_former_pools = has_all_pools,
        );
        if has_agents && has_all_pools {
            break;
        }
    }
    // A closed channel means that the process ends.
    let _ = out.send(Update::PeersAsked).await;
}

/// Requests a snapshot and returns what it contains; a failure is logged.
async fn request_one(
    peer: SocketAddrV4,
    request: &SnapshotRequest,
) -> Option<(SocketAddrV4, Vec<Update>)> {
    let answer = snapshot::request(peer, request, REQUEST_TIMEOUT).await;
    let with_members = request.members() != Part::None;
    match answer.and_then(|it| Ok(updates(&it, with_members)?)) {
        Ok(found) => Some((peer, found)),
        Err(e) => {
            let id = Id::PeerAsked;
            let error = format!("{e:#}");
            tracing::info!(id = id as u16, name = id.name(), peer = %peer, error);
            None
        }
    }
}

fn updates(
    snapshot: &Snapshot,
    with_members: bool,
) -> Result<Vec<Update>, camphorwinch_wire::opaque::DecodeError> {
    let mut found = Vec::new();
    if with_members {
        found.push(Update::PeerMembers(snapshot.members()?));
    }
    let restarting = snapshot.restarting();
    if !restarting.is_empty() {
        found.push(Update::PeerRestarting(restarting));
    }
    let former_pools = snapshot.former_pools()?;
    if snapshot.all_former_pools || !former_pools.is_empty() {
        found.push(Update::PeerFormerPools(former_pools, snapshot.all_former_pools));
    }
    // Must precede the routes: flows are placed once the routes are known.
    if !snapshot.lost_zones.is_empty() {
        found.push(Update::PeerLostZones(snapshot.lost_zones.clone()));
    }
    found.extend(snapshot.zones.clone().map(|it| Update::PeerZones(it.into())));
    found.extend(snapshot.routes()?.map(Update::PeerRoutes));
    Ok(found)
}

fn count_call<T>(step: &'static str, result: Result<T, StoreError>) -> Result<T, StoreError> {
    let outcome = match &result {
        Ok(_) => "ok",
        Err(StoreError::Timeout { .. }) => "timeout",
        Err(StoreError::Connection { .. }) => "connection",
        Err(StoreError::Busy { .. }) => "busy",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::NotFound { .. }) => "not-found",
        Err(StoreError::Reset { .. }) => "reset",
        Err(StoreError::Answer { .. }) => "answer",
    };
    metrics::STORE_CALLS.with_label_values(&[step, outcome]).inc();
    result
}
