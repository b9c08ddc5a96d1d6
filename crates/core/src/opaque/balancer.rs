//! Decisions of a balancer on opaque flows.
//!
//! A balancer remembers where the flows are whose packets it gets, but nothing depends on that memory: what it does
//! not know it searches for among the agents of the route's pools.

mod duties;
mod search;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

use rustc_hash::FxHashMap;

use self::{
    duties::MAX_WITHDRAWN,
    search::{SEARCH_MS, Search},
};
use super::{
    FlowKey, Head, Kind, PoolId,
    effect::{Answer, Ask, Decision, Drop, Effect, Payload, Relay, Why, drop, note, reset},
    fleet::{Change, Fleet, Listed, Plan, Report, ZoneId},
    hold::Hold,
    route::{Lookup, RouteTable, Routes, Stamp},
    walk::Walk,
    zone::{Regions, ZoneNews, ZonesOut},
};

/// Time for which packets are held for an agent that restarts: a start takes about a second.
const RESTART_HOLD_MS: u64 = 3_000;
/// Time after which an unused flow is forgotten. It is searched for when it comes back.
const FLOW_IDLE_MS: u64 = 20_000;
/// Pause between two looks for such flows.
const PRUNE_EVERY_MS: u64 = 5_000;
/// Time after the first list of members from which the balancer takes its view of them for complete: whoever joined
/// after the list reports to this balancer as soon as to those that place flows there, so a few round trips between regions
/// are enough. After a loss of power callers of dead flows learn it by this time later: with three times as much some 90 of
/// 2,500 requests of its two seconds more are late (large fleet, two days with a loss of power).
const SETTLED_AFTER_MS: u64 = 100;
/// Pause between two looks for agents to greet: a look passes over all of them, 5,900 in the size designed for.
const GREET_LOOK_MS: u64 = 60;
/// Time without any event after which the balancer's process must have stood still: it looks at what is due each 20 ms.
const STOOD_STILL_MS: u64 = 1_000;
/// Time after the first list of members at which it is read again if some of them never reported: they may have left
/// just then. Two round trips of a greeting on a slow VM.
const LIST_AGAIN_MS: u64 = 600;

#[derive(Clone, Debug, Default)]
struct Flow {
    agent: Option<SocketAddrV4>,
    /// Pool in which the flow was placed or found. A later configuration does not move it.
    pool: Option<PoolId>,
    confirmed: bool,
    search: Option<Search>,
    failed_ms: Option<u64>,
    failures: u32,
    /// When the caller's last packet came.
    packet_ms: u64,
    seen_ms: u64,
    ack: u32,
}

/// State of a balancer.
#[derive(Debug)]
pub struct Balancer {
    address: SocketAddrV4,
    zone: ZoneId,
    routes: RouteTable,
    fleet: Fleet,
    flows: FxHashMap<FlowKey, Flow>,
    hold: Hold,
    questions: BTreeMap<SocketAddrV4, Vec<FlowKey>>,
    /// Agents whose objects this balancer had taken off the store's list, as they were gone.
    withdrawn: BTreeSet<SocketAddrV4>,
    /// Agents that said that they leave, and when. While the store is away they can't remove their objects themselves.
    left: BTreeMap<SocketAddrV4, u64>,
    /// The configuration that a peer was asked for last, and when.
    asked: Option<(Stamp, u64)>,
    listed_ms: Option<u64>,
    listed_again: bool,
    event_ms: u64,
    greeted_ms: u64,
    pruned_ms: u64,
}

impl Balancer {
    /// A balancer that other processes reach at `address`.
    pub fn new(address: SocketAddrV4, zone: ZoneId) -> Balancer {
        Balancer {
            address,
            zone,
            routes: RouteTable::default(),
            fleet: Fleet::default(),
            flows: FxHashMap::default(),
            hold: Hold::default(),
            questions: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            left: BTreeMap::new(),
            asked: None,
            listed_ms: None,
            listed_again: false,
            event_ms: 0,
            greeted_ms: 0,
            pruned_ms: 0,
        }
    }

    /// A balancer that places no flow before it knows which zones are out of service.
    pub fn with_unknown_zones(self) -> Balancer {
        Balancer { fleet: self.fleet.with_unknown_zones(), ..self }
    }

    /// A balancer that knows the region of each zone.
    pub fn with_regions(self, regions: Regions) -> Balancer {
        Balancer { fleet: self.fleet.with_regions(regions), ..self }
    }

    /// The routes in force.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// The agents.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Flows remembered.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Bytes of held packets.
    pub fn held_bytes(&self) -> usize {
        self.hold.bytes()
    }

