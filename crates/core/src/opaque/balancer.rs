//! Placement and forwarding decisions of a balancer for opaque flows.
//!
//! The flow table is a cache. If a flow's agent is not in it, the balancer queries the agents of the route's pools.

mod deferred;
mod duties;
mod search;
mod startup;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

use rustc_hash::FxHashMap;

pub(super) use self::deferred::BOUND_SERVICE_TIME_MARGIN;
pub use self::duties::Duty;
use self::{
    deferred::DeferredOpenings,
    duties::MAX_WITHDRAWN,
    search::{SEARCH_TIMEOUT_MS, Search},
    startup::Startup,
};
use super::{
    FlowKey, PacketHeader, PacketKind, PoolId,
    candidate_list::CandidateList,
    effect::{
        Answer, Decision, DropReason, Effect, Payload, RelayAction, RelayHeader, ResetReason, note,
        note_drop, push_reset,
    },
    fleet::{
        AgentPlan, Candidates, Fleet, MemberEntry, Report, ReportChange, RestartingAgent, ZoneId,
    },
    former_pools::{FORMER_POOL_TTL_MS, FormerPool},
    packet_buffer::PacketBuffer,
    route::{ConfigVersion, Lookup, Objective, RouteTable, Routes},
    zone::{Regions, ZoneUpdateResult, ZonesOut},
};

/// How long packets are buffered for a restarting agent; a start takes about a second.
const RESTART_BUFFER_MS: u64 = 3_000;
/// Idle time after which a flow is dropped from the table; its next packet starts a search.
const FLOW_IDLE_TIMEOUT_MS: u64 = 20_000;
/// Interval between removals of idle flows.
const PRUNE_INTERVAL_MS: u64 = 5_000;
/// Time from the first member list until the membership counts as complete: a few round trips between regions, so that
/// agents that joined after the list was read have reported. After a loss of power callers of dead flows are told later
/// by this time; with three times as much, some 90 of 2,500 requests more were late.
const MEMBERSHIP_SETTLE_MS: u64 = 100;
/// Longest wait for peers to name agents that report to them, beside a member list: several round trips between
/// regions.
const PEERS_TIMEOUT_MS: u64 = 300;
/// Interval between requests for a copy of the former pools, and their number.
const COPY_RETRY_MS: u64 = 700;
const MAX_COPY_REQUESTS: u32 = 3;
/// Interval between scans of all agents for those due a hello: a scan passes over 5,900 in the size designed for.
const HELLO_CHECK_INTERVAL_MS: u64 = 60;
/// Gap between events that means that the process was stalled; ticks come every 20 ms.
const STALL_THRESHOLD_MS: u64 = 1_000;
/// Delay after the first member list until it is read again if some listed agents have not reported; they may have left
/// while it was read. Two round trips of a hello on a slow VM.
const LIST_REFRESH_DELAY_MS: u64 = 600;

#[derive(Clone, Debug, Default)]
struct Flow {
    agent: Option<SocketAddrV4>,
    /// Pool in which the flow was placed or found; later configurations do not change it.
    pool: Option<PoolId>,
    confirmed: bool,
    search: Option<Search>,
    last_failed_search_ms: Option<u64>,
    failed_searches: u32,
    /// Time of the caller's last packet.
    last_packet_ms: u64,
    last_used_ms: u64,
    ack: u32,
}

/// An opening packet to place.
#[derive(Debug)]
enum OpeningPacket<'a> {
    /// The packet that is being processed.
    Arrived(&'a [u8]),
    /// A packet that was deferred.
    Deferred(Vec<u8>),
}

impl OpeningPacket<'_> {
    fn into_payload(self) -> Payload {
        match self {
            OpeningPacket::Arrived(_) => Payload::Current,
            OpeningPacket::Deferred(packet) => Payload::Buffered(packet),
        }
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
    buffer: PacketBuffer,
    deferred: DeferredOpenings,
    late_binding: bool,
    pending_queries: BTreeMap<SocketAddrV4, Vec<FlowKey>>,
    /// Agents whose entries this balancer withdrew from the store.
    withdrawn: BTreeSet<SocketAddrV4>,
    /// Agents that announced that they leave, with the time. They can't withdraw their own entries during a store
    /// outage.
    left_agents: BTreeMap<SocketAddrV4, u64>,
    /// The last configuration requested from a peer, with the time of the request.
    requested_config: Option<(ConfigVersion, u64)>,
    member_list_ms: Option<u64>,
    /// Time until which the membership is incomplete, as peers may know agents that the list lacks.
    peers_deadline_ms: Option<u64>,
    /// Whether the peers have answered.
    peers_asked: bool,
    /// Whether the former pools of all routes are known, from the first start on or from a process that knows them.
    knows_former_pools: bool,
    /// Number of requests for a copy of them, and the time of the last one.
    copy_requests: u32,
    copy_requested_ms: u64,
    /// Whether an agent has reported a copy of the configuration.
    has_copies: bool,
    list_refreshed: bool,
    last_event_ms: u64,
    last_hello_check_ms: u64,
    last_prune_ms: u64,
    /// Packets that wait for the first state; none once the balancer has served.
    startup: Option<Box<Startup>>,
}

