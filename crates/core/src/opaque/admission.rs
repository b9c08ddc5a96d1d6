//! Deadline-aware admission of requests to an upstream (compare Breakwater, OSDI 2020).
//!
//! Upstreams serve first come, first served, which makes every request late during overload. So while the pool is full
//! the agent buffers requests that its upstream can't start, and releases them earliest deadline first. Requests beyond
//! the usual share of their route come after those within it, and requests that will miss their latency objective come
//! last. No request waits longer than a share of its remaining timeout: then the
//! upstream answers or refuses it.

use std::net::SocketAddrV4;

use rustc_hash::FxHashMap;

use super::{
    FlowKey, PoolId,
    agent::reservations::{ReservationKey, Reservations},
    balancer::BOUND_SERVICE_TIME_MARGIN,
    candidate_list::{POOL_FULL_PERCENT, PoolLoad},
    ranked_queue::{Rank, RankedQueue, Terms},
    route::Objective,
    route_share::{BeyondShare, RouteShares, RouteUsage},
    service_rate::ServiceRate,
};

/// Requests sent to an upstream beyond its slots, so that no slot idles until the agent releases the next request:
/// about a millisecond, a thirtieth of common work.
const EXTRA_REQUESTS: u32 = 1;
/// Multiple of the mean service time within which a request is expected to end: eight of ten do, with log-normal
/// service times of spread 0.5. With less, requests that end late go before some that could be in time.
const SERVICE_TIME_MARGIN: f64 = 1.5;
/// Share of the timeout within which the upstream must be able to serve the whole backlog; the rest is for service
/// times that vary and for the answer's way. Excess requests are released, so that the upstream refuses them without
/// delay. With half of the timeout, requests were refused that could have been served.
const BACKLOG_SHARE: f64 = 0.8;
/// Share of the pool's slots at full upstreams from which requests wait.
const POOL_FULL_SHARE: f64 = POOL_FULL_PERCENT as f64 / 100.0;
/// Time for which the pool load from a balancer is valid: one report interval.
const POOL_LOAD_TTL_MS: u64 = 1_000;
/// Weight of a sample, taken on each 20 ms tick, in the moving average of requests at the upstream: a time constant of
/// 150 ms, so that a few simultaneous requests do not count as full and a burst does within a quarter of a second.
const OCCUPANCY_WEIGHT: f64 = 0.125;
/// Share of its remaining timeout for which a request may wait; the rest is for serving it: half a second of a timeout
/// of 2.5 s, several service times.
const MAX_WAIT_SHARE: f64 = 0.8;
/// Longest wait of a request whose timeout is not known: some service times, well below callers' timeouts.
const DEFAULT_MAX_WAIT_MS: u64 = 300;

/// Number of objectives from which those of routes without recent requests are removed; more than the addresses of a
/// large deployment with its idle routes (2,320).
const MAX_OBJECTIVES: usize = 4_096;

/// The waiting requests of an agent, and counters of those at its upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    running: u32,
    waiting: RankedQueue<FlowKey>,
    /// Reservations of balancers, and the slots offered for them.
    pub(super) reservations: Reservations,
    objectives: FxHashMap<SocketAddrV4, Objective>,
    shares: RouteShares,
    rate: ServiceRate,
    /// Share of the pool's slots that are at full upstreams.
    full_share: f64,
    pool_load_received_ms: u64,
    /// Moving average of running and waiting requests and of the demand by reservations.
    mean_occupancy: f64,
    full: bool,
    /// Time at which a request last ended while all slots were in use.
    last_end_ms: Option<u64>,
    /// Requests that have left the upstream.
    ended: u64,
}

/// When a request gets a slot of the upstream, which serves in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// A slot was free on its arrival.
    Now,
    /// Once this many requests have ended.
    After(u64),
}

/// A request that the upstream has answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnsweredRequest {
    /// Time at which it was sent to the upstream.
    pub(super) since_ms: u64,
    pub(super) turn: Turn,
    /// Whether the upstream was cold when it began.
    pub(super) cold: bool,
    /// Length of the first packet of the answer.
    pub(super) bytes: u32,
}

impl Admission {
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Estimate of the upstream's service time.
    pub(super) fn rate(&self) -> &ServiceRate {
        &self.rate
    }

    pub(super) fn rate_mut(&mut self) -> &mut ServiceRate {
        &mut self.rate
    }