    /// Puts routes in force; false if newer ones are.
    pub fn put_routes(&mut self, routes: Routes) -> bool {
        self.routes.put(routes)
    }

    /// Takes news on zones out of service.
    pub fn put_zones(&mut self, news: ZonesOut, now_ms: u64) -> ZoneNews {
        self.fleet.put_zones(news, now_ms)
    }

    /// Takes a peer's word on zones whose entries the store lost; whether it changes anything.
    pub fn learn_lost_zones(&mut self, names: Vec<String>, now_ms: u64) -> bool {
        self.fleet.learn_lost_zones(names, now_ms)
    }

    /// Takes back zones whose lost entries were not written again in time; whether there were some.
    pub fn release_zones(&mut self, now_ms: u64) -> bool {
        self.fleet.release_zones(now_ms)
    }

    /// Takes the store's list of members.
    pub fn list(&mut self, members: &[Listed], now_ms: u64) {
        self.listed_ms.get_or_insert(now_ms);
        self.fleet.list(members, now_ms);
    }

    /// Takes members that a peer knows of, which may be some of them only.
    pub fn learn(&mut self, members: &[Listed], now_ms: u64) {
        self.fleet.learn(members, now_ms);
    }

    /// Takes an agent's report.
    pub fn report(
        &mut self,
        from: SocketAddrV4,
        report: Report,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) -> Change {
        self.wake(now_ms);
        let change = self.fleet.report(from, report, now_ms);
        if change == Change::Restarted {
            self.release(from, out);
        }
        if change == Change::Left && self.left.len() < MAX_WITHDRAWN {
            self.left.insert(from, now_ms);
        }
        if change == Change::Old || report.plan == Plan::Leave {
            return change;
        }
        self.left.remove(&from);
        if self.withdrawn.remove(&from) {
            out.push(Effect::Unlisted { to: from });
        }
        change
    }

    /// Takes a packet that a caller sent.
    pub fn packet(&mut self, head: &Head, bytes: &[u8], now_ms: u64, out: &mut Vec<Effect>) {
        self.wake(now_ms);
        match head.kind {
            Kind::Open => self.open(head, now_ms, out),
            Kind::Data | Kind::Finish | Kind::Reset => self.carry(head, bytes, now_ms, out),
        }
    }