impl Balancer {
    /// Creates a balancer that other processes reach at `address`.
    pub fn new(address: SocketAddrV4, zone: ZoneId) -> Balancer {
        Balancer {
            address,
            zone,
            routes: RouteTable::default(),
            fleet: Fleet::default(),
            flows: FxHashMap::default(),
            buffer: PacketBuffer::default(),
            deferred: DeferredOpenings::default(),
            late_binding: false,
            pending_queries: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            left_agents: BTreeMap::new(),
            requested_config: None,
            member_list_ms: None,
            peers_deadline_ms: None,
            peers_asked: true,
            knows_former_pools: false,
            copy_requests: 0,
            copy_requested_ms: 0,
            has_copies: false,
            list_refreshed: false,
            last_event_ms: 0,
            last_hello_check_ms: 0,
            last_prune_ms: 0,
            startup: None,
        }
    }

    /// Drops opening packets until the first update of the zones out of service.
    pub fn with_unknown_zones(self) -> Balancer {
        Balancer { fleet: self.fleet.with_unknown_zones(), ..self }
    }

    /// Sets whether opening packets for full pools are deferred until an agent offers a slot.
    pub fn with_late_binding(self, late_binding: bool) -> Balancer {
        Balancer { late_binding, ..self }
    }

    /// Sets whether the system starts for the first time, so that no route has former pools.
    pub fn with_first_start(self, first_start: bool) -> Balancer {
        Balancer { knows_former_pools: first_start, ..self }
    }

    /// Sets the region of each zone.
    pub fn with_regions(self, regions: Regions) -> Balancer {
        Balancer { fleet: self.fleet.with_regions(regions), ..self }
    }

    /// Routes in force.
    pub fn routes(&self) -> &RouteTable {
        &self.routes
    }

    /// Agents and zones known to the balancer.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Number of flows in the table.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Bytes of buffered packets.
    pub fn buffered_bytes(&self) -> usize {
        let startup = self.startup.as_ref().map_or(0, |it| it.bytes());
        self.buffer.bytes() + self.deferred.bytes() + startup
    }

    /// Number of deferred opening packets.
    pub fn deferred(&self) -> usize {
        self.deferred.len()
    }

    /// Applies a configuration; false if one that is as new or newer is already in force.
    pub fn update_routes(&mut self, routes: Routes) -> bool {
        let updated = self.routes.update(routes, self.last_event_ms);
        self.deferred.routes_changed |= updated;
        updated
    }

    /// Adds pools that routes included before, as known to another process, which may know all of them. Returns the
    /// number of those that were unknown.
    pub fn merge_former_pools(&mut self, others: &[FormerPool], all: bool, now_ms: u64) -> usize {
        self.knows_former_pools |= all;
        self.routes.merge_former_pools(others, now_ms)
    }

    /// Applies an update of the zones out of service.
    pub fn update_zones(&mut self, update: ZonesOut, now_ms: u64) -> ZoneUpdateResult {
        self.fleet.update_zones(update, now_ms)
    }

    /// Merges zones that a peer keeps out of service after the store lost their entries; true if this adds any.
    pub fn merge_lost_zones(&mut self, names: Vec<String>, now_ms: u64) -> bool {
        self.fleet.merge_lost_zones(names, now_ms)
    }

    /// Returns zones to service whose lost entries were not written again in time; true if there were any.
    pub fn expire_lost_zones(&mut self, now_ms: u64) -> bool {
        self.fleet.expire_lost_zones(now_ms)
    }

    /// Syncs the agents with the member list read from the store.
    pub fn sync_members(&mut self, members: &[MemberEntry], now_ms: u64) {
        self.member_list_ms.get_or_insert(now_ms);
        if let Some(startup) = &mut self.startup {
            startup.record_members(members, now_ms);
        }
        self.fleet.sync_members(members, now_ms);
    }

