//! Simulation of a small fleet, without sockets: callers, a router, balancers, agents and upstreams.
//!
//! On each reset by the system the simulation checks that no upstream holds the flow.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
};

use camphorwinch_core::opaque::{
    FlowKey, PacketHeader, PacketKind, PoolId,
    agent::{Agent, Heartbeat, Identity, UpstreamInstance},
    balancer::Balancer,
    effect::{Answer, Effect, FlowStatus, Payload, RelayHeader, Reservation},
    fleet::{AgentPlan, MemberEntry, Report, ReportChange, ZoneId},
    route::{Objective, Routes},
    service_rate::MeasuredService,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::support::{POOL, address, routes, service, single_service};

const BEAT_MS: u64 = 1_000;
const TICK_MS: u64 = 20;
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Time after the start of a drain from which an upstream must get no new flow: a heartbeat interval and a margin.
const DRAIN_MS: u64 = BEAT_MS + 50;
const HOP_MS: u64 = 1;
const FIRST_BALANCER: u8 = 200;
/// Delays before a caller retransmits a packet.
const RETRANSMIT_DELAYS_MS: [u64; 4] = [200, 400, 800, 1_600];

/// Objective of all routes for which the test sets none.
pub(crate) const OBJECTIVE: Objective =
    Objective { priority: 1, latency_ms: 250, timeout_ms: 2_500, idempotent: true };

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulationParams {
    pub(crate) zones: u64,
    pub(crate) balancers: u8,
    pub(crate) agents: u8,
    pub(crate) slots: u32,
    pub(crate) queue: usize,
    pub(crate) work_ms: u64,
    /// Loss rate of datagrams between processes.
    pub(crate) loss: f64,
}

#[derive(Debug)]
enum Event {
    Tick,
    Heartbeat(u8),
    Report(u8),
    ToBalancer(u8, SocketAddrV4, Message),
    ToAgent(u8, SocketAddrV4, Message),
    Retransmit(u64, u32),
    ToCaller(u64, PacketHeader),
    Reset(u64),
    Work(u8, u64, u64),
    NextRequest(u64),
}

#[derive(Clone, Debug)]
enum Message {
    Packet(RelayHeader, u64),
    Answer(FlowKey, Answer, Option<u64>),
    Query(Vec<FlowKey>),
    FanOut(RelayHeader, Vec<SocketAddrV4>, u64),
    QueryResponse(Vec<(FlowKey, FlowStatus)>),
    Report(Report),
    Reserve(Reservation),
    Offer(PoolId, u8),
    Decline,
    Service(MeasuredService),
    Subscribe,
}

struct Item(u64, u64, Event);

impl PartialEq for Item {
    fn eq(&self, other: &Item) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Item) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Item) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// An upstream: it accepts flows, runs requests in its slots and bounces packets of flows that it does not hold.
struct Upstream {
    id: u64,
    start_ms: u64,
    /// Resets each flow at its first request, but sends normal heartbeats.
    resets: bool,
    /// Requests that it began to run.
    started: u64,
    beats: u64,
    draining_since: Option<u64>,
    opening: HashMap<FlowKey, u32>,
    open: BTreeSet<FlowKey>,
    running: BTreeSet<u64>,
    waiting: VecDeque<u64>,
}

impl Upstream {
    /// Upstreams of odd hosts keep their id over restarts and send their start time; others take a new id.
    fn instance(&self, host: u8) -> UpstreamInstance {
        if host % 2 == 1 {
            UpstreamInstance { id: host.to_string(), started_at_ms: Some(self.start_ms) }
        } else {
            UpstreamInstance { id: self.id.to_string(), started_at_ms: None }
        }
    }
}

struct Host {
    agent: Option<Agent>,
    balancers: BTreeSet<SocketAddrV4>,
    upstream: Option<Upstream>,
}

/// A caller's flow.
struct Flow {
    key: FlowKey,
    zone: u64,
    /// Next byte expected from the upstream, once one has accepted the flow.
    next_ack: Option<u32>,
    seq: u32,
    copy: u32,
    sent_ms: u64,
    waiting: bool,
    left: u32,
    pause_ms: u64,
    closing: bool,
    /// The upstream refused the request in progress.
    refused: bool,
}