    /// Discards the service times of an upstream process of `pool` that was replaced; they remain as the prior.
    pub(super) fn reset_service_times(&mut self, pool: PoolId) {
        self.rate.restart(pool);
        self.last_end_ms = None;
        self.mean_occupancy = f64::from(self.running) + self.waiting.len() as f64;
    }

    pub(super) fn set_objective(&mut self, service: SocketAddrV4, objective: Objective) {
        if self.objectives.len() >= MAX_OBJECTIVES && !self.objectives.contains_key(&service) {
            self.objectives.retain(|it, _| self.shares.is_known(*it));
        }
        self.objectives.insert(service, objective);
    }

    /// Request timeout of the service, if known.
    pub(super) fn timeout_ms(&self, service: SocketAddrV4) -> Option<u64> {
        self.objectives.get(&service).map(|it| u64::from(it.timeout_ms))
    }

    /// Stores the pool load that a balancer sent with an opening packet.
    pub(super) fn set_pool_load(&mut self, pool: PoolLoad, now_ms: u64) {
        self.rate.set_pool(pool.service_ms, pool.answer_bytes);
        self.full_share = f64::from(pool.full_percent) / 100.0;
        self.pool_load_received_ms = now_ms;
    }

    /// Samples the requests in progress. Returns whether the full state changed.
    pub(super) fn update_full(&mut self, slots: Option<u32>) -> bool {
        let (running, waiting) = (f64::from(self.running), self.waiting.len() as f64);
        let reserved = f64::from(self.reservations.demand());
        self.mean_occupancy +=
            (running + waiting + reserved - self.mean_occupancy) * OCCUPANCY_WEIGHT;
        let slots = slots.unwrap_or(u32::MAX);
        let least = if self.full { slots } else { slots.saturating_add(EXTRA_REQUESTS) };
        let before = std::mem::replace(&mut self.full, self.mean_occupancy >= f64::from(least));
        self.full != before
    }

    /// Whether the upstream has at least as many requests as it can run.
    pub(super) fn is_full(&self) -> bool {
        self.full
    }

    /// Whether a new request goes to the upstream without waiting.
    pub(super) fn admits(&self, slots: Option<u32>, now_ms: u64) -> bool {
        !self.is_pool_full(now_ms) || self.waiting.is_empty() && self.has_room(slots)
    }

    fn is_pool_full(&self, now_ms: u64) -> bool {
        let fresh = now_ms.saturating_sub(self.pool_load_received_ms) <= POOL_LOAD_TTL_MS;
        fresh && self.full_share >= POOL_FULL_SHARE
    }

    /// Counts a request sent to the upstream. Returns when it gets a slot.
    pub(super) fn start(&mut self, slots: Option<u32>) -> Turn {
        self.running += 1;
        let Some(slots) = slots else {
            return Turn::After(self.ended);
        };
        match self.running.saturating_sub(slots.max(1)) {
            0 => Turn::Now,
            ahead => Turn::After(self.ended + u64::from(ahead)),
        }
    }

    /// Frees the slot of a request that ended without an answer or is no longer counted.
    pub(super) fn end(&mut self) {
        self.count_end();
        self.last_end_ms = None;
    }

    fn count_end(&mut self) {
        self.running = self.running.saturating_sub(1);
        self.ended += 1;
    }

    /// Frees the slot of an answered request and samples the service time: that of the request if it had a free slot on
    /// arrival, else the time between two answers while all slots are in use. A request that is answered before its
    /// turn was refused and is no sample.
    pub(super) fn answered(&mut self, request: AnsweredRequest, slots: Option<u32>, now_ms: u64) {
        let took_ms = match request.turn {
            Turn::Now => Some(now_ms.saturating_sub(request.since_ms)),
            Turn::After(ended) if self.ended < ended => return self.count_end(),
            Turn::After(_) => None,
        };
        let all = slots.map(|it| it.max(1)).filter(|&it| self.running >= it);
        let since_ms = self.last_end_ms.filter(|_| all.is_some());
        let between = since_ms.zip(all).map(|(it, slots)| (now_ms - it) * u64::from(slots));
        self.count_end();
        self.last_end_ms = all.filter(|&it| self.running >= it).map(|_| now_ms);
        self.rate.record_answer_bytes(request.bytes);
        if let Some(sample) = took_ms.or(between) {
            self.rate.record(sample, request.cold);
        }
    }

