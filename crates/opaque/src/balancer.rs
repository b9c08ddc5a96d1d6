//! The process on an entry VM: takes callers' packets and sends them to agents.

mod duties;
mod input;

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
    FlowKey, Head,
    balancer::Balancer,
    effect::{Effect, Payload},
    fleet::{Listed, ZoneId},
    zone::Regions,
};
use camphorwinch_wire::opaque::{Body, Greeting, Snapshot};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc, watch},
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::now_ms,
    codec::Codec,
    discovery::{self, Duty, Follow, Found, Join, Start, Topic},
    event::Id,
    lists::Lists,
    member::{Peers, send},
    metrics,
    note::Notes,
    snapshot, socket,
    store::{Member, Record, Store},
};

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);
/// Pause between two looks at all agents while the balancer is ready: routers ask twice a second.
const LOOK_MS: u64 = 100;
/// Packets taken from one socket before the others get their turn.
const TURN: usize = 64;
/// Time from the loss of readiness until a stop: two probes of the fabric and some.
const LEAVE_MS: u64 = 1_600;
/// Longest time of a stop, within the platform's patience of 6 s.
const STOP_MS: u64 = 4_000;
/// Time without a caller's packet after which a stop is done.
const QUIET_MS: u64 = 300;
/// Time after the start from which a balancer without any agent counts as ready, so that callers learn of it.
const START_MS: u64 = 3_000;
/// Share of the agents that must be heard of.
const HEARD_SHARE: f64 = 0.34;
/// What may wait between discovery and the loop.
const WAITING: usize = 64;

/// Settings of a balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process in the store's list.
    pub member: Member,
    /// Where callers' packets arrive.
    pub callers: SocketAddrV4,
    /// Port at which callers take packets.
    pub caller_port: u16,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Balancers to ask while the store is of no use; they may change.
    pub seeds: watch::Receiver<Vec<SocketAddrV4>>,
    /// Whether zones may be taken out of service here. Then no flow is placed before it is known which ones are.
    pub zones_change: bool,
    /// Region of each zone.
    pub regions: Regions,
}

/// Whether the process should get packets.
#[derive(Clone, Debug, Default)]
pub struct Ready(Arc<AtomicBool>);

impl Ready {
    /// Whether it should.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Sets it; whether that is a change.
    pub(crate) fn set(&self, ready: bool) -> bool {
        self.0.swap(ready, Ordering::Relaxed) != ready
    }
}

/// Runs a balancer until `stop`.
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
    let (found, input) = mpsc::channel(WAITING);
    tokio::spawn(discovery::observe_resets(store.era()));
    let list_again = Arc::new(Notify::new());
    let (_, serves) = watch::channel(true);
    let (start, started) = watch::channel(Start::Asking);
    let join = Join {
        store: store.clone(),
        own: own.clone(),
        serves,
        first_start: settings.first_start,
        seeds: settings.seeds.clone(),
        // Only agents are greeted.
        greeted: watch::Sender::default().subscribe(),
        again: list_again.clone(),
        lists: lists.clone(),
        start,
        out: found.clone(),
    };
    tokio::spawn(join.run());
    let (watches, watching) = watch::channel(Duty::Undecided);
    let (zone_watches, zone_watching) = watch::channel(Duty::Undecided);
    let topic = Topic::Routes;
    let served = Arc::new(Notify::new());
    let routes = Follow {
        store: store.clone(),
        duty: watching,
        start: started.clone(),
        served: served.clone(),
        out: found.clone(),
    };
    tokio::spawn(routes.run(topic));
    let mut state =
        Balancer::new(own.address, ZoneId::of(&own.zone)).with_regions(settings.regions);
    if settings.zones_change {
        state = state.with_unknown_zones();
        let topic = Topic::zones();
        let (store, out) = (store.clone(), found.clone());
        let zones = Follow { store, duty: zone_watching, start: started, served, out };
        tokio::spawn(zones.run(topic));
    }
    let (gone, to_withdraw) = mpsc::channel(WAITING);
    tokio::spawn(discovery::weed(store, to_withdraw));
    let now = now_ms();
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
        found,
        list_again,
        balancers: BTreeSet::new(),
        lists,
        records: Vec::new(),
        removed: BTreeSet::new(),
        list_era: None,
        retell_ms: None,
        due: BTreeMap::new(),
        gone,
        effects: Vec::new(),
        scratch: Vec::new(),
        notes: Notes::new(now),
        started_ms: now,
        gossip_ms: now,
        weed_ms: now,
        packet_ms: now,
        looked_ms: now,
        watches,
        zone_watches,
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
    /// Members changed since the snapshot. At a start all of them do, one after the other: a snapshot for each would take
    /// time by the square of their number.
    unpublished: bool,
    found: mpsc::Sender<Found>,
    list_again: Arc<Notify>,
    /// The other balancers.
    balancers: BTreeSet<SocketAddrV4>,
    /// The list as others may ask for it.
    lists: Arc<Lists>,
    records: Vec<Record>,
    /// Agents whose objects this balancer has removed since the list.
    removed: BTreeSet<SocketAddrV4>,
    /// Era of the store that listed the members last.
    list_era: Option<u64>,
    /// When all other balancers are told of the newest configuration.
    retell_ms: Option<u64>,
    /// Agents whose objects are to be removed, and since when.
    due: BTreeMap<SocketAddrV4, u64>,
    gone: mpsc::Sender<Record>,
    effects: Vec<Effect>,
    scratch: Vec<u8>,
    notes: Notes,
    started_ms: u64,
    gossip_ms: u64,
    weed_ms: u64,
    packet_ms: u64,
    looked_ms: u64,
    /// Whether this balancer waits at the store for changes of the configuration.
    watches: watch::Sender<Duty>,
    /// The same for the zones out of service.
    zone_watches: watch::Sender<Duty>,
}

