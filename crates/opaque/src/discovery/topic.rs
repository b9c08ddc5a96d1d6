//! Watching the configuration and the zones out of service in the store.

use std::{sync::Arc, time::Duration};

use camphorwinch_core::opaque::{balancer::Duty, revision::Revision, zone::ZonesOut};
use tokio::{
    sync::{Notify, mpsc, watch},
    time::{Instant, sleep, timeout},
};

use super::{
    Backoff, DiscoveryState, INITIAL_BACKOFF, Update, count_call, jitter, reset_after,
    watch_timer::WatchTimer,
};
use crate::store::{Freshness, Store, StoreError, Watched};

/// Longest wait after a failed zones call. A successful configuration call ends it early. Waiting for that call instead
/// of retrying halves the call rate during an outage.
const ZONES_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between reads of the configuration by a balancer that does not watch, in a fleet of up to
/// [`BASELINE_READERS`] such balancers. These reads may be stale.
const READ_INTERVAL: Duration = Duration::from_secs(10);
/// Polling balancers up to which [`READ_INTERVAL`] applies: one of them reads every 0.2 s, so that a change is found
/// even while all watchers are cut off from the store. The interval grows in proportion above, so that the total read
/// rate stays constant.
const BASELINE_READERS: usize = 51;
/// Interval between reads of the zones out of service, independent of the fleet's size: each balancer must notice a
/// change within seconds, even if no other balancer can reach it.
const ZONES_READ_INTERVAL: Duration = Duration::from_secs(4);
/// Maximum age of a stale answer. No stale reads are made for this time after a store reset.
const MAX_STALENESS: Duration = Duration::from_secs(10);
/// Longest wait for a watch role at the start, about the time of one member list read on a slow VM. In a fleet of 15
/// balancers the wait saves each starting non-watcher a call.
const ROLE_TIMEOUT: Duration = Duration::from_millis(500);

/// A watched subject, with its known state.
#[derive(Debug)]
pub(crate) enum Topic {
    /// The configuration.
    Routes,
    /// The zones out of service.
    Zones(ZonesOut),
}

/// Result of a store call: the store's revision and the update, if any.
type Step = Watched<(Revision, Option<Update>)>;

impl Topic {
    /// Zones out of service, none known yet.
    pub(crate) fn zones() -> Topic {
        Topic::Zones(ZonesOut::default())
    }

    /// Interval between reads while this process does not watch, in a fleet of `balancers`.
    pub(super) fn read_interval(&self, balancers: usize) -> Duration {
        match self {
            Topic::Routes => {
                READ_INTERVAL.mul_f64((balancers as f64 / BASELINE_READERS as f64).max(1.0))
            }
            Topic::Zones(_) => ZONES_READ_INTERVAL,
        }
    }

    /// Duty of the balancers that watch this topic.
    fn duty(&self) -> Duty {
        match self {
            Topic::Routes => Duty::ConfigWatch,
            Topic::Zones(_) => Duty::ZoneWatch,
        }
    }

