//! Late binding of opening packets in a full pool (Sparrow, SOSP 2013).
//!
//! Reports are up to a second old, so in a full pool they don't tell which upstream has the next free slot, and a flow
//! cannot move once it is open. The balancer therefore defers opening packets: it reserves slots at a few agents and
//! sends the highest-ranked deferred opening packet to whichever agent offers a slot first. Nothing has run before that,
//! so it may wait, move or be refused without harm.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    iter::once,
    net::SocketAddrV4,
};

use rustc_hash::FxHashMap;

use super::{
    super::{
        FlowKey, PacketHeader, PoolId,
        effect::{
            Decision, Effect, Payload, RelayAction, Reservation, ResetReason, UndeferReason, note,
            push_reset,
        },
        fleet::Candidates,
        flow::{opening_age_ms, seq_after},
        ranked_queue::{Rank, RankedQueue, Terms},
        route::Lookup,
        route_share::RouteShares,
    },
    Balancer, Flow, OpeningPacket,
};

/// Most deferred opening packets.
const MAX_OPENINGS: usize = 10_000;
/// Most bytes of deferred opening packets, including [`ENTRY_BYTES`] for each.
const MAX_BYTES: usize = 8 << 20;
/// Approximate size of the entries of a deferred opening packet in all maps.
const ENTRY_BYTES: usize = 512;
/// Age of the caller's attempt at which its opening packet is placed without an offer: callers give up at 1,400 ms, and
/// the upstream still has to answer.
const MAX_AGE_MS: u64 = 1_000;
/// Time without an offer after which an opening packet is placed: reservations or offers are lost, or the agents are
/// much slower than a service time.
const NO_OFFER_MS: u64 = 300;
/// Most opening packets placed without an offer in one tick, so that a small balancer stays responsive.
const MAX_PLACED_PER_TICK: usize = 200;
/// Reservations remembered for each agent; agents keep as many of a balancer with the same class.
const MAX_RESERVED_PER_AGENT: usize = 8;
/// Multiple of the mean service time within which the request of an opening packet that is bound now is expected to end:
/// three times the mean include 95% of exponentially distributed service times, and the upstream may run one request
/// before it. With half of this, openings were bound too late to be in time at a pool beyond its capacity.
pub(in crate::opaque) const BOUND_SERVICE_TIME_MARGIN: f64 = 4.0;

#[derive(Debug)]
pub(super) struct Opening {
    head: PacketHeader,
    packet: Vec<u8>,
    pool: PoolId,
    arrived_ms: u64,
    issued_ms: u64,
    /// Whether it is beyond the usual share of its route.
    beyond_share: bool,
    /// Time of the next check, as in [`DeferredOpenings::checks`].
    check_ms: u64,
}

impl Opening {
    fn bytes(&self) -> usize {
        self.packet.len() + ENTRY_BYTES
    }
}

/// Deferred opening packets of one service.
#[derive(Debug, Default)]
struct ServiceQueue {
    ranked: RankedQueue<FlowKey>,
    /// Time of the last offer that could be used for this service.
    last_offer_ms: u64,
}

#[derive(Debug, Default)]
struct PoolQueue {
    /// By service, as an agent may be outside the allowed regions of some.
    services: BTreeMap<SocketAddrV4, ServiceQueue>,
    /// Mean service time of the pool at the last deferral.
    service_ms: Option<u32>,
}

impl PoolQueue {
    /// Time at which a request that starts now is expected to end.
    fn end_ms(&self, now_ms: u64) -> u64 {
        now_ms + (f64::from(self.service_ms.unwrap_or(0)) * BOUND_SERVICE_TIME_MARGIN) as u64
    }
}

/// The deferred opening packets of a balancer.
#[derive(Debug, Default)]
pub(super) struct DeferredOpenings {
    openings: FxHashMap<FlowKey, Opening>,
    pools: BTreeMap<PoolId, PoolQueue>,
    /// Times at which opening packets are checked for placement without an offer.
    checks: BTreeSet<(u64, FlowKey)>,
    bytes: usize,
    /// Terms of the reservations sent to each agent since the last decline, oldest first.
    reserved: FxHashMap<SocketAddrV4, VecDeque<Terms>>,
    /// Routes changed since the last tick.
    pub(super) routes_changed: bool,
    /// Arrivals of opening packets by pool and route, also while the pool has room.
    shares: BTreeMap<PoolId, RouteShares>,
}