    /// Takes an agent's answer; `returned` is the packet that it sent back.
    pub fn answer(
        &mut self,
        from: SocketAddrV4,
        key: FlowKey,
        answer: Answer,
        returned: Option<(&Head, &[u8])>,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        match answer {
            Answer::Here => self.here(from, key, now_ms, out),
            Answer::Absent => self.absent(from, key, returned, now_ms, out),
            Answer::WrongPool(pool) => {
                self.fleet.move_to(from, pool);
                self.absent(from, key, returned, now_ms, out);
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.wake(now_ms);
        self.greet(now_ms, out);
        self.list_again(now_ms, out);
        self.widen(now_ms, out);
        for key in self.hold.expired(now_ms) {
            self.expire(key, now_ms, out);
        }
        if now_ms.saturating_sub(self.pruned_ms) >= PRUNE_EVERY_MS {
            self.pruned_ms = now_ms;
            self.flows.retain(|_, it| now_ms.saturating_sub(it.seen_ms) < FLOW_IDLE_MS);
        }
    }

    fn greet(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if now_ms.saturating_sub(self.greeted_ms) < GREET_LOOK_MS {
            return;
        }
        self.greeted_ms = now_ms;
        for to in self.fleet.to_greet(now_ms) {
            out.push(Effect::Greet { to });
        }
    }

    /// Notes the time. While the process stood still it heard nobody, and that says nothing about the agents.
    fn wake(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.event_ms);
        if passed > STOOD_STILL_MS && self.event_ms > 0 {
            self.fleet.excuse(passed, now_ms);
            self.listed_ms = self.listed_ms.map(|_| now_ms);
        }
        self.event_ms = now_ms;
    }

    /// Asks once more for the list of members if the first one names some that never reported.
    fn list_again(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let due = self.listed_ms.is_some_and(|it| now_ms.saturating_sub(it) >= LIST_AGAIN_MS);
        if !due || self.listed_again {
            return;
        }
        self.listed_again = true;
        if self.fleet.unheard() > 0 {
            out.push(Effect::List);
        }
    }

    fn open(&mut self, head: &Head, now_ms: u64, out: &mut Vec<Effect>) {
        let key = head.key;
        let copies = head.ack;
        let route = match self.routes.lookup(key.service) {
            Lookup::NoConfig => return drop(key, Drop::NoConfig, out),
            Lookup::Dropped | Lookup::None => return reset(key, 0, Why::NoRoute, out),
            Lookup::Route(route) => route,
        };
        let (objective, allowed) = (route.objective(), route.regions());
        let Some(pool) = route.pick(key.hash()) else {
            return reset(key, 0, Why::NoUpstream, out);
        };
        if !self.fleet.has_region(allowed) {
            return reset(key, 0, Why::NoRegion, out);
        }
        if self.fleet.zones_out().is_none() {
            return drop(key, Drop::NoConfig, out);
        }
        let known = self.flows.get(&key).filter(|_| copies > 0);
        if let Some(flow) = known.filter(|it| it.confirmed && copies == 1) {
            // The flow's upstream has answered, so the answer was lost: its agent sends another one.
            let may_get =
                |it: &SocketAddrV4| !self.fleet.is_out(*it) && self.fleet.may_get(*it, allowed);
            if let Some(agent) = flow.agent.filter(may_get) {
                let pool = flow.pool.unwrap_or(pool);
                return self.relay(agent, Ask::Deliver, pool, Payload::Current, out);
            }
        }
        let avoid = known.and_then(|it| it.agent);
        let found = self.fleet.candidates(pool, key.hash(), self.zone, avoid, allowed, now_ms);
        let Some(&first) = found.agents.first() else {
            return self.open_nowhere(key, pool, now_ms, out);
        };
        let flow =
            Flow { agent: Some(first), pool: Some(pool), seen_ms: now_ms, ..Flow::default() };
        self.flows.insert(key, flow);
        note(key, Decision::Placed { first, copies }, out);
        let walk = Walk::new(found.agents, found.limit).with_objective(objective);
        let cold_rate = self.routes.cold_rate(pool);
        let walk = walk.with_pool(found.pool).with_cold_rate(cold_rate);
        self.relay(first, Ask::Open(walk), pool, Payload::Current, out);
    }

    fn open_nowhere(&self, key: FlowKey, pool: PoolId, now_ms: u64, out: &mut Vec<Effect>) {
        let complete = self.is_settled(now_ms) && self.fleet.is_complete(|it| it == pool, now_ms);
        if complete {
            let why = if self.fleet.has_out(pool) { Why::ZonesOut } else { Why::NoUpstream };
            reset(key, 0, why, out)
        } else {
            drop(key, Drop::NoUpstream, out)
        }
    }

    fn carry(&mut self, head: &Head, bytes: &[u8], now_ms: u64, out: &mut Vec<Effect>) {
        let key = head.key;
        let (pool, dropped) = match self.routes.lookup(key.service) {
            Lookup::NoConfig => return drop(key, Drop::NoConfig, out),
            Lookup::None => return drop(key, Drop::NoRoute, out),
            Lookup::Dropped => (None, true),
            Lookup::Route(route) => (route.pick(key.hash()), false),
        };
        if dropped {
            self.flows.remove(&key);
            if head.kind != Kind::Reset {
                reset(key, head.ack, Why::RouteDropped, out);
            }
            return;
        }
        let Some(pool) = pool else {
            return drop(key, Drop::NoRoute, out);
        };
        let flow = self.flows.entry(key).or_default();
        let pool = flow.pool.unwrap_or(pool);
        flow.seen_ms = now_ms;
        flow.packet_ms = now_ms;
        flow.ack = head.ack;
        if flow.search.is_some() {
            self.keep(key, bytes, now_ms + SEARCH_MS, out);
            return;
        }
        let Some(agent) = flow.agent else {
            return self.search(key, bytes, None, now_ms, out);
        };
        if self.fleet.is_away(agent) {
            note(key, Decision::Held { agent }, out);
            self.keep(key, bytes, now_ms + RESTART_HOLD_MS, out);
            return;
        }
        if self.fleet.is_gone(agent, now_ms) {
            return self.search(key, bytes, None, now_ms, out);
        }
        self.relay(agent, Ask::Deliver, pool, Payload::Current, out);
    }

    fn is_settled(&self, now_ms: u64) -> bool {
        self.listed_ms.is_some_and(|it| now_ms.saturating_sub(it) > SETTLED_AFTER_MS)
    }

    fn relay(
        &self,
        to: SocketAddrV4,
        ask: Ask,
        pool: PoolId,
        payload: Payload,
        out: &mut Vec<Effect>,
    ) {
        let relay = Relay { ask, pool, balancer: self.address };
        out.push(Effect::Relay { to, relay, payload });
    }
}
