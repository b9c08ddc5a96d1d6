//! The balancer process on an entry VM: receives callers' packets and forwards them to agents.

mod input;
mod maintenance;
mod pool_status;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use camphorwinch_core::opaque::{
    FlowKey, PacketHeader,
    balancer::Balancer,
    balancer_monitor::BalancerMonitor,
    effect::{Effect, Payload},
    fleet::{MemberEntry, ZoneId},
    pool_monitor::PoolMonitor,
    zone::Regions,
};
use camphorwinch_wire::opaque::{Body, Hello, Snapshot};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc, watch},
    time::{Instant, MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::now_ms,
    codec::Codec,
    decision_log::DecisionLog,
    discovery::{self, DiscoveryState, Follow, Join, Topic, Update, WatchRemovals, WatchRole},
    event::Id,
    lists::Lists,
    metrics,
    peers::{Peers, send},
    snapshot, socket,
    store::{Member, Record, Store},
};

/// Interval between timer ticks.
const TICK: Duration = Duration::from_millis(20);
/// Interval between status updates while the balancer is ready; routers probe twice a second.
const STATUS_INTERVAL_MS: u64 = 100;
/// Packets read from one socket before the others are served.
const MAX_PACKETS_PER_TURN: usize = 64;
/// Minimum time from the loss of readiness until a stop, so that two readiness probes can fail.
const MIN_STOP_MS: u64 = 1_600;
/// Maximum duration of a stop, below the platform's limit of 6 s.
const MAX_STOP_MS: u64 = 4_000;
/// Time without a caller's packet after which a stop completes.
const QUIET_PERIOD_MS: u64 = 300;
/// Time after the start from which a balancer without any agent counts as ready, so that callers get resets.
const STARTUP_GRACE_MS: u64 = 3_000;
/// Minimum share of reachable agents.
const MIN_REACHABLE_SHARE: f64 = 0.34;
/// Capacity of the internal channels.
const CHANNEL_CAPACITY: usize = 64;

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process as a member.
    pub member: Member,
    /// Address on which callers' packets arrive.
    pub callers: SocketAddrV4,
    /// Port on which callers receive packets.
    pub caller_port: u16,
    /// Whether the system starts for the first time.
    pub first_start: bool,
    /// Balancers to request the state from while the store is unavailable.
    pub seeds: watch::Receiver<Vec<SocketAddrV4>>,
    /// Whether zones may be taken out of service. If so, no flow is placed before the zones out of service are known.
    pub zones_change: bool,
    /// Region of each zone.
    pub regions: Regions,
    /// Whether opening packets for full pools are deferred until an agent offers a slot.
    pub late_binding: bool,
}

/// Shared readiness flag of a balancer.
#[derive(Clone, Debug, Default)]
pub struct Ready(Arc<AtomicBool>);

impl Ready {
    /// Whether the balancer is ready for packets.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Sets the flag and returns whether it changed.
    pub(crate) fn set(&self, ready: bool) -> bool {
        self.0.swap(ready, Ordering::Relaxed) != ready
    }
}

