//! The search for the agent that holds a flow. The first few agents are sent the packet and all others a query
//! without it. Agents with status unknown then get the packet through one of them. A search without a certain result is
//! repeated.

use std::{collections::BTreeMap, net::SocketAddrV4};

use super::{
    super::{
        FlowKey, PacketHeader, PoolId,
        effect::{
            Decision, DropReason, Effect, FlowStatus, Payload, RelayAction, RelayHeader,
            ResetReason, note, note_drop, push_reset,
        },
        route::Lookup,
    },
    Balancer, Flow,
};

/// Agents that are sent the packet itself: the first ones in the order of placement. All others get batched queries, as
/// copies of packets to whole pools would fill slow links when many upstreams fail together.
const INITIAL_QUERY_COUNT: usize = 4;
/// Flows in one query; their keys fill two thirds of a packet.
const MAX_KEYS_PER_QUERY: usize = 64;
/// Receivers of one fan-out, including the agent that forwards the packet to the others; their addresses and the packet
/// fit into an Ethernet frame.
const MAX_AGENTS_PER_FAN_OUT: usize = 28;
/// Time until the remaining agents are queried: several round trips to the farthest agent.
const INITIAL_QUERY_TIMEOUT_MS: u64 = 20;
/// Maximum duration of a search.
pub(super) const SEARCH_TIMEOUT_MS: u64 = 120;
/// Delay after the first failed search, shorter than the caller's retransmission interval of 200 ms. It doubles with
/// each further failure.
const SEARCH_RETRY_DELAY_MS: u64 = 100;
/// Maximum doublings of the retry delay.
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// Time after a caller's last packet for which failed searches are repeated: slightly longer than the longest
/// retransmission interval.
const CALLER_IDLE_MS: u64 = 1_700;

#[derive(Clone, Debug)]
pub(super) struct Search {
    started_ms: u64,
    /// Agents that were queried and have not reported the flow as here or absent.
    pending: Vec<SocketAddrV4>,
    /// Agents that are queried once the first ones have reported the flow as absent, or have not answered in time.
    remaining: Vec<SocketAddrV4>,
    /// Pending agents that reported the status as unknown and have not been probed with a packet yet.
    unknown: Vec<SocketAddrV4>,
    /// Agents that do not hold the flow.
    absent: Vec<SocketAddrV4>,
    queried_count: usize,
}

impl Search {
    fn new(remaining: Vec<SocketAddrV4>, now_ms: u64) -> Search {
        let (pending, unknown, absent) = (Vec::new(), Vec::new(), Vec::new());
        Search { started_ms: now_ms, pending, remaining, unknown, absent, queried_count: 0 }
    }

    /// Whether all agents were queried and the pending ones all reported the status as unknown.
    fn only_unknown_pending(&self) -> bool {
        !self.unknown.is_empty()
            && self.remaining.is_empty()
            && self.pending.len() == self.unknown.len()
    }
}

impl Flow {
    /// Delay between a failed search and the next one.
    fn retry_delay_ms(&self) -> u64 {
        SEARCH_RETRY_DELAY_MS << self.failed_searches.saturating_sub(1).min(MAX_RETRY_DOUBLINGS)
    }
}

impl Balancer {
    pub(super) fn start_search(
        &mut self,
        key: FlowKey,
        bytes: &[u8],
        except: Option<SocketAddrV4>,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Lookup::Route(route) = self.routes.lookup(key.service) else {
            return note_drop(key, DropReason::NoRoute, out);
        };
        let flow = self.flows.entry(key).or_default();
        flow.agent = None;
        flow.confirmed = false;
        flow.last_used_ms = now_ms;
        if flow
            .last_failed_search_ms
            .is_some_and(|it| now_ms.saturating_sub(it) < flow.retry_delay_ms())
        {
            // The next search sends this packet.
            let due_ms = now_ms + flow.retry_delay_ms();
            return self.buffer_packet(key, bytes, due_ms, out);
        }
        // The packet goes to allowed regions and to pools of the route only. Others get a query without it, as the flow
        // may be older than the route's present regions and pools.
        let allowed = route.regions();
        let gets_packet = |&agent: &SocketAddrV4| {
            let pool = self.fleet.pool_of(agent);
            pool.is_some_and(|it| route.includes(it))
                && self.fleet.is_region_allowed(agent, allowed)
        };
        let holders = self.possible_holders(&key, now_ms).into_iter();
        let (mut first, others): (Vec<_>, Vec<_>) =
            holders.filter(|&it| Some(it) != except).partition(gets_packet);
        let mut remaining = first.split_off(first.len().min(INITIAL_QUERY_COUNT));
        remaining.extend(others);
        let asked = first.len();
        note(key, Decision::Searched { asked }, out);
        self.send_locate(&first, bytes, out);
        let mut search = Search::new(remaining, now_ms);
        search.pending = first;
        search.queried_count = asked;
        search.absent.extend(except);
        self.flows.entry(key).or_default().search = Some(search);
        self.buffer_packet(key, bytes, now_ms + SEARCH_TIMEOUT_MS, out);
    }