/// Counters of outcomes at the callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) answered: u64,
    pub(crate) shed: u64,
    pub(crate) reset: u64,
    /// Flows that an upstream reset.
    pub(crate) failed: u64,
    pub(crate) given_up: u64,
    /// Resets of flows that an upstream held.
    pub(crate) broken: u64,
    /// Flows sent to upstreams that were draining.
    pub(crate) late_work: u64,
    pub(crate) latencies_ms: Vec<u64>,
    /// Time of issue and latency of requests that were served, by service address.
    pub(crate) served: HashMap<SocketAddrV4, Vec<(u64, u64)>>,
}

pub(crate) struct World {
    params: SimulationParams,
    now: u64,
    next: u64,
    heap: BinaryHeap<Reverse<Item>>,
    rng: SmallRng,
    balancers: BTreeMap<u8, Balancer>,
    hosts: BTreeMap<u8, Host>,
    packets: Vec<PacketHeader>,
    flows: BTreeMap<u64, Flow>,
    by_key: HashMap<FlowKey, u64>,
    next_id: u64,
    /// Objective and mean service time of routes that differ from the others.
    route_params: BTreeMap<SocketAddrV4, (Objective, u64)>,
    /// Balancers that get no packets from the router.
    pub(crate) unrouted: BTreeSet<u8>,
    /// Speed of each VM; 1.0 if not set.
    speeds: BTreeMap<u8, f64>,
    /// Share of the requests that take longer, and how many times as long.
    tail: (f64, f64),
    /// Service times that balancers returned to agents.
    pub(crate) returned: usize,
    late_binding: bool,
    route_shares: bool,
    pub(crate) tally: Tally,
}

impl World {
    pub(crate) fn new(params: SimulationParams, seed: u64) -> World {
        World::start(params, seed, false, false)
    }

    /// A simulation whose agents order requests by the shares of their routes.
    pub(crate) fn with_route_shares(params: SimulationParams, seed: u64) -> World {
        World::start(params, seed, false, true)
    }

    /// A simulation whose balancers defer opening packets for full pools.
    pub(crate) fn with_late_binding(params: SimulationParams, seed: u64) -> World {
        World::start(params, seed, true, true)
    }

    fn start(params: SimulationParams, seed: u64, late_binding: bool, route_shares: bool) -> World {
        let mut world = World {
            params,
            now: 1_000,
            next: 0,
            heap: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            balancers: BTreeMap::new(),
            hosts: BTreeMap::new(),
            packets: Vec::new(),
            flows: BTreeMap::new(),
            by_key: HashMap::new(),
            next_id: 1,
            route_params: BTreeMap::new(),
            unrouted: BTreeSet::new(),
            speeds: BTreeMap::new(),
            tail: (0.0, 1.0),
            returned: 0,
            late_binding,
            route_shares,
            tally: Tally::default(),
        };
        for host in 1..=params.agents {
            world.add_host(host);
        }
        for at in 0..params.balancers {
            world.start_balancer(FIRST_BALANCER + at);
        }
        world.push(0, Event::Tick);
        world.run(3_000);
        world
    }

    /// Adds a VM with an agent and a new upstream.
    pub(crate) fn add_host(&mut self, host: u8) {
        self.hosts.insert(host, Host { agent: None, balancers: BTreeSet::new(), upstream: None });
        self.start_agent(host);
        self.start_upstream(host);
        self.push(1, Event::Report(host));
    }

    pub(crate) fn hosts(&self) -> Vec<u8> {
        self.hosts.keys().copied().collect()
    }

    pub(crate) fn balancers(&self) -> Vec<u8> {
        self.balancers.keys().copied().collect()
    }

    fn zone_of(&self, number: u8) -> u64 {
        u64::from(number) % self.params.zones
    }

    fn listed(&self) -> Vec<MemberEntry> {
        let agents = self.hosts.keys().map(|&it| (it, Some(POOL)));
        let members = agents.chain(self.balancers.keys().map(|&it| (it, None)));
        let listed = members.map(|(it, pool)| MemberEntry {
            address: address(it),
            pool,
            zone: ZoneId(self.zone_of(it)),
        });
        listed.collect()
    }

    /// Starts a balancer, or restarts it without its state.
    pub(crate) fn start_balancer(&mut self, number: u8) {
        self.start_unconfigured_balancer(number);
        self.configure_balancer(number);
    }