impl DeferredOpenings {
    pub(super) fn len(&self) -> usize {
        self.openings.len()
    }

    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    fn is_over_limit(&self) -> bool {
        self.openings.len() > MAX_OPENINGS || self.bytes > MAX_BYTES
    }

    /// Replaces a deferred opening packet by the caller's newer copy, which tells the age of the attempt. False if none
    /// is deferred, or one of an earlier flow with the same key.
    pub(super) fn replace_copy(&mut self, head: &PacketHeader, bytes: &[u8]) -> bool {
        let Some(opening) = self.openings.get_mut(&head.key) else {
            return false;
        };
        if opening.head.seq != head.seq {
            self.remove(&head.key);
            return false;
        }
        if head.ack > opening.head.ack {
            self.bytes = self.bytes - opening.packet.len() + bytes.len();
            opening.head = *head;
            opening.packet = bytes.to_vec();
        }
        true
    }

    /// Counts a new opening packet. Returns whether it is beyond the usual share of its route.
    pub(super) fn is_beyond_share(
        &mut self,
        pool: PoolId,
        service: SocketAddrV4,
        now_ms: u64,
    ) -> bool {
        self.shares.entry(pool).or_default().is_beyond(service, now_ms)
    }

    fn insert(&mut self, opening: Opening, terms: Terms) {
        let key = opening.head.key;
        self.bytes += opening.bytes();
        self.checks.insert((opening.check_ms, key));
        let pool = self.pools.entry(opening.pool).or_default();
        pool.services.entry(key.service).or_default().ranked.insert(key, terms);
        self.openings.insert(key, opening);
    }

    pub(super) fn remove(&mut self, key: &FlowKey) -> Option<Opening> {
        let opening = self.openings.remove(key)?;
        self.bytes -= opening.bytes();
        self.checks.remove(&(opening.check_ms, *key));
        let pool = self.pools.get_mut(&opening.pool)?;
        if let Some(service) = pool.services.get_mut(&key.service) {
            service.ranked.remove(key);
            if service.ranked.is_empty() {
                pool.services.remove(&key.service);
            }
        }
        if pool.services.is_empty() {
            self.pools.remove(&opening.pool);
        }
        Some(opening)
    }

    /// Removes the opening packet of a flow that its caller resets. A reset from before the opening packet belongs to an
    /// earlier flow with the same key.
    pub(super) fn remove_reset(&mut self, reset: &PacketHeader) {
        let opening = self.openings.get(&reset.key);
        if opening.is_some_and(|it| !seq_after(it.head.seq, reset.seq)) {
            self.remove(&reset.key);
        }
    }

    fn services(&self, pool: PoolId) -> Vec<SocketAddrV4> {
        let services = self.pools.get(&pool).into_iter().flat_map(|it| it.services.keys());
        services.copied().collect()
    }

    /// The highest-ranked opening packet of a service.
    fn first_of(
        &mut self,
        pool: PoolId,
        service: SocketAddrV4,
        now_ms: u64,
    ) -> Option<(Rank, FlowKey)> {
        let pool = self.pools.get_mut(&pool)?;
        let end_ms = pool.end_ms(now_ms);
        pool.services.get_mut(&service)?.ranked.first(end_ms)
    }

    /// The highest-ranked opening packet of a pool.
    fn first(&mut self, pool: PoolId, now_ms: u64) -> Option<FlowKey> {
        let pool = self.pools.get_mut(&pool)?;
        let end_ms = pool.end_ms(now_ms);
        pool.services.values_mut().filter_map(|it| it.ranked.first(end_ms)).min().map(|it| it.1)
    }

    /// The lowest-ranked opening packet of a pool.
    fn last(&mut self, pool: PoolId, now_ms: u64) -> Option<FlowKey> {
        let pool = self.pools.get_mut(&pool)?;
        let end_ms = pool.end_ms(now_ms);
        pool.services.values_mut().filter_map(|it| it.ranked.last(end_ms)).max().map(|it| it.1)
    }