    /// Agents that may hold a flow, of all pools that its route includes or included before.
    fn possible_holders(&self, key: &FlowKey, now_ms: u64) -> Vec<SocketAddrV4> {
        let may_hold = |it| self.routes.may_hold(key.service, it, now_ms);
        self.fleet.possible_holders(may_hold, key.hash(), self.zone, now_ms)
    }

    /// Whether an agent's pool is not part of the flow's route any more.
    fn is_former_holder(&self, key: &FlowKey, agent: SocketAddrV4) -> bool {
        let Lookup::Route(route) = self.routes.lookup(key.service) else {
            return false;
        };
        self.fleet.pool_of(agent).is_some_and(|it| !route.includes(it))
    }

    fn send_locate(&self, agents: &[SocketAddrV4], bytes: &[u8], out: &mut Vec<Effect>) {
        for &agent in agents {
            if let Some(pool) = self.fleet.pool_of(agent) {
                self.relay(
                    agent,
                    RelayAction::Locate,
                    pool,
                    Payload::Buffered(bytes.to_vec()),
                    out,
                );
            }
        }
    }

    /// Queues queries to all remaining agents; false if there are none.
    fn query_remaining(&mut self, key: FlowKey, out: &mut Vec<Effect>) -> bool {
        let search = self.flows.get_mut(&key).and_then(|it| it.search.as_mut());
        let Some(search) = search.filter(|it| !it.remaining.is_empty()) else {
            return false;
        };
        let remaining = std::mem::take(&mut search.remaining);
        search.pending.extend(&remaining);
        search.queried_count += remaining.len();
        note(key, Decision::Searched { asked: search.queried_count }, out);
        for agent in remaining {
            self.pending_queries.entry(agent).or_default().push(key);
        }
        true
    }

    /// Extends searches whose first agents did not answer in time, and sends the queued queries.
    pub(super) fn continue_searches(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        for key in self.buffer.keys() {
            let search = self.flows.get(&key).and_then(|it| it.search.as_ref());
            if search
                .is_some_and(|it| now_ms.saturating_sub(it.started_ms) >= INITIAL_QUERY_TIMEOUT_MS)
            {
                self.query_remaining(key, out);
                self.probe_unknown(key, out);
            }
        }
        for (to, keys) in std::mem::take(&mut self.pending_queries) {
            for keys in keys.chunks(MAX_KEYS_PER_QUERY) {
                out.push(Effect::Query { to, keys: keys.to_vec() });
            }
        }
    }

    /// Handles an agent's answer to a query.
    pub fn handle_query_result(
        &mut self,
        from: SocketAddrV4,
        key: FlowKey,
        status: FlowStatus,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        match status {
            FlowStatus::Here => self.handle_here(from, key, now_ms, out),
            FlowStatus::Absent => self.handle_absent(from, key, None, now_ms, out),
            FlowStatus::Unknown => self.handle_unknown(from, key, out),
        }
    }

    fn handle_unknown(&mut self, from: SocketAddrV4, key: FlowKey, out: &mut Vec<Effect>) {
        let search = self.flows.get_mut(&key).and_then(|it| it.search.as_mut());
        let Some(search) = search.filter(|it| it.pending.contains(&from)) else {
            return;
        };
        if !search.unknown.contains(&from) {
            search.unknown.push(from);
        }
        if search.only_unknown_pending() {
            self.probe_unknown(key, out);
        }
    }