    /// Name of a watch call, for metrics and logs.
    fn watch_step(&self) -> &'static str {
        match self {
            Topic::Routes => "watch-config",
            Topic::Zones(_) => "watch-zones",
        }
    }

    /// Waits after a failed call.
    async fn wait_after_failure(
        &self,
        error: &StoreError,
        backoff: &mut Backoff,
        config_read: &Notify,
    ) {
        // After a single failure only this connection may be broken, so the plain backoff applies.
        if let Topic::Zones(_) = self
            && backoff.failing
            && error.is_transient()
        {
            backoff.record_failure(error);
            // Retries after the timeout as well as after the notification.
            let _ = timeout(ZONES_RETRY_TIMEOUT, config_read.notified()).await;
            return;
        }
        backoff.wait_after_failure(error).await;
    }

    async fn read<S>(
        &mut self,
        store: &S,
        freshness: Freshness,
        call_timeout: Duration,
    ) -> Result<Step, StoreError>
    where
        S: Store,
    {
        match self {
            Topic::Routes => {
                let seen = count_call("read-config", store.routes(freshness, call_timeout).await)?;
                Ok(Watched::Advanced((seen.at, seen.routes.map(Update::StoreRoutes))))
            }
            Topic::Zones(known) => {
                let zones = store.zones_out(freshness, call_timeout).await;
                *known = count_call("read-zones", zones)?;
                Ok(Watched::Advanced((known.revision(), Some(Update::StoreZones(known.clone())))))
            }
        }
    }

    async fn watch<S>(
        &mut self,
        store: &S,
        at: Revision,
        wait: Duration,
        call_timeout: Duration,
    ) -> Result<Step, StoreError>
    where
        S: Store,
    {
        let step = self.watch_step();
        match self {
            Topic::Routes => {
                let watched = store.watch(at, wait, call_timeout).await;
                Ok(match count_call(step, watched)? {
                    Watched::Advanced(seen) => {
                        Watched::Advanced((seen.at, seen.routes.map(Update::StoreRoutes)))
                    }
                    Watched::Compacted => Watched::Compacted,
                })
            }
            Topic::Zones(known) => {
                let watched = store.watch_zones(known, wait, call_timeout).await;
                let Watched::Advanced(zones) = count_call(step, watched)? else {
                    return Ok(Watched::Compacted);
                };
                *known = zones;
                Ok(Watched::Advanced((known.revision(), Some(Update::StoreZones(known.clone())))))
            }
        }
    }
}

/// How a process follows a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchRole {
    /// Undecided, as the members are not known yet.
    Undecided,
    /// Watches the store for changes, at this position among the watchers.
    Watch(usize),
    /// Polls the store, as this many balancers do; peers report changes in between.
    Read(usize),
}

/// Waits until the role is decided, up to [`ROLE_TIMEOUT`]; `None` if the process ends.
async fn await_role(role: &mut watch::Receiver<WatchRole>) -> Option<WatchRole> {
    match timeout(ROLE_TIMEOUT, role.wait_for(|&it| it != WatchRole::Undecided)).await {
        Ok(Ok(it)) => Some(*it),
        Ok(Err(_)) => None,
        // No other watcher is known.
        Err(_) => Some(WatchRole::Watch(0)),
    }
}

/// The store's era as known to a follower.
#[derive(Debug, Default)]
pub(super) struct Era {
    known: Option<u64>,
    /// Time at which a later era last replaced the known one, so a store reset was noticed.
    reset_seen_at: Option<Instant>,
}

impl Era {
    /// Whether an answer may be applied. A stale one may come from before a store reset, whatever era it carries, and
    /// its revisions could pass for later ones.
    pub(super) fn accepts(&mut self, era: u64, freshness: Freshness) -> bool {
        if self.known == Some(era) {
            return true;
        }
        if freshness == Freshness::Stale || self.known > Some(era) {
            return false;
        }
        if self.known.replace(era).is_some() {
            self.reset_seen_at = Some(Instant::now());
        }
        true
    }

    /// Freshness required of the next read.
    pub(super) fn freshness(&self) -> Freshness {
        let settled = self.reset_seen_at.is_none_or(|it| it.elapsed() > MAX_STALENESS);
        if self.known.is_some() && settled { Freshness::Stale } else { Freshness::Current }
    }
}