    /// Starts a balancer, or restarts it, without any state from the store or peers.
    pub(crate) fn start_unconfigured_balancer(&mut self, number: u8) {
        let balancer = Balancer::new(address(number), ZoneId(self.zone_of(number)))
            .with_late_binding(self.late_binding);
        self.balancers.insert(number, balancer.with_startup_buffer(self.now));
    }

    /// Gives a balancer the routes and the member list.
    pub(crate) fn configure_balancer(&mut self, number: u8) {
        let (routes, members) = (self.routes(), self.listed());
        if let Some(balancer) = self.balancers.get_mut(&number) {
            balancer.update_routes(routes);
            balancer.sync_members(&members, self.now);
        }
    }

    /// Starts an agent, or restarts it without its state.
    pub(crate) fn start_agent(&mut self, host: u8) {
        let zone = ZoneId(self.zone_of(host));
        let incarnation = self.rng.random();
        let balancers: Vec<_> = self.balancers.keys().map(|&it| address(it)).collect();
        let route_shares = self.route_shares;
        let Some(it) = self.hosts.get_mut(&host) else {
            return;
        };
        let learning = it.upstream.is_some();
        let now = self.now;
        let own = Identity { address: address(host), pool: POOL, zone, incarnation };
        let agent = Agent::new(own, BEAT_MS, learning, now);
        it.agent = Some(agent.with_route_shares(route_shares));
        it.balancers = balancers.into_iter().collect();
        self.report(host);
    }

    /// Stops an agent; `announced` for a planned stop, else it is killed.
    pub(crate) fn stop_agent(&mut self, host: u8, announced: bool) {
        if announced {
            let now = self.now;
            self.with_agent(host, |it, out| it.set_plan(AgentPlan::Restart, now, out));
        }
        if let Some(it) = self.hosts.get_mut(&host) {
            it.agent = None;
        }
    }

    /// Starts a new upstream in place of the current one, which ends without a deregistration.
    pub(crate) fn start_upstream(&mut self, host: u8) {
        let id = self.rng.random();
        if let Some(it) = self.hosts.get_mut(&host) {
            it.upstream = Some(Upstream {
                id,
                start_ms: self.now,
                resets: false,
                started: 0,
                beats: 0,
                draining_since: None,
                opening: HashMap::new(),
                open: BTreeSet::new(),
                running: BTreeSet::new(),
                waiting: VecDeque::new(),
            });
        }
        self.push(5, Event::Heartbeat(host));
    }

    /// Starts the drain of an upstream.
    pub(crate) fn drain(&mut self, host: u8) {
        if let Some(it) = self.hosts.get_mut(&host).and_then(|it| it.upstream.as_mut()) {
            it.draining_since = Some(self.now);
        }
    }

    /// Sets whether an upstream resets each flow at its first request.
    pub(crate) fn set_resets(&mut self, host: u8, resets: bool) {
        if let Some(it) = self.hosts.get_mut(&host).and_then(|it| it.upstream.as_mut()) {
            it.resets = resets;
        }
    }

    /// Requests that each upstream began to run, by host.
    pub(crate) fn started(&self) -> BTreeMap<u8, u64> {
        let started = |(&host, it): (&u8, &Host)| Some((host, it.upstream.as_ref()?.started));
        self.hosts.iter().filter_map(started).collect()
    }

    /// Requests that wait at each agent.
    pub(crate) fn waiting_at_agents(&self) -> Vec<usize> {
        self.hosts.values().filter_map(|it| it.agent.as_ref()).map(Agent::waiting).collect()
    }

    /// Opening packets deferred by balancers.
    pub(crate) fn deferred(&self) -> usize {
        self.balancers.values().map(Balancer::deferred).sum()
    }

    /// Flows that the upstreams hold.
    pub(crate) fn open_flows(&self) -> usize {
        self.hosts.values().filter_map(|it| it.upstream.as_ref()).map(|it| it.open.len()).sum()
    }

    /// Sets the objective and the mean service time of a route's requests.
    pub(crate) fn set_route(&mut self, service: SocketAddrV4, objective: Objective, work_ms: u64) {
        self.route_params.insert(service, (objective, work_ms));
        let routes = self.routes();
        for it in self.balancers.values_mut() {
            it.update_routes(routes.clone());
        }
    }