    /// Sends a packet of the flow to agents with status unknown. After a power loss, this may be every agent, and a
    /// copy for each would fill the balancer's link, so one agent forwards the packet to others of its pool.
    fn probe_unknown(&mut self, key: FlowKey, out: &mut Vec<Effect>) {
        let search = self.flows.get_mut(&key).and_then(|it| it.search.as_mut());
        let Some(search) = search.filter(|it| !it.unknown.is_empty()) else {
            return;
        };
        let mut unknown = std::mem::take(&mut search.unknown);
        if let Lookup::Route(route) = self.routes.lookup(key.service) {
            unknown.retain(|&it| self.fleet.is_region_allowed(it, route.regions()));
        }
        let Some(packet) = self.buffer.first(&key).map(<[u8]>::to_vec) else {
            return;
        };
        let mut pools: BTreeMap<PoolId, Vec<SocketAddrV4>> = BTreeMap::new();
        for agent in unknown {
            if let Some(pool) = self.fleet.pool_of(agent) {
                pools.entry(pool).or_default().push(agent);
            }
        }
        for (pool, agents) in pools {
            for agents in agents.chunks(MAX_AGENTS_PER_FAN_OUT) {
                self.probe_pool(pool, agents, &packet, out);
            }
        }
    }

    fn probe_pool(
        &self,
        pool: PoolId,
        agents: &[SocketAddrV4],
        packet: &[u8],
        out: &mut Vec<Effect>,
    ) {
        let (packet, agents) = (packet.to_vec(), agents.to_vec());
        let relay = RelayHeader { action: RelayAction::Locate, pool, balancer: self.address };
        out.push(match agents[..] {
            [to] => Effect::Relay { to, relay, payload: Payload::Buffered(packet) },
            _ => Effect::FanOut { to: agents[0], relay, agents, packet },
        });
    }