/// Runs a balancer until `stop` is cancelled.
pub async fn run<C, S>(
    settings: Settings,
    codec: C,
    store: S,
    ready: Ready,
    stop: CancellationToken,
) -> anyhow::Result<()>
where
    C: Codec,
    S: Store,
{
    let own = settings.member.clone();
    let callers = socket::udp(settings.callers, "callers")?;
    let peers = Peers::new(socket::udp(own.address, "other processes")?);
    let (newest, snapshots) = watch::channel(Arc::new(Snapshot::default()));
    let lists = Arc::new(Lists::default());
    snapshot::serve(own.address, snapshots, Some(lists.clone()))?;
    let (updates, input) = mpsc::channel(CHANNEL_CAPACITY);
    tokio::spawn(discovery::observe_resets(store.era()));
    let relist = Arc::new(Notify::new());
    let (_, serves) = watch::channel(true);
    let (start, started) = watch::channel(DiscoveryState::Requesting);
    let join = Join {
        store: store.clone(),
        own: own.clone(),
        serves,
        entry: watch::Sender::default(),
        first_start: settings.first_start,
        seeds: settings.seeds.clone(),
        // Only agents record which balancers sent them a hello.
        hello_senders: watch::Sender::default().subscribe(),
        relist: relist.clone(),
        lists: lists.clone(),
        start,
        out: updates.clone(),
    };
    tokio::spawn(join.run());
    let (routes_role_sender, routes_role) = watch::channel(WatchRole::Undecided);
    let (zones_role_sender, zones_role) = watch::channel(WatchRole::Undecided);
    let (config_answers, zones_answers) = (watch::Sender::default(), watch::Sender::default());
    let topic = Topic::Routes;
    let config_read = Arc::new(Notify::new());
    let routes = Follow {
        store: store.clone(),
        role: routes_role,
        start: started.clone(),
        config_read: config_read.clone(),
        peer_answers: config_answers.subscribe(),
        out: updates.clone(),
    };
    tokio::spawn(routes.run(topic));
    let now = now_ms();
    let mut state = Balancer::new(own.address, ZoneId::of(&own.zone))
        .with_regions(settings.regions)
        .with_late_binding(settings.late_binding)
        .with_first_start(settings.first_start)
        .with_startup_buffer(now);
    if settings.zones_change {
        state = state.with_unknown_zones();
        let topic = Topic::zones();
        let (store, out) = (store.clone(), updates.clone());
        let peer_answers = zones_answers.subscribe();
        let role = zones_role;
        let zones = Follow { store, role, start: started, config_read, peer_answers, out };
        tokio::spawn(zones.run(topic));
    }
    let (removals_sender, watches) = watch::channel(false);
    let (list, out) = (lists.clone(), updates.clone());
    let removals = WatchRemovals { store: store.clone(), watches, lists: list, out };
    tokio::spawn(removals.run());
    let (gone, to_withdraw) = mpsc::channel(CHANNEL_CAPACITY);
    let withdrawing = watch::Sender::default();
    tokio::spawn(discovery::withdraw_gone_members(store, to_withdraw, withdrawing.clone()));
    let process = Process {
        state,
        own: own.address,
        zone: ZoneId::of(&own.zone),
        caller_port: settings.caller_port,
        codec,
        callers,
        peers,
        ready,
        newest,
        unpublished: false,
        updates,
        relist,
        balancers: BTreeSet::new(),
        monitor: BalancerMonitor::default(),
        live: BTreeSet::new(),
        present: BTreeSet::new(),
        unlisted: BTreeSet::new(),
        lists,
        records: Vec::new(),
        withdrawn: BTreeSet::new(),
        list_era: None,
        checks_list: false,
        hello_resend_ms: None,
        withdraw_due: BTreeMap::new(),
        gone,
        withdrawing,
        effects: Vec::new(),
        scratch: Vec::new(),
        decision_log: DecisionLog::new(now),
        pool_monitor: PoolMonitor::default(),
        started_ms: now,
        connected_ms: None,
        stopping_ms: None,
        gossip_ms: now,
        withdraw_check_ms: now,
        packet_ms: now,
        status_ms: now,
        routes_role_sender,
        zones_role_sender,
        removals_sender,
        config_answers,
        zones_answers,
    };
    process.serve(input, stop).await
}