    /// Records that peers are asked for agents that report to them and for former pools. Until they have answered, no
    /// flow is reset for lack of a holder: the agent of a living upstream may be missing from the list, or in a pool that
    /// the route no longer includes.
    pub fn await_peers(&mut self, now_ms: u64) {
        self.peers_deadline_ms = Some(now_ms + PEERS_TIMEOUT_MS);
        self.peers_asked = false;
    }

    /// Records that the peers have answered, or can't.
    pub fn handle_peers_asked(&mut self) {
        self.peers_asked = true;
    }

    /// Whether the former pools of all routes are known.
    pub fn knows_former_pools(&self) -> bool {
        self.knows_former_pools
    }

    /// Whether to request the former pools from an agent that has reported a copy, as no peer knows them.
    pub fn should_request_former_pools(&mut self, now_ms: u64) -> bool {
        self.has_copies = true;
        let needs_copy = !self.knows_former_pools && self.peers_asked;
        let is_pending =
            self.copy_requests > 0 && now_ms.saturating_sub(self.copy_requested_ms) < COPY_RETRY_MS;
        let requests = needs_copy && !is_pending && self.copy_requests < MAX_COPY_REQUESTS;
        if requests {
            self.copy_requests += 1;
            self.copy_requested_ms = now_ms;
        }
        requests
    }

    /// Applies announcements of restarts that other balancers have heard; returns the agents that were not known to
    /// restart.
    pub fn merge_restarting(
        &mut self,
        agents: &[RestartingAgent],
        now_ms: u64,
    ) -> Vec<SocketAddrV4> {
        self.fleet.merge_restarting(agents, now_ms)
    }

    /// Adds members received from a peer, whose list may be partial.
    pub fn merge_members(&mut self, members: &[MemberEntry], now_ms: u64) {
        let has_agent = members.iter().any(|it| it.pool.is_some());
        if let Some(startup) = self.startup.as_mut().filter(|_| has_agent) {
            startup.record_members(members, now_ms);
        }
        self.fleet.merge_members(members, now_ms);
    }

    /// Applies an agent's report.
    pub fn handle_report(
        &mut self,
        from: SocketAddrV4,
        report: Report,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) -> ReportChange {
        self.record_event_time(now_ms);
        if let Some(startup) = &mut self.startup {
            startup.record_report(report.pool, now_ms);
        }
        let was_ready = self.fleet.is_ready_for_flows(from, now_ms);
        let change = self.fleet.apply_report(from, report, now_ms);
        if !was_ready && self.fleet.is_ready_for_flows(from, now_ms) {
            self.reserve_at_new_agent(from, now_ms, out);
        }
        if change == ReportChange::Restarted {
            self.flush_buffered_packets(from, out);
        }
        if change == ReportChange::Left && self.left_agents.len() < MAX_WITHDRAWN {
            self.left_agents.insert(from, now_ms);
        }
        if change == ReportChange::Old || report.plan == AgentPlan::Leave {
            return change;
        }
        self.left_agents.remove(&from);
        if self.withdrawn.remove(&from) {
            out.push(Effect::Unlisted { to: from });
        }
        change
    }

    /// Handles a packet from a caller.
    pub fn handle_packet(
        &mut self,
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        self.record_event_time(now_ms);
        if !self.buffer_at_startup(head, bytes, now_ms, out) {
            self.dispatch_packet(head, bytes, now_ms, out);
        }
    }

    fn dispatch_packet(
        &mut self,
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        match head.kind {
            PacketKind::Open => self.handle_open(head, bytes, now_ms, out),
            PacketKind::Data | PacketKind::Finish | PacketKind::Reset => {
                self.handle_flow_packet(head, bytes, now_ms, out)
            }
        }
    }

    /// Handles an agent's answer; `returned` is the packet sent back with it.
    pub fn handle_answer(
        &mut self,
        from: SocketAddrV4,
        key: FlowKey,
        answer: Answer,
        returned: Option<(&PacketHeader, &[u8])>,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        match answer {
            Answer::Here => self.handle_here(from, key, now_ms, out),
            Answer::Absent => self.handle_absent(from, key, returned, now_ms, out),
            Answer::WrongPool(pool) => {
                self.fleet.correct_pool(from, pool);
                self.handle_absent(from, key, returned, now_ms, out);
            }
        }
    }