    /// The routes, at a revision that grows with each change.
    fn routes(&self) -> Routes {
        let mut routes = routes(1 + self.route_params.len() as u64);
        for (service, route) in &mut routes.by_address {
            let params = self.route_params.get(service);
            *route = route.clone().with_objective(params.map_or(OBJECTIVE, |it| it.0));
        }
        routes
    }

    pub(crate) fn now(&self) -> u64 {
        self.now
    }

    /// Opens a flow in a zone for this many requests, with a mean pause of `pause_ms` between them.
    pub(crate) fn open_flow(&mut self, zone: u64, requests: u32, pause_ms: u64) {
        let service = if requests == 1 { single_service() } else { service() };
        self.open_flow_to(service, zone, requests, pause_ms);
    }

    /// Opens a flow to a service address.
    pub(crate) fn open_flow_to(
        &mut self,
        service: SocketAddrV4,
        zone: u64,
        requests: u32,
        pause_ms: u64,
    ) {
        let id = self.next_id;
        self.next_id += 1;
        let ip = Ipv4Addr::from_bits(0x6440_0000 + (id / 20_000) as u32);
        let caller = SocketAddrV4::new(ip, 1_024 + (id % 20_000) as u16);
        let key = FlowKey { caller, service };
        let flow = Flow {
            key,
            zone,
            next_ack: None,
            seq: 0,
            copy: 0,
            sent_ms: self.now,
            waiting: true,
            left: requests,
            pause_ms,
            closing: false,
            refused: false,
        };
        self.flows.insert(id, flow);
        self.by_key.insert(key, id);
        self.send(id, 0);
    }

    /// Sets the mean service time of all upstreams.
    pub(crate) fn set_work_ms(&mut self, work_ms: u64) {
        self.params.work_ms = work_ms;
    }

    /// Sets the speed of a VM, on which the service times of its upstreams depend.
    pub(crate) fn set_speed(&mut self, host: u8, speed: f64) {
        self.speeds.insert(host, speed);
    }

    /// Sets the share of the requests that take `times` as long as the others.
    pub(crate) fn set_tail(&mut self, share: f64, times: f64) {
        self.tail = (share, times);
    }

    /// Speed of each upstream as its agent estimates it.
    pub(crate) fn estimated_speeds(&self) -> BTreeMap<u8, f64> {
        let speed = |(&host, it): (&u8, &Host)| Some((host, it.agent.as_ref()?.speed(self.now)));
        self.hosts.iter().filter_map(speed).collect()
    }

    /// Time in which each upstream serves all requests that its agent has now, in milliseconds.
    pub(crate) fn backlogs_ms(&self) -> Vec<f64> {
        let per_slot_ms = self.params.work_ms as f64 / f64::from(self.params.slots);
        let backlog = |(host, it): (&u8, &Host)| {
            let requests = f64::from(it.agent.as_ref()?.active_requests());
            Some(requests * per_slot_ms / self.speeds.get(host).copied().unwrap_or(1.0))
        };
        self.hosts.iter().filter_map(backlog).collect()
    }

    /// Share of the slots that are in use.
    pub(crate) fn utilization(&self) -> f64 {
        let running: usize = self
            .hosts
            .values()
            .filter_map(|it| it.upstream.as_ref())
            .map(|it| it.running.len())
            .sum();
        running as f64 / (f64::from(self.params.slots) * self.hosts.len() as f64)
    }

    /// Minimum and maximum number of flows per upstream.
    pub(crate) fn flow_spread(&self) -> (usize, usize) {
        let counts =
            || self.hosts.values().filter_map(|it| it.upstream.as_ref()).map(|it| it.open.len());
        (counts().min().unwrap_or(0), counts().max().unwrap_or(0))
    }