struct Process<C> {
    state: Balancer,
    own: SocketAddrV4,
    zone: ZoneId,
    caller_port: u16,
    codec: C,
    callers: UdpSocket,
    peers: Peers,
    ready: Ready,
    newest: watch::Sender<Arc<Snapshot>>,
    /// Members changed since the last snapshot. Changes are batched, as a snapshot per change is quadratic in their
    /// number at a start.
    unpublished: bool,
    updates: mpsc::Sender<Update>,
    relist: Arc<Notify>,
    /// Addresses of the other balancers.
    balancers: BTreeSet<SocketAddrV4>,
    monitor: BalancerMonitor,
    /// Other balancers that have been heard of lately, and those of which nothing says that they are gone.
    live: BTreeSet<SocketAddrV4>,
    present: BTreeSet<SocketAddrV4>,
    /// Balancers whose entries were removed. They are notified if they are heard of again.
    unlisted: BTreeSet<SocketAddrV4>,
    /// The member list as served to peers.
    lists: Arc<Lists>,
    records: Vec<Record>,
    /// Members withdrawn by this balancer since the last list.
    withdrawn: BTreeSet<SocketAddrV4>,
    /// Store era of the last member list.
    list_era: Option<u64>,
    /// Whether the next list is checked for agents that are missing from it.
    checks_list: bool,
    /// Time of the repeated hello to all balancers about the newest configuration.
    hello_resend_ms: Option<u64>,
    /// Agents due for withdrawal, and since when.
    withdraw_due: BTreeMap<SocketAddrV4, u64>,
    gone: mpsc::Sender<Record>,
    /// Members whose withdrawal has not ended and that have given no sign of life since it began.
    withdrawing: watch::Sender<BTreeSet<SocketAddrV4>>,
    effects: Vec<Effect>,
    scratch: Vec<u8>,
    decision_log: DecisionLog,
    pool_monitor: PoolMonitor,
    started_ms: u64,
    /// Time since which enough agents are reachable; none if too few are.
    connected_ms: Option<u64>,
    /// Time at which the process was told to stop.
    stopping_ms: Option<u64>,
    gossip_ms: u64,
    withdraw_check_ms: u64,
    packet_ms: u64,
    status_ms: u64,
    /// How this balancer follows the configuration.
    routes_role_sender: watch::Sender<WatchRole>,
    /// How this balancer follows the zones out of service.
    zones_role_sender: watch::Sender<WatchRole>,
    /// Whether this balancer watches the member list for removals.
    removals_sender: watch::Sender<bool>,
    /// Times of the store's latest answers to other watchers of the configuration and of the zones.
    config_answers: watch::Sender<Option<Instant>>,
    zones_answers: watch::Sender<Option<Instant>>,
}