impl<C> Process<C>
where
    C: Codec,
{
    async fn serve(
        mut self,
        mut input: mpsc::Receiver<Found>,
        stop: CancellationToken,
    ) -> anyhow::Result<()> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stopping_ms = None;
        loop {
            tokio::select! {
                it = self.callers.readable() => {
                    it?;
                    self.take_callers();
                }
                it = self.peers.socket().readable() => {
                    it?;
                    self.take_peers();
                }
                Some(found) = input.recv() => self.take_found(found),
                _ = ticks.tick() => self.tick(stopping_ms.is_some()),
                () = stop.cancelled(), if stopping_ms.is_none() => {
                    let id = Id::Stopping;
                    tracing::info!(id = id as u16, name = id.name(), flows = self.state.flows());
                    stopping_ms = Some(now_ms());
                    self.ready.set(false);
                }
            }
            if stopping_ms.is_some_and(|it| self.is_quiet(it)) {
                self.greet_all(true);
                let id = Id::Stopped;
                tracing::info!(id = id as u16, name = id.name());
                return Ok(());
            }
        }
    }

    fn is_quiet(&self, stopping_ms: u64) -> bool {
        let now = now_ms();
        let since = now.saturating_sub(stopping_ms);
        let quiet = now.saturating_sub(self.packet_ms) > QUIET_MS;
        since > STOP_MS || (since > LEAVE_MS && quiet)
    }

    /// Makes what is known here available to peers that can't ask the store.
    fn publish(&mut self) {
        self.unpublished = false;
        let mut members = self.state.fleet().members();
        let balancer = |&address| Listed { address, pool: None, zone: self.zone };
        members.extend(self.balancers.iter().map(balancer));
        members.push(balancer(&self.own));
        let snapshot = Snapshot::new(self.state.routes().routes(), &members);
        let lost_zones = self.state.fleet().lost_zones().map(str::to_owned).collect();
        let snapshot = snapshot.with_zones(self.state.fleet().zones_out());
        let snapshot = Snapshot { lost_zones, ..snapshot };
        self.newest.send_replace(Arc::new(snapshot));
    }

    fn tick(&mut self, stopping: bool) {
        let now = now_ms();
        self.state.tick(now, &mut self.effects);
        self.apply(&[], now);
        self.notes.tick(now);
        self.gossip(now);
        self.tell_again(now);
        self.release_zones(now);
        self.weed(now);
        if self.ready.get() && now.saturating_sub(self.looked_ms) < LOOK_MS {
            return;
        }
        self.looked_ms = now;
        self.choose_watchers();
        if self.unpublished {
            self.publish();
        }
        metrics::FLOWS.set(self.state.flows() as i64);
        metrics::HELD_BYTES.set(self.state.held_bytes() as i64);
        metrics::PEERS.set(self.state.fleet().heard(now) as i64);
        if stopping {
            return;
        }
        let ready = self.is_connected(now);
        if self.ready.set(ready) {
            let id = if ready { Id::Connected } else { Id::Disconnected };
            let (heard, known) = (self.state.fleet().heard(now), self.state.fleet().len());
            tracing::info!(id = id as u16, name = id.name(), heard, known);
        }
    }

    /// Whether packets that come here can be served: the configuration is known and agents are heard of.
    fn is_connected(&self, now: u64) -> bool {
        if self.state.routes().stamp().is_none() {
            return false;
        }
        let (heard, known) = (self.state.fleet().heard(now), self.state.fleet().len());
        if heard == 0 {
            return known == 0 && now.saturating_sub(self.started_ms) > START_MS;
        }
        heard as f64 >= known as f64 * HEARD_SHARE
    }

    fn apply(&mut self, current: &[u8], now: u64) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Relay { to, relay, payload: Payload::Current } => {
                    self.peers.relay(to, &relay, current);
                }
                Effect::Relay { to, relay, payload: Payload::Held(packet) } => {
                    self.peers.relay(to, &relay, &packet);
                }
                Effect::Reset { key, seq } => self.reset(&key, seq),
                Effect::Greet { to } => self.greet(to, false),
                Effect::List => self.list_again.notify_one(),
                Effect::Unlisted { to } => {
                    let greeting = Greeting { unlisted: true, ..self.greeting() };
                    self.peers.control(to, Body::Greeting(greeting));
                }
                Effect::Query { to, keys } => self.peers.query(to, &keys),
                Effect::Spread { to, relay, agents, packet } => {
                    self.peers.spread(to, &relay, &agents, &packet);
                }
                Effect::Note { key, decision } => self.notes.write(key, &decision, now),
                Effect::Answer { .. }
                | Effect::Verdicts { .. }
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

/// Where a packet goes that is meant for a caller.
pub(crate) fn caller_address(head: &Head, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(*head.key.caller.ip(), port)
}