    /// Estimated service time; zero if nothing is known.
    fn mean_ms(&self) -> f64 {
        self.rate.estimate().map_or(0.0, |it| it.ms)
    }

    /// Counts a request of a route, whether it waits or not. Returns whether it is beyond the route's usual share.
    pub(super) fn is_beyond_share(&mut self, service: SocketAddrV4, now_ms: u64) -> bool {
        self.shares.is_beyond(service, now_ms)
    }

    /// Report on a route with a waiting request beyond its share, at a limited rate.
    pub(super) fn share_report(
        &mut self,
        service: SocketAddrV4,
        now_ms: u64,
    ) -> Option<BeyondShare> {
        self.shares.report(service, now_ms)
    }

    /// The known routes and their counters.
    pub(super) fn route_usage(&self) -> impl Iterator<Item = (SocketAddrV4, RouteUsage)> {
        self.shares.usage()
    }

    /// Adds a waiting request that its caller issued at `issued_ms`. Returns the time at which its wait expires.
    pub(super) fn wait(
        &mut self,
        key: FlowKey,
        issued_ms: u64,
        beyond_share: bool,
        now_ms: u64,
    ) -> u64 {
        let objective = self.objectives.get(&key.service).copied();
        self.waiting.insert(key, Terms::new(objective, issued_ms, beyond_share));
        self.shares.begin_wait(key.service);
        let Some(objective) = objective else {
            return now_ms + DEFAULT_MAX_WAIT_MS;
        };
        let left = (issued_ms + u64::from(objective.timeout_ms)).saturating_sub(now_ms);
        now_ms + (left as f64 * MAX_WAIT_SHARE) as u64
    }

    /// The lowest ranked waiting request, if more wait than the upstream can serve within their timeouts.
    pub(super) fn excess(&mut self, slots: Option<u32>, now_ms: u64) -> Option<FlowKey> {
        let timeout_ms = self.objectives.values().map(|it| it.timeout_ms).min()?;
        let rounds = f64::from(timeout_ms) * BACKLOG_SHARE / self.mean_ms().max(1.0);
        let most = (f64::from(slots?.max(1)) * rounds) as usize;
        if self.waiting.len() <= most {
            return None;
        }
        self.waiting.last(self.end_ms(now_ms)).map(|it| it.1)
    }

    pub(super) fn remove(&mut self, key: FlowKey) {
        if self.waiting.remove(&key).is_some() {
            self.shares.end_wait(key.service);
        }
    }

    /// The next request to release: if the upstream has room, or the pool is no longer full.
    pub(super) fn next(&mut self, slots: Option<u32>, now_ms: u64) -> Option<(Rank, FlowKey)> {
        if self.is_pool_full(now_ms) && !self.has_room(slots) {
            return None;
        }
        self.waiting.first(self.end_ms(now_ms))
    }

    /// The next reservation to offer a slot for, if the upstream has room.
    pub(super) fn next_reservation(
        &mut self,
        slots: Option<u32>,
        now_ms: u64,
    ) -> Option<(Rank, ReservationKey)> {
        slots.filter(|&it| self.has_room_to_offer(it))?;
        let end_ms = now_ms + (self.mean_ms() * BOUND_SERVICE_TIME_MARGIN) as u64;
        self.reservations.first(end_ms + self.reservations.binding_ms())
    }

    /// Whether the upstream can take another request. It can while its slots are not known.
    pub(super) fn has_room(&self, slots: Option<u32>) -> bool {
        slots.is_none_or(|it| {
            let most = it.max(1) + EXTRA_REQUESTS;
            let cover = self.reservations.cover(it, self.mean_ms());
            self.running < most && self.running + self.reservations.offered() < most + cover
        })
    }

    /// Whether the upstream will have a slot by the time at which a request can be bound to it. Requests that wait here
    /// can use the slots that are free until then.
    fn has_room_to_offer(&self, slots: u32) -> bool {
        let cover = self.reservations.cover(slots, self.mean_ms());
        let cover = cover.saturating_sub(self.waiting.len() as u32);
        let most = slots.max(1) + EXTRA_REQUESTS + cover;
        self.running + self.reservations.offered() < most
    }

    /// Time at which a request that starts now is expected to end.
    pub(super) fn end_ms(&self, now_ms: u64) -> u64 {
        now_ms + (self.mean_ms() * SERVICE_TIME_MARGIN) as u64
    }
}
