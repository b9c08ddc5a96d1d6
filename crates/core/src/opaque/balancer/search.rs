//! The search for the agent that holds a flow: the first few agents get the packet, then all others a question, then
//! those that are not sure the packet, passed on by one of them. A search that is not certain goes on.

use std::{collections::BTreeMap, net::SocketAddrV4};

use super::{
    super::{
        FlowKey, Head, PoolId,
        effect::{Ask, Decision, Drop, Effect, Payload, Relay, Verdict, Why, drop, note, reset},
        route::Lookup,
    },
    Balancer, Flow,
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
pub(super) const SEARCH_MS: u64 = 120;
/// Pause after a search in vain: the caller's next copy comes after 200 ms and should start a new one. It doubles with
/// each further one, so that searches for what nobody holds don't take the time of those that find something.
const SEARCH_PAUSE_MS: u64 = 100;
/// How often the pause doubles at the most.
const MAX_DOUBLED: u32 = 4;
/// Time after a caller's last packet for which its flow is searched for again and again, as long as no search was
/// certain: the longest pause between two copies of a packet, and a bit.
const CALLER_PAUSE_MS: u64 = 1_700;

#[derive(Clone, Debug)]
pub(super) struct Search {
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

impl Flow {
    /// Pause between the last search in vain and the next one.
    fn pause_ms(&self) -> u64 {
        SEARCH_PAUSE_MS << self.failures.saturating_sub(1).min(MAX_DOUBLED)
    }
}

impl Balancer {
    pub(super) fn search(
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
        // The packet goes to allowed regions only. The others are asked for the flow, as it may be older than the route's
        // present regions.
        let allowed = route.regions();
        let (mut first, abroad): (Vec<_>, Vec<_>) =
            first.into_iter().partition(|&it| self.fleet.may_get(it, allowed));
        let mut rest = first.split_off(first.len().min(FIRST_ASKED));
        rest.extend(abroad);
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
    pub(super) fn widen(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
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
        let mut unsure = std::mem::take(&mut search.unsure);
        if let Lookup::Route(route) = self.routes.lookup(key.service) {
            unsure.retain(|&it| self.fleet.may_get(it, route.regions()));
        }
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

    pub(super) fn here(
        &mut self,
        from: SocketAddrV4,
        key: FlowKey,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
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

    pub(super) fn absent(
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
    pub(super) fn expire(&mut self, key: FlowKey, now_ms: u64, out: &mut Vec<Effect>) {
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
    pub(super) fn release(&mut self, agent: SocketAddrV4, out: &mut Vec<Effect>) {
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

    pub(super) fn keep(
        &mut self,
        key: FlowKey,
        bytes: &[u8],
        until_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if !self.hold.push(key, bytes, until_ms) {
            drop(key, Drop::HoldFull, out);
        }
    }
}