    /// Runs the simulation for `ms` milliseconds.
    pub(crate) fn run(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.heap.peek().is_some_and(|it| it.0.0 <= until) {
            let Some(Reverse(Item(at, _, event))) = self.heap.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = until;
    }

    fn push(&mut self, in_ms: u64, event: Event) {
        self.next += 1;
        self.heap.push(Reverse(Item(self.now + in_ms, self.next, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Heartbeat(host) => self.beat(host),
            Event::Report(host) => {
                self.report(host);
                self.push(REPORT_INTERVAL_MS, Event::Report(host));
            }
            Event::ToBalancer(number, from, message) => {
                self.balancer_receives(number, from, message)
            }
            Event::ToAgent(host, from, message) => self.agent_receives(host, from, message),
            Event::Retransmit(id, copy) => self.retransmit(id, copy),
            Event::ToCaller(id, head) => self.caller_receives(id, &head),
            Event::Reset(id) => self.handle_reset(id),
            Event::Work(host, upstream, id) => self.work_done(host, upstream, id),
            Event::NextRequest(id) => self.next_request(id),
        }
    }

    fn tick(&mut self) {
        for number in self.balancers() {
            self.with_balancer(number, |it, now, out| it.tick(now, out));
        }
        for host in self.hosts() {
            let now = self.now;
            self.with_agent(host, |it, out| it.tick(now, out));
        }
        self.push(TICK_MS, Event::Tick);
    }

    fn beat(&mut self, host: u8) {
        let slots = self.params.slots;
        let Some(it) = self.hosts.get_mut(&host).and_then(|it| it.upstream.as_mut()) else {
            return;
        };
        it.beats += 1;
        let beat = Heartbeat {
            instance: it.instance(host),
            seq: it.beats,
            draining: it.draining_since.is_some(),
            slots,
            cold_ms: 0,
        };
        let now = self.now;
        self.with_agent(host, |it, out| {
            it.heartbeat(&beat, now, out);
        });
        self.push(BEAT_MS, Event::Heartbeat(host));
    }

    fn report(&mut self, host: u8) {
        let now = self.now;
        let Some(it) = self.hosts.get_mut(&host) else {
            return;
        };
        let balancers = it.balancers.clone();
        let Some(agent) = it.agent.as_mut() else {
            return;
        };
        let reports: Vec<_> =
            balancers.into_iter().map(|to| (to, agent.next_report(now))).collect();
        for (to, report) in reports {
            self.send_message(address(host), to, Message::Report(report));
        }
    }

    fn send_message(&mut self, from: SocketAddrV4, to: SocketAddrV4, message: Message) {
        if self.rng.random_bool(self.params.loss) {
            return;
        }
        let number = to.ip().octets()[3];
        let event = if number >= FIRST_BALANCER {
            Event::ToBalancer(number, from, message)
        } else {
            Event::ToAgent(number, from, message)
        };
        self.push(HOP_MS, event);
    }

    fn balancer_receives(&mut self, number: u8, from: SocketAddrV4, message: Message) {
        match message {
            Message::Report(report) => {
                let others: Vec<_> =
                    self.balancers().into_iter().filter(|&it| it != number).map(address).collect();
                self.with_balancer(number, |it, now, out| {
                    let _: ReportChange = it.handle_report(from, report, now, out);
                    it.return_service(from, &others, out);
                });
            }
            Message::QueryResponse(statuses) => self.with_balancer(number, |it, now, out| {
                for (key, status) in &statuses {
                    it.handle_query_result(from, *key, *status, now, out);
                }
            }),
            Message::Answer(key, answer, packet) => {
                let head = packet.map(|it| self.packets[it as usize]);
                let bytes = packet.unwrap_or(0).to_be_bytes();
                self.with_balancer(number, |it, now, out| {
                    let returned = head.as_ref().map(|it| (it, &bytes[..]));
                    it.handle_answer(from, key, answer, returned, now, out);
                });
            }
            Message::Offer(pool, slots) => self.with_balancer(number, |it, now, out| {
                it.handle_offer(from, pool, slots, now, out);
            }),
            Message::Packet(..)
            | Message::FanOut(..)
            | Message::Query(_)
            | Message::Reserve(_)
            | Message::Decline
            | Message::Service(_)
            | Message::Subscribe => {}
        }
    }

    fn agent_receives(&mut self, host: u8, from: SocketAddrV4, message: Message) {
        let now = self.now;
        match message {
            Message::Packet(relay, packet) => {
                let head = self.packets[packet as usize];
                let bytes = packet.to_be_bytes();
                self.with_agent_packet(host, packet, |it, out| {
                    it.handle_relayed_packet(&relay, &head, &bytes, now, out);
                });
            }
            Message::FanOut(relay, agents, packet) => {
                let head = self.packets[packet as usize];
                let bytes = packet.to_be_bytes();
                self.with_agent_packet(host, packet, |it, out| {
                    it.fan_out(&relay, &agents, &head, &bytes, now, out);
                });
            }
            Message::Query(keys) => self.with_agent(host, |it, out| it.query(from, &keys, out)),
            Message::Service(service) => self.with_agent(host, |it, _| {
                it.learn_service_time(service);
            }),
            Message::Subscribe => {
                if let Some(it) = self.hosts.get_mut(&host) {
                    it.balancers.insert(from);
                }
                self.report(host);
            }
            Message::Reserve(reservation) => self.with_agent(host, |it, out| {
                it.handle_reservation(from, &reservation, now, out);
            }),
            Message::Decline => self.with_agent(host, |it, out| it.handle_decline(from, now, out)),
            Message::Answer(..)
            | Message::QueryResponse(_)
            | Message::Report(_)
            | Message::Offer(..) => {}
        }
    }

    fn with_balancer<F>(&mut self, number: u8, f: F)
    where
        F: FnOnce(&mut Balancer, u64, &mut Vec<Effect>),
    {
        let mut out = Vec::new();
        let Some(it) = self.balancers.get_mut(&number) else {
            return;
        };
        f(it, self.now, &mut out);
        self.balancer_effects(number, out, 0);
    }

    fn balancer_effects(&mut self, number: u8, effects: Vec<Effect>, current: u64) {
        let from = address(number);
        for effect in effects {
            match effect {
                Effect::Relay { to, relay, payload } => {
                    let packet = packet_of(&payload, current);
                    self.send_message(from, to, Message::Packet(relay, packet));
                }
                Effect::Query { to, keys } => self.send_message(from, to, Message::Query(keys)),
                Effect::FanOut { to, relay, agents, packet } => {
                    let packet = packet_of(&Payload::Buffered(packet), current);
                    self.send_message(from, to, Message::FanOut(relay, agents, packet));
                }
                Effect::Hello { to } => self.send_message(from, to, Message::Subscribe),
                Effect::Reserve { to, reservation } => {
                    self.send_message(from, to, Message::Reserve(reservation));
                }
                Effect::Decline { to, .. } => self.send_message(from, to, Message::Decline),
                Effect::ReturnService { to, service } => {
                    self.returned += 1;
                    self.send_message(from, to, Message::Service(service));
                }
                Effect::ReloadMembers => {
                    let members = self.listed();
                    if let Some(it) = self.balancers.get_mut(&number) {
                        it.sync_members(&members, self.now);
                    }
                }
                Effect::Reset { key, .. } => self.reset(key),
                _ => {}
            }
        }
    }

    fn with_agent<F>(&mut self, host: u8, f: F)
    where
        F: FnOnce(&mut Agent, &mut Vec<Effect>),
    {
        self.with_agent_packet(host, 0, f);
    }

    fn with_agent_packet<F>(&mut self, host: u8, current: u64, f: F)
    where
        F: FnOnce(&mut Agent, &mut Vec<Effect>),
    {
        let mut out = Vec::new();
        let Some(it) = self.hosts.get_mut(&host).and_then(|it| it.agent.as_mut()) else {
            return;
        };
        f(it, &mut out);
        let from = address(host);
        for effect in out {
            match effect {
                Effect::Relay { to, relay, payload } => {
                    let packet = packet_of(&payload, current);
                    self.send_message(from, to, Message::Packet(relay, packet));
                }
                Effect::Answer { to, key, answer, returned } => {
                    let packet = returned.then_some(current);
                    self.send_message(from, to, Message::Answer(key, answer, packet));
                }
                Effect::QueryResponse { to, statuses } => {
                    self.send_message(from, to, Message::QueryResponse(statuses));
                }
                Effect::Deliver => self.deliver(host, current),
                Effect::Release { packet } => {
                    self.deliver(host, packet_of(&Payload::Buffered(packet), current));
                }
                Effect::Reply => self.reply(current),
                Effect::Reset { key, .. } => self.reset(key),
                Effect::Offer { to, pool, slots } => {
                    self.send_message(from, to, Message::Offer(pool, slots));
                }
                Effect::Report => self.report(host),
                _ => {}
            }
        }
    }

    fn deliver(&mut self, host: u8, packet: u64) {
        let head = self.packets[packet as usize];
        let first = self.rng.random_range(1_000..4_000_000_000);
        let Some(it) = self.hosts.get_mut(&host).and_then(|it| it.upstream.as_mut()) else {
            return;
        };
        if head.kind == PacketKind::Open {
            if it.draining_since.is_some_and(|since| self.now > since + DRAIN_MS) {
                self.tally.late_work += 1;
            }
            let first = *it.opening.entry(head.key).or_insert(first);
            return self.emit(host, PacketHeader { seq: first, ack: 0, ..head });
        }
        if it.opening.get(&head.key).is_some_and(|it| head.ack == it.wrapping_add(1)) {
            it.opening.remove(&head.key);
            it.open.insert(head.key);
        }
        if !it.open.contains(&head.key) {
            return self.emit(host, PacketHeader { bounced: true, ..head });
        }
        match head.kind {
            PacketKind::Finish => {
                it.open.remove(&head.key);
                self.emit(host, PacketHeader { len: 0, ..head });
            }
            _ if it.resets && head.len > 0 => {
                it.open.remove(&head.key);
                self.emit(host, PacketHeader { kind: PacketKind::Reset, len: 0, ..head });
            }
            _ => self.request(host, head.key),
        }
    }

    fn request(&mut self, host: u8, key: FlowKey) {
        let Some(&id) = self.by_key.get(&key) else {
            return;
        };
        let (slots, queue) = (self.params.slots, self.params.queue);
        let Some(it) = self.hosts.get_mut(&host).and_then(|it| it.upstream.as_mut()) else {
            return;
        };
        if it.running.contains(&id) || it.waiting.contains(&id) {
            // A retransmission of a request that has arrived.
            return;
        }
        if it.running.len() < slots as usize {
            it.running.insert(id);
            it.started += 1;
            let upstream = it.id;
            return self.start_work(host, upstream, id);
        }
        if it.waiting.len() < queue {
            it.waiting.push_back(id);
            return;
        }
        self.tally.shed += 1;
        if let Some(flow) = self.flows.get_mut(&id) {
            flow.refused = true;
        }
        self.respond(host, id);
    }

    fn start_work(&mut self, host: u8, upstream: u64, id: u64) {
        let flow = self.flows.get(&id);
        let params = flow.and_then(|it| self.route_params.get(&it.key.service));
        let mean = params.map_or(self.params.work_ms, |it| it.1) as f64;
        let mean = mean / self.speeds.get(&host).copied().unwrap_or(1.0);
        let work = mean * -(1.0 - self.rng.random::<f64>()).ln();
        let (share, times) = self.tail;
        let times = if share > 0.0 && self.rng.random_bool(share) { times } else { 1.0 };
        self.push((work.min(mean * 6.0) * times) as u64 + 1, Event::Work(host, upstream, id));
    }

    fn work_done(&mut self, host: u8, upstream: u64, id: u64) {
        let Some(it) = self.hosts.get_mut(&host).and_then(|it| it.upstream.as_mut()) else {
            return;
        };
        if it.id != upstream {
            return;
        }
        it.running.remove(&id);
        if let Some(next) = it.waiting.pop_front() {
            it.running.insert(next);
            it.started += 1;
            self.start_work(host, upstream, next);
        }
        self.respond(host, id);
    }

    fn respond(&mut self, host: u8, id: u64) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        let (key, ack) = (flow.key, flow.seq.wrapping_add(100));
        let seq = flow.next_ack.unwrap_or(0);
        let head = PacketHeader { key, kind: PacketKind::Data, bounced: false, seq, ack, len: 100 };
        self.emit(host, head);
    }

    fn emit(&mut self, host: u8, head: PacketHeader) {
        let packet = self.new_packet(head);
        let now = self.now;
        self.with_agent_packet(host, packet, |it, out| it.handle_upstream_packet(&head, now, out));
    }

    fn new_packet(&mut self, head: PacketHeader) -> u64 {
        self.packets.push(PacketHeader { bounced: false, ..head });
        self.packets.len() as u64 - 1
    }

    fn reply(&mut self, packet: u64) {
        let head = self.packets[packet as usize];
        if let Some(&id) = self.by_key.get(&head.key) {
            self.push(HOP_MS, Event::ToCaller(id, head));
        }
    }

    fn reset(&mut self, key: FlowKey) {
        let upstreams = self.hosts.values().filter_map(|it| it.upstream.as_ref());
        if upstreams.into_iter().any(|it| it.open.contains(&key)) {
            self.tally.broken += 1;
        }
        if let Some(&id) = self.by_key.get(&key) {
            self.push(HOP_MS, Event::Reset(id));
        }
    }

    fn handle_reset(&mut self, id: u64) {
        self.tally.reset += 1;
        self.end_flow(id);
    }

    fn end_flow(&mut self, id: u64) {
        if let Some(flow) = self.flows.remove(&id) {
            self.by_key.remove(&flow.key);
        }
    }

    /// Sends the flow's current packet to the balancer that the router selects.
    fn send(&mut self, id: u64, copy: u32) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        flow.copy = copy;
        let head = match flow.next_ack {
            None => PacketHeader {
                key: flow.key,
                kind: PacketKind::Open,
                bounced: false,
                seq: 1,
                ack: copy,
                len: 0,
            },
            Some(ack) => PacketHeader {
                key: flow.key,
                kind: if flow.closing { PacketKind::Finish } else { PacketKind::Data },
                bounced: false,
                seq: flow.seq,
                ack,
                len: if flow.closing { 0 } else { 100 },
            },
        };
        let (key, zone) = (flow.key, flow.zone);
        let packet = self.new_packet(head);
        if let Some(&wait) = RETRANSMIT_DELAYS_MS.get(copy as usize) {
            self.push(wait, Event::Retransmit(id, copy + 1));
        } else {
            self.push(RETRANSMIT_DELAYS_MS[3], Event::Retransmit(id, copy + 1));
        }
        let Some(number) = self.router(zone, key.hash()) else {
            return;
        };
        let bytes = packet.to_be_bytes();
        let mut out = Vec::new();
        if let Some(it) = self.balancers.get_mut(&number) {
            it.handle_packet(&head, &bytes, self.now, &mut out);
        }
        self.balancer_effects(number, out, packet);
    }

    fn router(&self, zone: u64, hash: u64) -> Option<u8> {
        let mut all = self.balancers();
        all.retain(|it| !self.unrouted.contains(it));
        let near: Vec<u8> = all.iter().copied().filter(|&it| self.zone_of(it) == zone).collect();
        let some = if near.is_empty() { all } else { near };
        let at = (hash >> 16) as usize % some.len().max(1);
        some.get(at).copied()
    }

    fn retransmit(&mut self, id: u64, copy: u32) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        if !flow.waiting || flow.copy + 1 != copy {
            return;
        }
        if copy as usize > RETRANSMIT_DELAYS_MS.len() {
            self.tally.given_up += 1;
            return self.end_flow(id);
        }
        self.send(id, copy);
    }

