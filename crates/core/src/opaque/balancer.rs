//! Decisions of a balancer on opaque flows.
//!
//! A balancer remembers where the flows are whose packets it gets, but nothing depends on that memory: what it does
//! not know it searches for among the agents of the route's pools.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

use rustc_hash::FxHashMap;

use super::{
    FlowKey, Head, Kind, PoolId,
    effect::{
        Answer, Ask, Decision, Drop, Effect, Payload, Relay, Verdict, Why, drop, note, reset,
    },
    fleet::{Change, Fleet, Listed, Plan, Report, ZoneId},
    hold::Hold,
    route::{Lookup, RouteTable, Routes},
    walk::Walk,
};

/// Agents asked first, with the packet: the first ones that its opening packet went to, if the members have not
/// changed since. All others are asked without it, for many flows at once: when upstreams die together, thousands of
/// flows are searched for, and copies of their packets to whole pools would fill slow links.
const FIRST_ASKED: usize = 4;
/// Flows in one question: their keys fill two thirds of a packet.
const MAX_KEYS: usize = 64;
/// Agents to which one of them passes a packet on: their addresses and the packet fit into an Ethernet frame.
const MAX_SPREAD: usize = 28;
/// Time after which the others are asked: the round trip to the farthest agent, several times over.
const FIRST_MS: u64 = 20;
/// Time that a search lasts in all.
const SEARCH_MS: u64 = 120;
/// Pause after a search in vain: the caller's next copy comes after 200 ms and should start a new one. It doubles with
/// each further one, so that searches for what nobody holds don't take the time of those that find something.
const SEARCH_PAUSE_MS: u64 = 100;
/// How often the pause doubles at the most.
const MAX_DOUBLED: u32 = 4;
/// Time after a caller's last packet for which its flow is searched for again and again, as long as no search was
/// certain: the longest pause between two copies of a packet, and a bit.
const CALLER_PAUSE_MS: u64 = 1_700;
/// Time for which packets are held for an agent that restarts: a start takes about a second.
const RESTART_HOLD_MS: u64 = 3_000;
/// Time after which an unused flow is forgotten. It is searched for when it comes back.
const FLOW_IDLE_MS: u64 = 20_000;
/// Pause between two looks for such flows.
const PRUNE_EVERY_MS: u64 = 5_000;
/// Time after the first list of members from which the balancer takes its view of them for complete: whoever joined
/// after the list reports to this balancer within a round trip.
const SETTLED_AFTER_MS: u64 = 300;
/// Pause between two looks for agents to greet: a look passes over all of them, 5,900 in the size designed for.
const GREET_LOOK_MS: u64 = 60;
/// Silence after which an agent's object is removed: well above that of a restart on a slow VM, and short, as each object
/// of an agent that is gone keeps a fleet that lost power from being certain of anything for seconds.
const WITHDRAW_MS: u64 = 11_000;
/// Time for which an agent that leaves may remove its object itself: longer than its call may take, shorter than the time
/// after which its address may belong to another one.
const LEFT_MS: u64 = 1_500;
/// Withdrawn agents that are remembered.
const MAX_WITHDRAWN: usize = 10_000;
/// Time without any event after which the balancer's process must have stood still: it looks at what is due each 20 ms.
const STOOD_STILL_MS: u64 = 1_000;
/// Time after the first list of members at which it is read again if some of them never reported: they may have left
/// just then. Two round trips of a greeting on a slow VM.
const LIST_AGAIN_MS: u64 = 600;

#[derive(Clone, Debug)]
struct Search {
    since_ms: u64,
    /// Agents that were asked and have not answered.
    waiting: Vec<SocketAddrV4>,
    /// Agents that are asked only if none of the first holds the flow.
    rest: Vec<SocketAddrV4>,
    /// Agents whose upstreams have to be asked with a packet of the flow.
    unsure: Vec<SocketAddrV4>,
    /// Agents that do not hold the flow.
    absent: Vec<SocketAddrV4>,
    asked: usize,
}

impl Search {
    fn new(rest: Vec<SocketAddrV4>, now_ms: u64) -> Search {
        let (waiting, unsure, absent) = (Vec::new(), Vec::new(), Vec::new());
        Search { since_ms: now_ms, waiting, rest, unsure, absent, asked: 0 }
    }

    /// Whether nobody is waited for but agents that are not sure themselves.
    fn is_up_to_upstreams(&self) -> bool {
        !self.unsure.is_empty() && self.rest.is_empty() && self.waiting.len() == self.unsure.len()
    }
}

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