    pub(super) fn handle_here(
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
            // Two upstreams may accept a flow; the caller uses the first answer.
            return;
        }
        // A deferred copy of the opening packet would open the flow at a second upstream.
        self.deferred.remove(&key);
        flow.agent = Some(from);
        flow.pool = self.fleet.pool_of(from).or(flow.pool);
        flow.confirmed = true;
        flow.last_failed_search_ms = None;
        flow.failed_searches = 0;
        if let Some(search) = flow.search.take() {
            let after_ms = now_ms.saturating_sub(search.started_ms);
            note(key, Decision::Found { agent: from, after_ms }, out);
        }
        self.send_buffered_packets(from, key, out);
    }

    pub(super) fn handle_absent(
        &mut self,
        from: SocketAddrV4,
        key: FlowKey,
        returned: Option<(&PacketHeader, &[u8])>,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if let Some(search) = &mut flow.search {
            search.pending.retain(|&it| it != from);
            search.absent.push(from);
            let all_answered = search.pending.is_empty();
            if let Some((_, bytes)) = returned {
                self.buffer_packet(key, bytes, now_ms + SEARCH_TIMEOUT_MS, out);
            }
            if all_answered && !self.query_remaining(key, out) {
                self.finish_search(key, now_ms, out);
            }
            return;
        }
        if flow.agent.is_some_and(|it| it != from) {
            // Another agent was found meanwhile.
            if let (Some(agent), Some((_, bytes))) = (flow.agent, returned) {
                let pool = self.fleet.pool_of(agent).unwrap_or(PoolId(0));
                self.relay(
                    agent,
                    RelayAction::Deliver,
                    pool,
                    Payload::Buffered(bytes.to_vec()),
                    out,
                );
            }
            return;
        }
        note(key, Decision::Absent, out);
        if let Some((_, bytes)) = returned {
            self.start_search(key, bytes, Some(from), now_ms, out);
        }
    }

    /// Ends a search that found no holder: resets the flow if it certainly has none, and schedules a retry otherwise.
    fn finish_search(&mut self, key: FlowKey, now_ms: u64, out: &mut Vec<Effect>) {
        let certain = self.is_certainly_absent(&key, now_ms);
        let Some(flow) = self.record_failed_search(key, now_ms, out) else {
            self.buffer.take(&key);
            return;
        };
        let (ack, due_ms) = (flow.ack, now_ms + flow.retry_delay_ms());
        if certain {
            self.buffer.take(&key);
            push_reset(key, ack, ResetReason::NotHeld, out);
        } else {
            self.buffer.extend(&key, due_ms);
        }
    }

    /// Handles a flow whose buffer deadline passed: ends its search, retries it, or drops its packets.
    pub(super) fn handle_buffer_expiry(
        &mut self,
        key: FlowKey,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let flow = self.flows.get(&key);
        let awaits_retry =
            flow.is_some_and(|it| it.search.is_none() && it.last_failed_search_ms.is_some());
        let is_caller_active =
            |it: &Flow| now_ms.saturating_sub(it.last_packet_ms) < CALLER_IDLE_MS;
        if !awaits_retry {
            return self.finish_search(key, now_ms, out);
        }
        if flow.is_some_and(is_caller_active) {
            self.retry_search(key, now_ms, out);
        } else {
            self.buffer.take(&key);
        }
    }

    /// Repeats a search with queries only, as many flows may be searched for at once.
    fn retry_search(&mut self, key: FlowKey, now_ms: u64, out: &mut Vec<Effect>) {
        let Lookup::Route(_) = self.routes.lookup(key.service) else {
            self.buffer.take(&key);
            return note_drop(key, DropReason::NoRoute, out);
        };
        let remaining = self.possible_holders(&key, now_ms);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.search = Some(Search::new(remaining, now_ms));
        }
        self.buffer.extend(&key, now_ms + SEARCH_TIMEOUT_MS);
        if !self.query_remaining(key, out) {
            self.finish_search(key, now_ms, out);
        }
    }

    /// Whether each agent that could hold the flow either answered that it does not or has been gone for too long for
    /// the flow to be of use to its caller. Agents first seen after the search began were not queried, so with them the
    /// result is not certain.
    fn is_certainly_absent(&self, key: &FlowKey, now_ms: u64) -> bool {
        let Some(search) = self.flows.get(key).and_then(|it| it.search.as_ref()) else {
            return false;
        };
        let Lookup::Route(_) = self.routes.lookup(key.service) else {
            return false;
        };
        let holders = self.possible_holders(key, now_ms);
        let absent = holders.iter().all(|it| search.absent.contains(it));
        let may_hold = |it| self.routes.may_hold(key.service, it, now_ms);
        let complete = self.fleet.is_complete(may_hold, now_ms);
        absent && complete && self.is_membership_settled(now_ms)
    }

    /// Ends the search as failed and returns its flow; none if no search was running.
    fn record_failed_search(
        &mut self,
        key: FlowKey,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) -> Option<&Flow> {
        let search = self.flows.get_mut(&key)?.search.take()?;
        let queried = search.absent.iter().chain(&search.pending);
        let former = queried.filter(|&&it| self.is_former_holder(&key, it)).count();
        let flow = self.flows.get_mut(&key)?;
        flow.last_failed_search_ms = Some(now_ms);
        flow.failed_searches += 1;
        let absent = search.queried_count - search.pending.len();
        let silent = search.pending.first().copied();
        let asked = search.queried_count;
        note(key, Decision::NotFound { absent, asked, former, silent }, out);
        Some(flow)
    }

    /// Sends the buffered packets of all flows of an agent that has restarted.
    pub(super) fn flush_buffered_packets(&mut self, agent: SocketAddrV4, out: &mut Vec<Effect>) {
        for key in self.buffer.keys() {
            let flow = self.flows.get(&key);
            if flow.is_some_and(|it| it.agent == Some(agent) && it.search.is_none()) {
                self.send_buffered_packets(agent, key, out);
            }
        }
    }

    fn send_buffered_packets(&mut self, agent: SocketAddrV4, key: FlowKey, out: &mut Vec<Effect>) {
        let pool = self.fleet.pool_of(agent).unwrap_or(PoolId(0));
        for packet in self.buffer.take(&key) {
            self.relay(agent, RelayAction::Deliver, pool, Payload::Buffered(packet), out);
        }
    }

    pub(super) fn buffer_packet(
        &mut self,
        key: FlowKey,
        bytes: &[u8],
        until_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if !self.buffer.push(key, bytes, until_ms) {
            note_drop(key, DropReason::BufferFull, out);
        }
    }
}
