//! Which waiting request an upstream gets when it has a free slot.
//!
//! Upstreams serve first come, first served. When more comes than they can do for a moment (callers return together to
//! upstreams that are still cold, or a burst), that order makes everybody late: the queue stays as long as the latency
//! objective until the last of the backlog is served. So an agent keeps back what its upstream can't begin yet, and gives
//! each free slot to the request that is nearest to its latency objective among those that can still meet it: earliest
//! deadline first, without those that would only make others late (as in deadline-aware admission, Breakwater, OSDI
//! 2020). Those that are late already come after them, and none waits for longer than four fifths of the time it has:
//! then its upstream gets it, and answers or refuses it. Once the pool has room again nothing waits any longer.

use std::{cmp::Reverse, net::SocketAddrV4};

use rustc_hash::FxHashMap;

use super::{FlowKey, route::Objective, walk::PoolLoad};

/// Requests beyond its slots that an upstream gets, so that no slot idles for the time in which the agent hears that a
/// request has ended and sends the next one: about a millisecond, a thirtieth of common work.
const AHEAD: u32 = 1;
/// Weight of the newest request in the mean of service times: some forty requests settle it, half a second of a busy
/// upstream with four slots, so that it follows an upstream that warms up or turns slow.
const TIME_WEIGHT: f64 = 0.05;
/// Requests from whose service times an upstream can be compared with others: their mean is then within a fifth.
const ENOUGH: u32 = 20;
/// Service times, in means, within which a request is expected to end: eight of ten of a log-normal distribution with a
/// spread of a half do. With fewer, requests that end late go before some that could be in time.
const TIME_MARGIN: f64 = 1.5;
/// Share of the timeout within which all that waits can be served; the rest is for service times that vary and for the
/// answer's way. What is more goes to the upstream, which refuses it at once if its own queue is full: nobody waits for what
/// can't come. With half of it requests are refused that could be served while their callers stay.
const BACKLOG_SHARE: f64 = 0.8;
/// Share of the pool's slots at full upstreams from which requests wait. With less, a refusal at once is better for a
/// caller: it comes back to an upstream with room, and flows that are kept move away from one that has too many.
const FULL_SHARE: f64 = 0.6;
/// Time for which a balancer's word on the pool counts: as long as a report does.
const POOL_MS: u64 = 1_000;
/// Weight of a look at the requests in progress, each 20 ms, in their mean: a time constant of 150 ms, so that a few
/// requests at once don't count as full and a burst does within a quarter of a second.
const LOOK_WEIGHT: f64 = 0.125;
/// Share of the time that its caller still has for which a request waits at the most. The rest is for serving it: half a
/// second of a timeout of 2.5 s, several service times.
const WAIT_SHARE: f64 = 0.8;
/// Longest wait of a request whose timeout is not known: some service times, well below the patience of callers.
const UNKNOWN_WAIT_MS: u64 = 300;

#[derive(Clone, Copy, Debug)]
struct Waiting {
    key: FlowKey,
    asked_ms: u64,
}

/// How near a waiting request is to being of use. The least one is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// It can meet its latency objective, due then.
    InTime { priority: u8, due_ms: u64 },
    /// It can be answered before its timeout; the one asked last first, as its caller stays longest.
    Late { priority: u8, asked_ms: Reverse<u64> },
}

/// The requests that wait at an agent, and the number of those that its upstream runs.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    running: u32,
    waiting: Vec<Waiting>,
    objectives: FxHashMap<SocketAddrV4, Objective>,
    /// Mean service time of so many requests.
    mean_ms: f64,
    samples: u32,
    /// Mean service time of the pool, as balancers told with the last opening packet.
    pool_ms: Option<u32>,
    /// Share of the pool's slots that are at full upstreams, and when that was heard.
    full_share: f64,
    pool_heard_ms: u64,
    /// Mean of the requests that the upstream has or that wait for it.
    recent: f64,
    full: bool,
    /// When a request last ended while all slots were in use.
    ended_ms: Option<u64>,
}

impl Admission {
    /// Requests that wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Mean time that the upstream works on a request, once it answered enough to compare it with others.
    pub(super) fn mean_ms(&self) -> Option<f64> {
        (self.samples >= ENOUGH).then_some(self.mean_ms)
    }

    /// Forgets how long the upstream works on a request: another process takes its place.
    pub(super) fn forget_times(&mut self) {
        self.mean_ms = 0.0;
        self.samples = 0;
        self.ended_ms = None;
        self.recent = f64::from(self.running) + self.waiting.len() as f64;
    }

    /// Notes the objective of a service.
    pub(super) fn set_objective(&mut self, service: SocketAddrV4, objective: Objective) {
        self.objectives.insert(service, objective);
    }

    /// Time after which an answer of the service is of no use, if that is known.
    pub(super) fn timeout_ms(&self, service: SocketAddrV4) -> Option<u64> {
        self.objectives.get(&service).map(|it| u64::from(it.timeout_ms))
    }

    /// Notes what a balancer knows of the pool.
    pub(super) fn hear_pool(&mut self, pool: PoolLoad, now_ms: u64) {
        self.pool_ms = pool.service_ms.or(self.pool_ms);
        self.full_share = f64::from(pool.full_percent) / 100.0;
        self.pool_heard_ms = now_ms;
    }