/// Task that follows a topic in the store.
pub(crate) struct Follow<S> {
    /// Store client.
    pub(crate) store: S,
    /// Whether to watch or poll.
    pub(crate) role: watch::Receiver<WatchRole>,
    /// Outcome of the initial discovery; state from a peer need not be read again.
    pub(crate) start: watch::Receiver<DiscoveryState>,
    /// Notifies the zones' follower of a successful configuration call.
    pub(crate) config_read: Arc<Notify>,
    /// Time of the store's latest answer to another watcher of the topic.
    pub(crate) peer_answers: watch::Receiver<Option<Instant>>,
    /// Receives the updates.
    pub(crate) out: mpsc::Sender<Update>,
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
        let mut timer = WatchTimer::new(self.peer_answers.clone());
        // Revision at which the last call ended; `None` if the next one has to read.
        let mut at = None;
        let mut freshness = Freshness::Current;
        let Ok(start) =
            self.start.wait_for(|&it| it != DiscoveryState::Requesting).await.map(|it| *it)
        else {
            return;
        };
        let mut has_state = start == DiscoveryState::FromPeer;
        // Whether a polling balancer waits for an interval before its next read.
        let mut may_defer_read = has_state;
        if has_state {
            era.known = *resets.borrow();
            freshness = era.freshness();
        }
        loop {
            if at.is_some() || may_defer_read {
                let Some(role) = await_role(&mut self.role).await else {
                    return;
                };
                if let WatchRole::Read(balancers) = role {
                    let pause = topic.read_interval(balancers).mul_f64(jitter());
                    // Peers report changes meanwhile. A closed channel means that the process ends.
                    let is_watch = |it: &WatchRole| matches!(it, WatchRole::Watch(_));
                    let watch_role = timeout(pause, self.role.wait_for(is_watch));
                    if let Ok(Err(_)) = watch_role.await {
                        return;
                    }
                    at = None;
                }
            }
            may_defer_read = false;
            let is_current = at.is_some() || freshness == Freshness::Current;
            let step = match at {
                None => topic.read(&self.store, freshness, backoff.call_timeout()).await,
                Some(at) => {
                    let call = timer.next_call(self.rank().unwrap_or_default());
                    let (wait, step) = (Duration::from_millis(call.wait_ms), topic.watch_step());
                    tokio::select! {
                        it = topic.watch(&self.store, at, wait, backoff.call_timeout()) => it,
                        // The connection may have gone silent with the old store.
                        () = reset_after(&mut resets, at.era) => Ok(Watched::Compacted),
                        () = timer.renewal_due(&call) => {
                            timer.log_renewal(step, &call);
                            continue;
                        }
                    }
                }
            };
            let requested = std::mem::replace(&mut freshness, Freshness::Current);
            let step = match step {
                Ok(Watched::Advanced((it, _))) if !era.accepts(it.era, requested) => {
                    Ok(Watched::Compacted)
                }
                it => it,
            };
            match step {
                Ok(Watched::Advanced((seen_at, update))) => {
                    backoff.reset();
                    freshness = era.freshness();
                    if let Topic::Routes = topic {
                        self.config_read.notify_waiters();
                    }
                    at = Some(seen_at);
                    has_state = true;
                    if is_current {
                        timer.record_answer();
                    }
                    // Others need to know of answers to watchers only.
                    let answered = Some(Update::Answered(topic.duty()))
                        .filter(|_| is_current && self.rank().is_some());
                    for it in update.into_iter().chain(answered) {
                        if self.out.send(it).await.is_err() {
                            return;
                        }
                    }
                }
                Ok(Watched::Compacted) => {
                    at = None;
                    // Avoids a busy loop if the store keeps reporting this.
                    sleep(INITIAL_BACKOFF.mul_f64(jitter())).await;
                }
                Err(e) => {
                    // The history since the watch broke may be compacted.
                    at = None;
                    if has_state && self.waits_for_next_interval(&topic, &e) {
                        backoff.record_failure(&e);
                        may_defer_read = true;
                        freshness = era.freshness();
                        continue;
                    }
                    topic.wait_after_failure(&e, &mut backoff, &self.config_read).await;
                }
            }
        }
    }

    /// Position of this process among the watchers; `None` if it does not watch.
    fn rank(&self) -> Option<usize> {
        match *self.role.borrow() {
            WatchRole::Watch(rank) => Some(rank),
            WatchRole::Undecided | WatchRole::Read(_) => None,
        }
    }

    /// Whether a failed call is retried only at the next interval. Peers also read the configuration, and retries
    /// would add load while the store rejects calls.
    fn waits_for_next_interval(&self, topic: &Topic, error: &StoreError) -> bool {
        let reads = matches!(*self.role.borrow(), WatchRole::Read(_));
        reads && error.is_transient() && matches!(topic, Topic::Routes)
    }
}