impl Flow {
    /// Pause between the last search in vain and the next one.
    fn pause_ms(&self) -> u64 {
        SEARCH_PAUSE_MS << self.failures.saturating_sub(1).min(MAX_DOUBLED)
    }
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
            listed_ms: None,
            listed_again: false,
            event_ms: 0,
            greeted_ms: 0,
            pruned_ms: 0,
        }
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

    /// Takes the store's list of members.
    pub fn list(&mut self, members: &[Listed], now_ms: u64) {
        self.listed_ms.get_or_insert(now_ms);
        self.fleet.list(members, now_ms);
    }

    /// Agents whose objects should be removed, as they left or have been gone for long: a fleet that starts anew would
    /// wait for them.
    pub fn to_withdraw(&self, now_ms: u64) -> Vec<SocketAddrV4> {
        let mut agents = self.fleet.long_gone(WITHDRAW_MS, now_ms);
        let left = self.left.iter().filter(|it| now_ms.saturating_sub(*it.1) >= LEFT_MS);
        agents.extend(left.map(|it| it.0));
        agents
    }

    /// The object of an agent is removed. If the agent is heard of again, it is told so.
    pub fn withdraw(&mut self, agent: SocketAddrV4) {
        self.left.remove(&agent);
        if self.withdrawn.len() < MAX_WITHDRAWN {
            self.withdrawn.insert(agent);
        }
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
        let pool = match self.routes.lookup(key.service) {
            Lookup::NoConfig => return drop(key, Drop::NoConfig, out),
            Lookup::Dropped | Lookup::None => return reset(key, 0, Why::NoRoute, out),
            Lookup::Route(route) => route.pick(key.hash()),
        };
        let Some(pool) = pool else {
            return reset(key, 0, Why::NoUpstream, out);
        };
        let known = self.flows.get(&key).filter(|_| copies > 0);
        if let Some(flow) = known.filter(|it| it.confirmed && copies == 1) {
            // The flow's upstream has answered, so the answer was lost: its agent sends another one.
            if let Some(agent) = flow.agent {
                let pool = flow.pool.unwrap_or(pool);
                return self.relay(agent, Ask::Deliver, pool, Payload::Current, out);
            }
        }
        let avoid = known.and_then(|it| it.agent);
        let found = self.fleet.candidates(pool, key.hash(), self.zone, avoid, now_ms);
        let Some(&first) = found.agents.first() else {
            return self.open_nowhere(key, pool, now_ms, out);
        };
        let flow =
            Flow { agent: Some(first), pool: Some(pool), seen_ms: now_ms, ..Flow::default() };
        self.flows.insert(key, flow);
        note(key, Decision::Placed { first, copies }, out);
        let walk = Walk::new(found.agents, found.limit);
        self.relay(first, Ask::Open(walk), pool, Payload::Current, out);
    }

    fn open_nowhere(&self, key: FlowKey, pool: PoolId, now_ms: u64, out: &mut Vec<Effect>) {
        let complete = self.is_settled(now_ms) && self.fleet.is_complete(|it| it == pool, now_ms);
        if complete {
            reset(key, 0, Why::NoUpstream, out)
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

    fn search(
        &mut self,
        key: FlowKey,
        bytes: &[u8],
        except: Option<SocketAddrV4>,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Lookup::Route(route) = self.routes.lookup(key.service) else {
            return drop(key, Drop::NoRoute, out);
        };
        let flow = self.flows.entry(key).or_default();
        flow.agent = None;
        flow.confirmed = false;
        flow.seen_ms = now_ms;
        if flow.failed_ms.is_some_and(|it| now_ms.saturating_sub(it) < flow.pause_ms()) {
            // The next search is due soon and takes the packet along.
            let due_ms = now_ms + flow.pause_ms();
            return self.keep(key, bytes, due_ms, out);
        }
        let allows = |it| route.allows(it);
        let mut first = self.fleet.holders(allows, key.hash(), self.zone, now_ms);
        first.retain(|&it| Some(it) != except);
        let rest = first.split_off(first.len().min(FIRST_ASKED));
        let asked = first.len();
        note(key, Decision::Searched { asked }, out);
        self.ask(&first, bytes, out);
        let mut search = Search::new(rest, now_ms);
        search.waiting = first;
        search.asked = asked;
        search.absent.extend(except);
        self.flows.entry(key).or_default().search = Some(search);
        self.keep(key, bytes, now_ms + SEARCH_MS, out);
    }

    fn ask(&self, agents: &[SocketAddrV4], bytes: &[u8], out: &mut Vec<Effect>) {
        for &agent in agents {
            if let Some(pool) = self.fleet.pool_of(agent) {
                self.relay(agent, Ask::Locate, pool, Payload::Held(bytes.to_vec()), out);
            }
        }
    }

    /// Marks the agents that were not asked first as asked; whether there are any. The questions go out together.
    fn ask_rest(&mut self, key: FlowKey, out: &mut Vec<Effect>) -> bool {
        let search = self.flows.get_mut(&key).and_then(|it| it.search.as_mut());
        let Some(search) = search.filter(|it| !it.rest.is_empty()) else {
            return false;
        };
        let rest = std::mem::take(&mut search.rest);
        search.waiting.extend(&rest);
        search.asked += rest.len();
        note(key, Decision::Searched { asked: search.asked }, out);
        for agent in rest {
            self.questions.entry(agent).or_default().push(key);
        }
        true
    }

    /// Goes on with searches whose first agents have not answered in time, and sends the questions that have gathered.
    fn widen(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        for key in self.hold.keys() {
            let search = self.flows.get(&key).and_then(|it| it.search.as_ref());
            if search.is_some_and(|it| now_ms.saturating_sub(it.since_ms) >= FIRST_MS) {
                self.ask_rest(key, out);
                self.spread(key, out);
            }
        }
        for (to, keys) in std::mem::take(&mut self.questions) {
            for keys in keys.chunks(MAX_KEYS) {
                out.push(Effect::Query { to, keys: keys.to_vec() });
            }
        }
    }

    /// Takes what an agent knows of flows that were searched for.
    pub fn verdict(
        &mut self,
        from: SocketAddrV4,
        key: FlowKey,
        verdict: Verdict,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        match verdict {
            Verdict::Here => self.here(from, key, now_ms, out),
            Verdict::Absent => self.absent(from, key, None, now_ms, out),
            Verdict::Unsure => self.unsure(from, key, out),
        }
    }

    fn unsure(&mut self, from: SocketAddrV4, key: FlowKey, out: &mut Vec<Effect>) {
        let search = self.flows.get_mut(&key).and_then(|it| it.search.as_mut());
        let Some(search) = search.filter(|it| it.waiting.contains(&from)) else {
            return;
        };
        if !search.unsure.contains(&from) {
            search.unsure.push(from);
        }
        if search.is_up_to_upstreams() {
            self.spread(key, out);
        }
    }

    /// Has the upstreams of unsure agents asked with a packet of the flow. After a power cut all agents are unsure, and
    /// a copy for each of them would fill a balancer's link; so an agent passes the packet on to others of its pool.
    fn spread(&mut self, key: FlowKey, out: &mut Vec<Effect>) {
        let search = self.flows.get_mut(&key).and_then(|it| it.search.as_mut());
        let Some(search) = search.filter(|it| !it.unsure.is_empty()) else {
            return;
        };
        let unsure = std::mem::take(&mut search.unsure);
        let Some(packet) = self.hold.first(&key).map(<[u8]>::to_vec) else {
            return;
        };
        let mut pools: BTreeMap<PoolId, Vec<SocketAddrV4>> = BTreeMap::new();
        for agent in unsure {
            if let Some(pool) = self.fleet.pool_of(agent) {
                pools.entry(pool).or_default().push(agent);
            }
        }
        for (pool, agents) in pools {
            for agents in agents.chunks(MAX_SPREAD) {
                self.spread_in(pool, agents, &packet, out);
            }
        }
    }

    fn spread_in(
        &self,
        pool: PoolId,
        agents: &[SocketAddrV4],
        packet: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let (packet, agents) = (packet.to_vec(), agents.to_vec());
        let relay = Relay { ask: Ask::Locate, pool, balancer: self.address };
        out.push(match agents[..] {
            [to] => Effect::Relay { to, relay, payload: Payload::Held(packet) },
            _ => Effect::Spread { to: agents[0], relay, agents, packet },
        });
    }

    fn here(&mut self, from: SocketAddrV4, key: FlowKey, now_ms: u64, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.confirmed && flow.agent.is_some() && flow.search.is_none() {
            // Two upstreams may accept a flow; the caller takes the first one that answers.
            return;
        }
        flow.agent = Some(from);
        flow.pool = self.fleet.pool_of(from).or(flow.pool);
        flow.confirmed = true;
        flow.failed_ms = None;
        flow.failures = 0;
        if let Some(search) = flow.search.take() {
            let after_ms = now_ms.saturating_sub(search.since_ms);
            note(key, Decision::Found { agent: from, after_ms }, out);
        }
        self.send_held(from, key, out);
    }

    fn absent(
        &mut self,
        from: SocketAddrV4,
        key: FlowKey,
        returned: Option<(&Head, &[u8])>,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if let Some(search) = &mut flow.search {
            search.waiting.retain(|&it| it != from);
            search.absent.push(from);
            let open = search.waiting.is_empty();
            if let Some((_, bytes)) = returned {
                self.keep(key, bytes, now_ms + SEARCH_MS, out);
            }
            if open && !self.ask_rest(key, out) {
                self.conclude(key, now_ms, out);
            }
            return;
        }
        if flow.agent.is_some_and(|it| it != from) {
            // Found elsewhere meanwhile.
            if let (Some(agent), Some((_, bytes))) = (flow.agent, returned) {
                let pool = self.fleet.pool_of(agent).unwrap_or(PoolId(0));
                self.relay(agent, Ask::Deliver, pool, Payload::Held(bytes.to_vec()), out);
            }
            return;
        }
        note(key, Decision::Absent, out);
        if let Some((_, bytes)) = returned {
            self.search(key, bytes, Some(from), now_ms, out);
        }
    }

    /// Ends a search that found nobody. If that is certain, the caller learns it at once and can begin anew; if not,
    /// the search is repeated, as the caller's next packet may be far away.
    fn conclude(&mut self, key: FlowKey, now_ms: u64, out: &mut Vec<Effect>) {
        let sure = self.is_held_nowhere(&key, now_ms);
        let Some(flow) = self.give_up(key, now_ms, out) else {
            self.hold.take(&key);
            return;
        };
        let (ack, due_ms) = (flow.ack, now_ms + flow.pause_ms());
        if sure {
            self.hold.take(&key);
            reset(key, ack, Why::NotHeld, out);
        } else {
            self.hold.extend(&key, due_ms);
        }
    }

    /// Does what is due for a flow whose packets were held long enough.
    fn expire(&mut self, key: FlowKey, now_ms: u64, out: &mut Vec<Effect>) {
        let flow = self.flows.get(&key);
        let waits = flow.is_some_and(|it| it.search.is_none() && it.failed_ms.is_some());
        let live = |it: &Flow| now_ms.saturating_sub(it.packet_ms) < CALLER_PAUSE_MS;
        if !waits {
            return self.conclude(key, now_ms, out);
        }
        if flow.is_some_and(live) {
            self.search_again(key, now_ms, out);
        } else {
            self.hold.take(&key);
        }
    }

    /// Repeats a search, now without copies of the packet: many flows may have to be searched for at once.
    fn search_again(&mut self, key: FlowKey, now_ms: u64, out: &mut Vec<Effect>) {
        let Lookup::Route(route) = self.routes.lookup(key.service) else {
            self.hold.take(&key);
            return drop(key, Drop::NoRoute, out);
        };
        let rest = self.fleet.holders(|it| route.allows(it), key.hash(), self.zone, now_ms);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.search = Some(Search::new(rest, now_ms));
        }
        self.hold.extend(&key, now_ms + SEARCH_MS);
        if !self.ask_rest(key, out) {
            self.conclude(key, now_ms, out);
        }
    }

    /// Whether each agent that could hold the flow either answered that it does not, or has been gone for so long that
    /// the flow is of no use to its caller. One that was heard of only after the search began was not asked.
    fn is_held_nowhere(&self, key: &FlowKey, now_ms: u64) -> bool {
        let Some(search) = self.flows.get(key).and_then(|it| it.search.as_ref()) else {
            return false;
        };
        let Lookup::Route(route) = self.routes.lookup(key.service) else {
            return false;
        };
        let holders = self.fleet.holders(|it| route.allows(it), key.hash(), self.zone, now_ms);
        let absent = holders.iter().all(|it| search.absent.contains(it));
        let known = self.fleet.is_complete(|it| route.allows(it), now_ms);
        absent && known && self.is_settled(now_ms)
    }

    /// Notes that a search was in vain; its flow, if there was one.
    fn give_up(&mut self, key: FlowKey, now_ms: u64, out: &mut Vec<Effect>) -> Option<&Flow> {
        let flow = self.flows.get_mut(&key)?;
        let search = flow.search.take()?;
        flow.failed_ms = Some(now_ms);
        flow.failures += 1;
        let absent = search.asked - search.waiting.len();
        let silent = search.waiting.first().copied();
        note(key, Decision::NotFound { absent, asked: search.asked, silent }, out);
        Some(flow)
    }

    /// Sends what is held of the flows of an agent that is back.
    fn release(&mut self, agent: SocketAddrV4, out: &mut Vec<Effect>) {
        for key in self.hold.keys() {
            let flow = self.flows.get(&key);
            if flow.is_some_and(|it| it.agent == Some(agent) && it.search.is_none()) {
                self.send_held(agent, key, out);
            }
        }
    }

    fn send_held(&mut self, agent: SocketAddrV4, key: FlowKey, out: &mut Vec<Effect>) {
        let pool = self.fleet.pool_of(agent).unwrap_or(PoolId(0));
        for packet in self.hold.take(&key) {
            self.relay(agent, Ask::Deliver, pool, Payload::Held(packet), out);
        }
    }

    fn keep(&mut self, key: FlowKey, bytes: &[u8], until_ms: u64, out: &mut Vec<Effect>) {
        if !self.hold.push(key, bytes, until_ms) {
            drop(key, Drop::HoldFull, out);
        }
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