impl<C> Process<C>
where
    C: Codec,
{
    async fn serve(
        mut self,
        mut input: mpsc::Receiver<Update>,
        stop: CancellationToken,
    ) -> anyhow::Result<()> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                it = self.callers.readable() => {
                    it?;
                    self.receive_callers();
                }
                it = self.peers.socket().readable() => {
                    it?;
                    self.receive_peers();
                }
                Some(update) = input.recv() => self.handle_update(update),
                _ = ticks.tick() => self.tick(),
                () = stop.cancelled(), if self.stopping_ms.is_none() => {
                    let id = Id::Stopping;
                    tracing::info!(id = id as u16, name = id.name(), flows = self.state.flows());
                    self.stopping_ms = Some(now_ms());
                    self.ready.set(false);
                }
            }
            if self.stopping_ms.is_some_and(|it| self.is_quiet(it)) {
                self.send_hello_to_all(true);
                let id = Id::Stopped;
                tracing::info!(id = id as u16, name = id.name());
                return Ok(());
            }
        }
    }

    fn is_quiet(&self, stopping_ms: u64) -> bool {
        let now = now_ms();
        let since = now.saturating_sub(stopping_ms);
        let quiet =
            now.saturating_sub(self.packet_ms) > QUIET_PERIOD_MS && self.state.deferred() == 0;
        since > MAX_STOP_MS || (since > MIN_STOP_MS && quiet)
    }

    /// Publishes a snapshot of the current state for peers.
    fn publish(&mut self) {
        self.unpublished = false;
        let mut members = self.state.fleet().members();
        let balancer = |&address| MemberEntry { address, pool: None, zone: self.zone };
        members.extend(self.balancers.iter().map(balancer));
        members.push(balancer(&self.own));
        let reporting = self.state.fleet().stable_agents(now_ms()).into_iter().collect();
        let snapshot =
            Snapshot::new(self.state.routes().routes(), &members).with_reporting(&reporting);
        let lost_zones = self.state.fleet().lost_zones().map(str::to_owned).collect();
        let snapshot = snapshot.with_zones(self.state.fleet().zones_out());
        let former_pools = self.state.routes().former_pools().list(now_ms());
        let restarting = self.state.fleet().restarting_agents(now_ms());
        let snapshot = snapshot
            .with_former_pools(&former_pools, self.state.knows_former_pools())
            .with_restarting(&restarting);
        let snapshot = Snapshot { lost_zones, ..snapshot };
        self.newest.send_replace(Arc::new(snapshot));
    }

    fn tick(&mut self) {
        let now = now_ms();
        self.state.tick(now, &mut self.effects);
        self.apply(&[], now);
        self.decision_log.tick(now);
        self.report_pools(now);
        self.gossip(now);
        self.resend_hellos(now);
        self.expire_lost_zones(now);
        self.withdraw_gone_members(now);
        if self.ready.get() && now.saturating_sub(self.status_ms) < STATUS_INTERVAL_MS {
            return;
        }
        self.update_live_balancers(now);
        self.status_ms = now;
        self.update_watch_roles();
        if self.unpublished {
            self.publish();
        }
        metrics::FLOWS.set(self.state.flows() as i64);
        metrics::DEFERRED.set(self.state.deferred() as i64);
        metrics::HELD_BYTES.set(self.state.buffered_bytes() as i64);
        metrics::PEERS.set(self.state.fleet().live_count(now) as i64);
        if self.stopping_ms.is_some() {
            return;
        }
        let ready = self.can_serve(now);
        self.connected_ms = self.connected_ms.or(Some(now)).filter(|_| ready);
        if self.ready.set(ready) {
            let id = if ready { Id::Connected } else { Id::Disconnected };
            let (live, known) = (self.state.fleet().live_count(now), self.state.fleet().len());
            tracing::info!(id = id as u16, name = id.name(), heard = live, known);
        }
    }

    /// Whether packets can be served: the configuration is known and enough agents are reachable.
    fn can_serve(&self, now: u64) -> bool {
        if self.state.routes().config_version().is_none() {
            return false;
        }
        let (live, known) = (self.state.fleet().live_count(now), self.state.fleet().len());
        if live == 0 {
            return known == 0 && now.saturating_sub(self.started_ms) > STARTUP_GRACE_MS;
        }
        live as f64 >= known as f64 * MIN_REACHABLE_SHARE
    }

    fn apply(&mut self, current: &[u8], now: u64) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Relay { to, relay, payload: Payload::Current } => {
                    self.peers.relay(to, &relay, current);
                }
                Effect::Relay { to, relay, payload: Payload::Buffered(packet) } => {
                    self.peers.relay(to, &relay, &packet);
                }
                Effect::Reset { key, seq } => self.reset(&key, seq),
                Effect::Hello { to } => self.send_hello(to, false),
                Effect::ReturnService { to, service } => {
                    let hello = Hello { service: Some(service.into()), ..Hello::default() };
                    self.peers.control(to, Body::Hello(hello));
                }
                Effect::ReloadMembers => self.relist.notify_one(),
                Effect::Unlisted { to } => {
                    self.withdrawing.send_if_modified(|it| it.remove(&to));
                    let hello = Hello { unlisted: true, ..self.hello() };
                    self.peers.control(to, Body::Hello(hello));
                }
                Effect::Query { to, keys } => self.peers.query(to, &keys),
                Effect::FanOut { to, relay, agents, packet } => {
                    self.peers.fan_out(to, &relay, &agents, &packet);
                }
                Effect::Reserve { to, reservation } => self.peers.reserve(to, &reservation),
                Effect::Decline { to, pool } => {
                    metrics::DECISIONS.with_label_values(&["declined"]).inc();
                    self.peers.decline(to, pool);
                }
                Effect::LogDecision { key, decision } => {
                    self.decision_log.write(key, &decision, now)
                }
                Effect::Answer { .. }
                | Effect::QueryResponse { .. }
                | Effect::Offer { .. }
                | Effect::Deliver
                | Effect::Release { .. }
                | Effect::Reply
                | Effect::Report => unreachable!("only agents do this"),
            }
        }
        self.effects = effects;
    }

    fn reset(&mut self, key: &FlowKey, seq: u32) {
        self.scratch.clear();
        self.codec.reset(key, seq, &mut self.scratch);
        let to = SocketAddrV4::new(*key.caller.ip(), self.caller_port);
        send(&self.callers, to, &self.scratch, "reset");
    }
}

/// Destination of a packet for a caller.
pub(crate) fn caller_address(head: &PacketHeader, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(*head.key.caller.ip(), port)
}