    fn end_ms(&self, pool: PoolId, now_ms: u64) -> u64 {
        self.pools.get(&pool).map_or(now_ms, |it| it.end_ms(now_ms))
    }

    fn record_reservation(&mut self, agent: SocketAddrV4, terms: Terms, now_ms: u64) {
        let reserved = self.reserved.entry(agent).or_default();
        while let Some(oldest) = reserved.front()
            && (reserved.len() >= MAX_RESERVED_PER_AGENT || oldest.issued_ms + MAX_AGE_MS <= now_ms)
        {
            reserved.pop_front();
        }
        reserved.push_back(terms);
    }

    /// Removes the highest-ranked reservation sent to an agent, which the agent's offer is for.
    fn take_reservation(&mut self, agent: SocketAddrV4, end_ms: u64) -> Option<Rank> {
        let reserved = self.reserved.get_mut(&agent)?;
        let ranks = reserved.iter().map(|it| it.rank(end_ms)).enumerate();
        let (index, rank) = ranks.min_by_key(|it| it.1)?;
        reserved.remove(index);
        Some(rank)
    }

    fn record_offer(&mut self, pool: PoolId, service: SocketAddrV4, now_ms: u64) {
        let pool = self.pools.get_mut(&pool);
        if let Some(service) = pool.and_then(|it| it.services.get_mut(&service)) {
            service.last_offer_ms = now_ms;
        }
    }

    /// Time since which the opening packet has waited without an offer for its service.
    fn without_offer_since_ms(&self, opening: &Opening) -> u64 {
        let pool = self.pools.get(&opening.pool);
        let service = pool.and_then(|it| it.services.get(&opening.head.key.service));
        service.map_or(0, |it| it.last_offer_ms).max(opening.arrived_ms)
    }

    fn next_due(&self, now_ms: u64) -> Option<FlowKey> {
        self.checks.first().filter(|it| it.0 <= now_ms).map(|it| it.1)
    }

    /// Why the opening packet must be placed now; otherwise sets the time of its next check.
    fn check(&mut self, key: &FlowKey, now_ms: u64) -> Option<UndeferReason> {
        let opening = self.openings.get(key)?;
        let aged_ms = opening.issued_ms + MAX_AGE_MS;
        let no_offer_ms = self.without_offer_since_ms(opening) + NO_OFFER_MS;
        if now_ms >= aged_ms {
            return Some(UndeferReason::Aged);
        }
        if now_ms >= no_offer_ms {
            return Some(UndeferReason::NoOffer);
        }
        let check_ms = aged_ms.min(no_offer_ms);
        if let Some(opening) = self.openings.get_mut(key) {
            self.checks.remove(&(opening.check_ms, *key));
            self.checks.insert((check_ms, *key));
            opening.check_ms = check_ms;
        }
        None
    }
}

impl Balancer {
    /// Defers an opening packet that has just arrived; false if it has to be placed, as no agent can offer a slot or
    /// too many are deferred.
    pub(super) fn defer(
        &mut self,
        head: &PacketHeader,
        bytes: &[u8],
        pool: PoolId,
        found: &Candidates,
        beyond_share: bool,
        avoid: Option<SocketAddrV4>,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Lookup::Route(route) = self.routes.lookup(head.key.service) else {
            return false;
        };
        let terms_objective = route.objective();
        let agents = self.fleet.reservation_agents(&found.agents, avoid);
        if agents.is_empty() {
            return false;
        }
        let age_ms = opening_age_ms(head.ack);
        let issued_ms = now_ms.saturating_sub(age_ms);
        let opening = Opening {
            head: *head,
            packet: bytes.to_vec(),
            pool,
            arrived_ms: now_ms,
            issued_ms,
            beyond_share,
            check_ms: (now_ms + NO_OFFER_MS).min(issued_ms + MAX_AGE_MS),
        };
        self.deferred.insert(opening, Terms::new(terms_objective, issued_ms, beyond_share));
        if let Some(queue) = self.deferred.pools.get_mut(&pool) {
            queue.service_ms = found.pool.service_ms;
        }
        while self.deferred.is_over_limit()
            && let Some(last) = self.deferred.last(pool, now_ms)
        {
            if last == head.key {
                self.deferred.remove(&last);
                return false;
            }
            self.undefer(&last, UndeferReason::BoundFull, now_ms, out);
        }
        for &to in &agents {
            self.reserve(to, head.key, now_ms, out);
        }
        let agents = [agents.first().copied(), agents.get(1).copied()];
        note(head.key, Decision::Deferred { agents, held: self.deferred.len() }, out);
        true
    }