    fn caller_receives(&mut self, id: u64, head: &PacketHeader) {
        let now = self.now;
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        match head.kind {
            PacketKind::Open if flow.next_ack.is_none() => {
                flow.next_ack = Some(head.seq.wrapping_add(1));
                flow.copy = 100;
                self.send(id, 0);
            }
            PacketKind::Data
                if flow.waiting && !flow.closing && head.ack == flow.seq.wrapping_add(100) =>
            {
                flow.waiting = false;
                flow.left -= 1;
                flow.seq = head.ack;
                let (pause, waited) = (flow.pause_ms, now - flow.sent_ms);
                self.tally.answered += 1;
                self.tally.latencies_ms.push(waited);
                if !std::mem::take(&mut flow.refused) {
                    let served = self.tally.served.entry(flow.key.service).or_default();
                    served.push((flow.sent_ms, waited));
                }
                let pause = self.rng.random_range(0..=2 * pause);
                self.push(pause, Event::NextRequest(id));
            }
            PacketKind::Finish if flow.closing => self.end_flow(id),
            PacketKind::Reset => {
                self.tally.failed += 1;
                self.end_flow(id);
            }
            _ => {}
        }
    }

    fn next_request(&mut self, id: u64) {
        let now = self.now;
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        flow.waiting = true;
        flow.sent_ms = now;
        flow.closing = flow.left == 0;
        self.send(id, 0);
    }
}

fn packet_of(payload: &Payload, current: u64) -> u64 {
    match payload {
        Payload::Current => current,
        Payload::Buffered(bytes) => {
            let bytes: [u8; 8] = bytes.as_slice().try_into().expect("a packet's number");
            u64::from_be_bytes(bytes)
        }
    }
}