    /// Looks at the requests in progress; whether the upstream is full has changed.
    pub(super) fn look(&mut self, slots: Option<u32>) -> bool {
        let (running, waiting) = (f64::from(self.running), self.waiting.len() as f64);
        self.recent += (running + waiting - self.recent) * LOOK_WEIGHT;
        let slots = slots.unwrap_or(u32::MAX);
        let least = if self.full { slots } else { slots.saturating_add(AHEAD) };
        let before = std::mem::replace(&mut self.full, self.recent >= f64::from(least));
        self.full != before
    }

    /// Whether the upstream has as much as it can begin, or more.
    pub(super) fn is_full(&self) -> bool {
        self.full
    }

    /// Mean service time of the pool, if a balancer told it.
    pub(super) fn pool_ms(&self) -> Option<u32> {
        self.pool_ms
    }

    /// Whether an upstream with so many slots gets a new request at once.
    pub(super) fn admits(&self, slots: Option<u32>, now_ms: u64) -> bool {
        !self.is_pool_full(now_ms) || self.waiting.is_empty() && self.has_room(slots)
    }

    fn is_pool_full(&self, now_ms: u64) -> bool {
        let fresh = now_ms.saturating_sub(self.pool_heard_ms) <= POOL_MS;
        fresh && self.full_share >= FULL_SHARE
    }

    /// The upstream got a request; whether it had a free slot for it.
    pub(super) fn start(&mut self, slots: Option<u32>) -> bool {
        self.running += 1;
        slots.is_some_and(|it| self.running <= it)
    }

    /// A request no longer takes a slot.
    pub(super) fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.ended_ms = None;
    }

    /// The upstream answered a request. How long it worked on it is seen from the request itself if that had a slot at
    /// once (`took_ms`), else from the time between two answers while all slots are in use.
    pub(super) fn answered(&mut self, took_ms: Option<u64>, slots: Option<u32>, now_ms: u64) {
        let all = slots.filter(|&it| self.running >= it);
        let since_ms = self.ended_ms.filter(|_| all.is_some());
        let between = since_ms.zip(all).map(|(it, slots)| (now_ms - it) * u64::from(slots));
        self.running = self.running.saturating_sub(1);
        self.ended_ms = all.filter(|&it| self.running >= it).map(|_| now_ms);
        let Some(sample) = took_ms.or(between) else {
            return;
        };
        self.samples = self.samples.saturating_add(1);
        let weight = TIME_WEIGHT.max(1.0 / f64::from(self.samples));
        self.mean_ms += (sample as f64 - self.mean_ms) * weight;
    }

    /// A request that its caller first sent at `asked_ms` waits from now on; until when at the most.
    pub(super) fn wait(&mut self, key: FlowKey, asked_ms: u64, now_ms: u64) -> u64 {
        self.waiting.push(Waiting { key, asked_ms });
        let Some(objective) = self.objectives.get(&key.service) else {
            return now_ms + UNKNOWN_WAIT_MS;
        };
        let left = (asked_ms + u64::from(objective.timeout_ms)).saturating_sub(now_ms);
        now_ms + (left as f64 * WAIT_SHARE) as u64
    }

    /// The waiting request that is least likely to be of use, if more wait than an upstream with so many slots can serve
    /// while their callers stay.
    pub(super) fn excess(&self, slots: Option<u32>, now_ms: u64) -> Option<FlowKey> {
        let timeout_ms = self.objectives.values().map(|it| it.timeout_ms).min()?;
        let rounds = f64::from(timeout_ms) * BACKLOG_SHARE / self.mean_ms.max(1.0);
        let most = (f64::from(slots?.max(1)) * rounds) as usize;
        if self.waiting.len() <= most {
            return None;
        }
        self.waiting.iter().max_by_key(|it| self.rank(it, now_ms)).map(|it| it.key)
    }

    /// Takes a waiting request out.
    pub(super) fn remove(&mut self, key: FlowKey) {
        self.waiting.retain(|it| it.key != key);
    }

    /// The request that goes next to an upstream with so many slots: if it has room for one, or others of the pool do.
    pub(super) fn next(&self, slots: Option<u32>, now_ms: u64) -> Option<FlowKey> {
        if self.is_pool_full(now_ms) && !self.has_room(slots) {
            return None;
        }
        self.waiting.iter().min_by_key(|it| self.rank(it, now_ms)).map(|it| it.key)
    }

    /// An upstream that was not heard of yet has room: what it runs may be from before the agent's start.
    fn has_room(&self, slots: Option<u32>) -> bool {
        slots.is_none_or(|it| self.running < it.max(1) + AHEAD)
    }

    fn rank(&self, it: &Waiting, now_ms: u64) -> Rank {
        let end_ms = now_ms + (self.mean_ms * TIME_MARGIN) as u64;
        let asked_ms = Reverse(it.asked_ms);
        let Some(objective) = self.objectives.get(&it.key.service) else {
            return Rank::Late { priority: u8::MAX, asked_ms };
        };
        let priority = objective.priority;
        let due_ms = it.asked_ms + u64::from(objective.latency_ms);
        if end_ms <= due_ms {
            Rank::InTime { priority, due_ms }
        } else {
            Rank::Late { priority, asked_ms }
        }
    }
}