    /// Reserves a slot with the terms of this deferred opening packet.
    fn reserve(&mut self, to: SocketAddrV4, key: FlowKey, now_ms: u64, out: &mut Vec<Effect>) {
        let Some(opening) = self.deferred.openings.get(&key) else {
            return;
        };
        let objective = match self.routes.lookup(key.service) {
            Lookup::Route(route) => route.objective(),
            Lookup::NoConfig | Lookup::Dropped | Lookup::None => None,
        };
        let age_ms = now_ms.saturating_sub(opening.issued_ms).min(u64::from(u16::MAX)) as u16;
        let Opening { pool, beyond_share, .. } = *opening;
        let reservation = Reservation { pool, objective, age_ms, beyond_share };
        let terms = Terms::new(objective, opening.issued_ms, beyond_share);
        self.deferred.record_reservation(to, terms, now_ms);
        out.push(Effect::Reserve { to, reservation });
    }

    /// Reserves a slot at an agent that has become ready, so that the agents that were ready earlier don't get all of
    /// the opening packets deferred so far.
    pub(super) fn reserve_at_new_agent(
        &mut self,
        agent: SocketAddrV4,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(pool) = self.fleet.pool_of(agent) else {
            return;
        };
        let services = self.allowed_services(agent, pool);
        let first = services.into_iter().filter_map(|it| self.deferred.first_of(pool, it, now_ms));
        if let Some((_, key)) = first.min() {
            self.reserve(agent, key, now_ms, out);
        }
    }

    /// Services with deferred opening packets that the agent may serve according to the routes in force.
    fn allowed_services(&self, agent: SocketAddrV4, pool: PoolId) -> Vec<SocketAddrV4> {
        let mut services = self.deferred.services(pool);
        services.retain(|&it| match self.routes.lookup(it) {
            Lookup::Route(route) => {
                route.includes(pool) && self.fleet.is_region_allowed(agent, route.regions())
            }
            Lookup::NoConfig | Lookup::Dropped | Lookup::None => false,
        });
        services
    }

    /// Handles an agent's offer of slots: sends it the highest-ranked deferred opening packets that it may serve. If
    /// these rank lower than the reservation that the offer is for, as that one's packet was bound elsewhere, another
    /// balancer's may go first: the offer is declined and a slot reserved with the present terms.
    pub fn handle_offer(
        &mut self,
        from: SocketAddrV4,
        pool: PoolId,
        slots: u8,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        self.record_event_time(now_ms);
        for bound in 0..slots {
            let end_ms = self.deferred.end_ms(pool, now_ms);
            let reserved = self.deferred.take_reservation(from, end_ms);
            let best = self.best_opening(from, pool, now_ms, out);
            let Some((_, key)) =
                best.filter(|it| reserved.is_none_or(|r| it.0.group() <= r.group()))
            else {
                out.push(Effect::Decline { to: from, pool });
                self.deferred.reserved.remove(&from);
                return self.renew_reservations(from, pool, bound.max(1), now_ms, out);
            };
            self.bind(&key, from, now_ms, out);
        }
        self.renew_reservations(from, pool, slots, now_ms, out);
    }

    /// Reserves as many slots at the agent as it used reservations for its offer, if further opening packets are deferred
    /// for it, so that reservations do not run out while any waits.
    fn renew_reservations(
        &mut self,
        agent: SocketAddrV4,
        pool: PoolId,
        count: u8,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some((_, key)) = self.best_opening(agent, pool, now_ms, out) else {
            return;
        };
        for _ in 0..count {
            self.reserve(agent, key, now_ms, out);
        }
    }