    /// Runs the periodic work: hellos, searches, expiry of buffered packets and removal of idle flows.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.record_event_time(now_ms);
        self.send_hellos(now_ms, out);
        self.refresh_member_list(now_ms, out);
        self.replay_packets(now_ms, out);
        self.continue_searches(now_ms, out);
        self.update_deferred(now_ms, out);
        for key in self.buffer.expired(now_ms) {
            self.handle_buffer_expiry(key, now_ms, out);
        }
        if now_ms.saturating_sub(self.last_prune_ms) >= PRUNE_INTERVAL_MS {
            self.last_prune_ms = now_ms;
            // A pool that left a route before this balancer started is not searched any more.
            self.knows_former_pools |= self
                .member_list_ms
                .is_some_and(|it| now_ms.saturating_sub(it) >= FORMER_POOL_TTL_MS);
            self.flows
                .retain(|_, it| now_ms.saturating_sub(it.last_used_ms) < FLOW_IDLE_TIMEOUT_MS);
        }
    }

    fn send_hellos(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if now_ms.saturating_sub(self.last_hello_check_ms) < HELLO_CHECK_INTERVAL_MS {
            return;
        }
        self.last_hello_check_ms = now_ms;
        for to in self.fleet.hello_recipients(now_ms) {
            out.push(Effect::Hello { to });
        }
    }

    /// Records the time of an event. After a stall, the agents' last-seen times are shifted, as no report could be
    /// received meanwhile.
    fn record_event_time(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_event_ms);
        if elapsed_ms > STALL_THRESHOLD_MS && self.last_event_ms > 0 {
            self.fleet.shift_last_seen(elapsed_ms, now_ms);
            self.member_list_ms = self.member_list_ms.map(|_| now_ms);
        }
        self.last_event_ms = now_ms;
    }

    /// Requests the member list once more if it names agents that never reported.
    fn refresh_member_list(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let due = self
            .member_list_ms
            .is_some_and(|it| now_ms.saturating_sub(it) >= LIST_REFRESH_DELAY_MS);
        if !due || self.list_refreshed {
            return;
        }
        self.list_refreshed = true;
        if self.fleet.unreported_count() > 0 {
            out.push(Effect::ReloadMembers);
        }
    }

    fn handle_open(
        &mut self,
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if !self.deferred.replace_copy(head, bytes) {
            self.place(head, OpeningPacket::Arrived(bytes), now_ms, out);
        }
    }

    /// Places an opening packet according to the routes, zones and members in force, or defers it if it has just
    /// arrived and the pool is full.
    fn place(
        &mut self,
        head: &PacketHeader,
        packet: OpeningPacket<'_>,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let key = head.key;
        let copies = head.ack;
        let route = match self.routes.lookup(key.service) {
            Lookup::NoConfig => return note_drop(key, DropReason::NoConfig, out),
            Lookup::Dropped | Lookup::None => return push_reset(key, 0, ResetReason::NoRoute, out),
            Lookup::Route(route) => route,
        };
        let (objective, allowed) = (route.objective(), route.regions());
        let Some(pool) = route.select_pool(key.hash()) else {
            return push_reset(key, 0, ResetReason::NoUpstream, out);
        };
        if !self.fleet.has_region(allowed) {
            return push_reset(key, 0, ResetReason::NoRegion, out);
        }
        if self.fleet.zones_out().is_none() {
            return note_drop(key, DropReason::NoConfig, out);
        }
        let known = self.flows.get(&key).filter(|_| copies > 0);
        // A copy of an opening packet that this balancer has placed was counted before.
        let is_new = known.is_none() && matches!(packet, OpeningPacket::Arrived(_));
        let beyond_share =
            self.late_binding && is_new && self.deferred.is_beyond_share(pool, key.service, now_ms);
        if let Some(flow) = known.filter(|it| it.confirmed && copies == 1) {
            // The upstream accepted the flow and its answer was lost, so its agent sends another one.
            let is_usable = |it: &SocketAddrV4| {
                !self.fleet.is_out_of_service(*it) && self.fleet.is_region_allowed(*it, allowed)
            };
            if let Some(agent) = flow.agent.filter(is_usable) {
                let pool = flow.pool.unwrap_or(pool);
                return self.relay(agent, RelayAction::Deliver, pool, packet.into_payload(), out);
            }
        }
        let avoid = known.and_then(|it| it.agent);
        let found = self.fleet.candidates(pool, key.hash(), self.zone, avoid, allowed, now_ms);
        let Some(&first) = found.agents.first() else {
            return self.reject_open(key, pool, now_ms, out);
        };
        if let OpeningPacket::Arrived(bytes) = packet
            && self.late_binding
            && found.pool.is_full()
            && self.defer(head, bytes, pool, &found, beyond_share, avoid, now_ms, out)
        {
            return;
        }
        let flow =
            Flow { agent: Some(first), pool: Some(pool), last_used_ms: now_ms, ..Flow::default() };
        self.flows.insert(key, flow);
        note(key, Decision::Placed { first, copies }, out);
        let candidates = self.candidate_list(pool, found, objective);
        self.relay(first, RelayAction::Open(candidates), pool, packet.into_payload(), out);
    }

    fn candidate_list(
        &self,
        pool: PoolId,
        found: Candidates,
        objective: Option<Objective>,
    ) -> CandidateList {
        let candidates = CandidateList::new(found.agents, found.limit).with_objective(objective);
        let cold_rate = self.routes.cold_rate(pool);
        candidates.with_pool(found.pool).with_cold_rate(cold_rate)
    }

    fn reject_open(&self, key: FlowKey, pool: PoolId, now_ms: u64, out: &mut Vec<Effect>) {
        if self.is_pool_complete(pool, now_ms) {
            let reason = if self.fleet.has_agents_out_of_service(pool) {
                ResetReason::ZonesOut
            } else {
                ResetReason::NoUpstream
            };
            push_reset(key, 0, reason, out)
        } else {
            note_drop(key, DropReason::NoUpstream, out)
        }
    }

    fn handle_flow_packet(
        &mut self,
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let key = head.key;
        if head.kind == PacketKind::Reset {
            self.deferred.remove_reset(head);
        }
        let (pool, dropped) = match self.routes.lookup(key.service) {
            Lookup::NoConfig => return note_drop(key, DropReason::NoConfig, out),
            Lookup::None => return note_drop(key, DropReason::NoRoute, out),
            Lookup::Dropped => (None, true),
            Lookup::Route(route) => (route.select_pool(key.hash()), false),
        };
        if dropped {
            self.flows.remove(&key);
            if head.kind != PacketKind::Reset {
                push_reset(key, head.ack, ResetReason::RouteDropped, out);
            }
            return;
        }
        let Some(pool) = pool else {
            return note_drop(key, DropReason::NoRoute, out);
        };
        let flow = self.flows.entry(key).or_default();
        let pool = flow.pool.unwrap_or(pool);
        flow.last_used_ms = now_ms;
        flow.last_packet_ms = now_ms;
        flow.ack = head.ack;
        if flow.search.is_some() {
            self.buffer_packet(key, bytes, now_ms + SEARCH_TIMEOUT_MS, out);
            return;
        }
        let Some(agent) = flow.agent else {
            return self.start_search(key, bytes, None, now_ms, out);
        };
        if self.fleet.is_restarting(agent) {
            note(key, Decision::Held { agent }, out);
            self.buffer_packet(key, bytes, now_ms + RESTART_BUFFER_MS, out);
            return;
        }
        if self.fleet.is_gone(agent, now_ms) {
            return self.start_search(key, bytes, None, now_ms, out);
        }
        self.relay(agent, RelayAction::Deliver, pool, Payload::Current, out);
    }

    /// Whether all agents of the pool are known and have reported, so that a missing agent is certain.
    fn is_pool_complete(&self, pool: PoolId, now_ms: u64) -> bool {
        self.is_membership_settled(now_ms) && self.fleet.is_complete(|it| it == pool, now_ms)
    }

    fn is_membership_settled(&self, now_ms: u64) -> bool {
        let settled =
            self.member_list_ms.is_some_and(|it| now_ms.saturating_sub(it) > MEMBERSHIP_SETTLE_MS);
        let may_wait = self.peers_deadline_ms.is_some_and(|it| now_ms < it);
        settled && (!may_wait || self.peers_asked && !self.awaits_copy())
    }

    /// Whether an agent may have a copy of the former pools, which no peer knows.
    fn awaits_copy(&self) -> bool {
        !self.knows_former_pools && (self.has_copies || self.fleet.unreported_count() > 0)
    }

    fn relay(
        &self,
        to: SocketAddrV4,
        action: RelayAction,
        pool: PoolId,
        payload: Payload,
        out: &mut Vec<Effect>,
    ) {
        let relay = RelayHeader { action, pool, balancer: self.address };
        out.push(Effect::Relay { to, relay, payload });
    }
}