    /// The highest-ranked deferred opening packet that the agent may serve.
    fn best_opening(
        &mut self,
        agent: SocketAddrV4,
        pool: PoolId,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) -> Option<(Rank, FlowKey)> {
        if !self.fleet.may_get_flows(agent, pool, now_ms) {
            return None;
        }
        let mut best: Option<(Rank, FlowKey)> = None;
        for service in self.allowed_services(agent, pool) {
            self.deferred.record_offer(pool, service, now_ms);
            while let Some(first) = self.deferred.first_of(pool, service, now_ms) {
                if self.is_pool_of(&first.1, pool) {
                    best = Some(best.map_or(first, |it| it.min(first)));
                    break;
                }
                // The weights of the route's pools have changed.
                self.undefer(&first.1, UndeferReason::NoOffer, now_ms, out);
            }
        }
        best
    }

    fn is_pool_of(&self, key: &FlowKey, pool: PoolId) -> bool {
        match self.routes.lookup(key.service) {
            Lookup::Route(route) => route.select_pool(key.hash()) == Some(pool),
            Lookup::NoConfig | Lookup::Dropped | Lookup::None => false,
        }
    }

    /// Sends a deferred opening packet to an agent that offered a slot.
    fn bind(&mut self, key: &FlowKey, agent: SocketAddrV4, now_ms: u64, out: &mut Vec<Effect>) {
        let Lookup::Route(route) = self.routes.lookup(key.service) else {
            return;
        };
        let objective = route.objective();
        let Some(Opening { packet, pool, arrived_ms, .. }) = self.deferred.remove(key) else {
            return;
        };
        let mut found =
            self.fleet.candidates(pool, key.hash(), self.zone, None, route.regions(), now_ms);
        let others = found.agents.into_iter().filter(|&it| it != agent);
        found.agents = once(agent).chain(others).collect();
        let candidates = self.candidate_list(pool, found, objective);
        let flow =
            Flow { agent: Some(agent), pool: Some(pool), last_used_ms: now_ms, ..Flow::default() };
        self.flows.insert(*key, flow);
        let waited_ms = now_ms.saturating_sub(arrived_ms);
        note(*key, Decision::Bound { agent, waited_ms, held: self.deferred.len() }, out);
        let payload = Payload::Buffered(packet);
        self.relay(agent, RelayAction::Assign(candidates), pool, payload, out);
    }

    /// Places a deferred opening packet without an offer.
    fn undefer(
        &mut self,
        key: &FlowKey,
        reason: UndeferReason,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(opening) = self.deferred.remove(key) else {
            return;
        };
        let waited_ms = now_ms.saturating_sub(opening.arrived_ms);
        note(*key, Decision::Undeferred { reason, waited_ms }, out);
        self.place(&opening.head, OpeningPacket::Deferred(opening.packet), now_ms, out);
    }

    /// Places the deferred opening packets that have waited for long enough or whose pool has room.
    pub(super) fn update_deferred(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if self.deferred.openings.is_empty() {
            self.deferred.reserved.clear();
            return;
        }
        if std::mem::take(&mut self.deferred.routes_changed) {
            self.reset_deferred_without_route(out);
            let routes = &self.routes;
            self.deferred.shares.retain(|&pool, _| routes.has_pool(pool));
        }
        let mut left = MAX_PLACED_PER_TICK;
        let pools: Vec<_> = self.deferred.pools.keys().copied().collect();
        for pool in pools {
            let full = self.fleet.is_pool_full(pool, now_ms);
            while !full
                && left > 0
                && let Some(key) = self.deferred.first(pool, now_ms)
            {
                left -= 1;
                self.undefer(&key, UndeferReason::Room, now_ms, out);
            }
        }
        while left > 0
            && let Some(key) = self.deferred.next_due(now_ms)
        {
            if let Some(reason) = self.deferred.check(&key, now_ms) {
                left -= 1;
                self.undefer(&key, reason, now_ms, out);
            }
        }
    }

    /// Resets the deferred opening packets of services without a route.
    fn reset_deferred_without_route(&mut self, out: &mut Vec<Effect>) {
        let pools: Vec<_> = self.deferred.pools.keys().copied().collect();
        for pool in pools {
            for service in self.deferred.services(pool) {
                if matches!(self.routes.lookup(service), Lookup::Route(_)) {
                    continue;
                }
                while let Some((_, key)) = self.deferred.first_of(pool, service, 0) {
                    self.deferred.remove(&key);
                    push_reset(key, 0, ResetReason::NoRoute, out);
                }
            }
        }
    }
}
