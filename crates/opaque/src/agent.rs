//! The process beside an upstream: gives it callers' packets and sends its answers to the callers.

mod copy;
mod input;

use std::{collections::BTreeSet, io::ErrorKind, net::SocketAddrV4, sync::Arc, time::Duration};

use anyhow::Context;
use camphorwinch_core::opaque::{
    PoolId,
    agent::{Agent, Heartbeat, Identity, Life},
    effect::{Effect, Payload},
    fleet::{Listed, Plan, REPORT_MS, Upstream, ZoneId},
};
use camphorwinch_wire::opaque::{Body, Report};
use tokio::{
    net::{TcpStream, UdpSocket},
    sync::{Notify, mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval, timeout},
};
use tokio_util::sync::CancellationToken;

use self::copy::Copy;
use crate::{
    clock::now_ms,
    codec::Codec,
    discovery::{self, Found, Join, Start},
    event::Id,
    member::Peers,
    metrics,
    note::Notes,
    socket,
    store::{Member, Store},
};

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(20);
/// Packets taken from one socket before the others get their turn.
const TURN: usize = 64;
/// Reports that an agent sends in a second at the most, to all balancers together: with many balancers the pause
/// between two reports to one of them grows.
const REPORTS_PER_S: u32 = 40;
/// Shortest time of a stop, in which balancers hear of it and send new flows elsewhere.
const PAUSE_MS: u64 = 120;
/// Longest time that a stop waits for a moment without a request in progress. Longer does not help a busy upstream:
/// new requests come on its open flows all the time.
const STOP_MS: u64 = 1_500;
/// Time for asking whether the upstream's process is there: a local round trip, many times.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for taking this process off the store's list.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(800);
/// What may wait between other tasks and the loop.
const WAITING: usize = 64;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process in the store's list.
    pub member: Member,
    /// Name of the upstream's pool.
    pub pool: String,
    /// Address at which the upstream takes packets and connections.
    pub upstream: SocketAddrV4,
    /// Address to which the upstream sends its packets.
    pub outbound: SocketAddrV4,
    /// Port at which callers take packets.
    pub caller_port: u16,
    /// Pause between two heartbeats of the upstream.
    pub heartbeat: Duration,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Balancers to ask while the store is of no use; they may change.
    pub seeds: watch::Receiver<Vec<SocketAddrV4>>,
}

/// What the upstream says of itself. The reply is sent once that is decided on.
#[derive(Debug)]
pub enum Said {
    /// A heartbeat.
    Heartbeat(Heartbeat, oneshot::Sender<Taken>),
    /// An upstream ends.
    Deregister(Life, oneshot::Sender<Taken>),
}

/// What became of the upstream's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It is in force, or older than what is.
    Acknowledged,
    /// Nothing was concluded from it yet: it is to be said again.
    Unclear,
    /// It is not from an upstream here.
    Foreign,
}

/// Where what the upstream says goes.
pub type Ear = mpsc::Sender<Said>;

/// Runs an agent until `stop`.
pub async fn run<C, S>(
    settings: Settings,
    codec: C,
    store: S,
    said: mpsc::Receiver<Said>,
    stop: CancellationToken,
) -> anyhow::Result<()>
where
    C: Codec,
    S: Store,
{
    let own = settings.member.clone();
    let outbound = socket::udp(settings.outbound, "the upstream's packets")?;
    let upstream = connect(&settings).await?;
    let peers = Peers::new(socket::udp(own.address, "other processes")?);
    let copy = Copy::serve(own.address)?;
    let (found, input) = mpsc::channel(WAITING);
    let seeds = settings.seeds.clone();
    let list_again = Arc::new(Notify::new());
    let again = list_again.clone();
    // Without a listener there is no upstream that could hold flows from before this process.
    let learning = is_listening(settings.upstream).await;
    let (serves, serving) = watch::channel(learning);
    tokio::spawn(discovery::observe_resets(store.era()));
    let greeted = watch::Sender::<BTreeSet<SocketAddrV4>>::default();
    let join = Join {
        store: store.clone(),
        own: own.clone(),
        serves: serving,
        first_start: settings.first_start,
        seeds,
        greeted: greeted.subscribe(),
        again,
        lists: Arc::default(),
        // It follows nothing in the store.
        start: watch::Sender::new(Start::Alone),
        out: found,
    };
    tokio::spawn(join.run());
    let id = Id::UpstreamLookedFor;
    tracing::info!(id = id as u16, name = id.name(), peer = %settings.upstream, found = learning);
    let now = now_ms();
    let identity = Identity {
        address: own.address,
        pool: PoolId::of(&settings.pool),
        zone: ZoneId::of(&own.zone),
        incarnation: rand::random(),
    };
    let state = Agent::new(identity, settings.heartbeat.as_millis() as u64, learning, now);
    let mut process = Process {
        state,
        codec,
        outbound,
        upstream,
        peers,
        copy,
        balancers: BTreeSet::new(),
        greeted,
        list_again,
        serves,
        effects: Vec::new(),
        scratch: Vec::new(),
        notes: Notes::new(now),
        reported_ms: 0,
        caller_port: settings.caller_port,
        address: settings.upstream,
    };
    let leaves = process.serve(input, said, stop).await?;
    if leaves {
        withdraw(&store, &own.name).await;
        // Who read the list just before that knows this process from it only.
        process.set_plan(Plan::Leave);
    }
    let id = Id::Stopped;
    tracing::info!(id = id as u16, name = id.name(), leaves);
    Ok(())
}

async fn connect(settings: &Settings) -> anyhow::Result<UdpSocket> {
    let own = SocketAddrV4::new(*settings.upstream.ip(), 0);
    let socket = socket::udp(own, "the upstream")?;
    let connected = socket.connect(settings.upstream).await;
    connected.with_context(|| format!("connect to the upstream at {}", settings.upstream))?;
    Ok(socket)
}

async fn withdraw<S>(store: &S, name: &str)
where
    S: Store,
{
    if let Err(e) = store.withdraw(name, None, WITHDRAW_TIMEOUT).await {
        tracing::warn!("take this process off the list: {e}");
    }
}

struct Process<C> {
    state: Agent,
    codec: C,
    outbound: UdpSocket,
    upstream: UdpSocket,
    peers: Peers,
    copy: Copy,
    balancers: BTreeSet<SocketAddrV4>,
    /// Some of those that have greeted this process, which can tell it the others.
    greeted: watch::Sender<BTreeSet<SocketAddrV4>>,
    list_again: Arc<Notify>,
    /// Whether the process belongs on the list of members. An agent that never had an upstream does not: it holds nothing,
    /// and if it is lost (a VM on its way out that was powered on once more), a fleet that starts anew would wait for it
    /// for 4.5 s before it could tell any caller that a flow is dead.
    serves: watch::Sender<bool>,
    effects: Vec<Effect>,
    scratch: Vec<u8>,
    notes: Notes,
    reported_ms: u64,
    caller_port: u16,
    address: SocketAddrV4,
}

impl<C> Process<C>
where
    C: Codec,
{
    /// Serves until the stop is done; whether the upstream has ended, so that the agent leaves for good.
    async fn serve(
        &mut self,
        mut input: mpsc::Receiver<Found>,
        mut said: mpsc::Receiver<Said>,
        stop: CancellationToken,
    ) -> anyhow::Result<bool> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stopping_ms = None;
        loop {
            tokio::select! {
                it = self.outbound.readable() => {
                    it?;
                    self.take_upstream();
                }
                it = self.peers.socket().readable() => {
                    it?;
                    self.take_peers();
                }
                Some(found) = input.recv() => self.take_found(found),
                Some(said) = said.recv() => self.take_said(said),
                _ = ticks.tick() => self.tick(),
                () = stop.cancelled(), if stopping_ms.is_none() => {
                    if self.stop().await {
                        return Ok(true);
                    }
                    stopping_ms = Some(now_ms());
                }
            }
            if stopping_ms.is_some_and(|it| self.is_quiet(it)) {
                self.set_plan(Plan::Restart);
                return Ok(false);
            }
        }
    }

    /// Begins a stop; whether it is done at once, as the upstream has ended.
    async fn stop(&mut self) -> bool {
        let now = now_ms();
        let known = self.state.upstream(now);
        let ended = known == Upstream::Ended || !is_listening(self.address).await;
        let (busy, flows) = (self.state.busy(), self.state.flows());
        let id = Id::Stopping;
        tracing::info!(
            id = id as u16,
            name = id.name(),
            upstream = known.as_str(),
            upstream_ended = ended,
            busy,
            flows,
        );
        if ended {
            let id = Id::UpstreamGone;
            tracing::info!(id = id as u16, name = id.name(), peer = %self.address);
            self.state.upstream_ended(now, &mut self.effects);
            self.apply(&[], now);
            self.set_plan(Plan::Leave);
        } else {
            self.set_plan(Plan::Pause);
        }
        ended
    }

    fn is_quiet(&self, stopping_ms: u64) -> bool {
        let since = now_ms().saturating_sub(stopping_ms);
        since > STOP_MS || (since > PAUSE_MS && self.state.busy() == 0)
    }

    fn set_plan(&mut self, plan: Plan) {
        let now = now_ms();
        self.state.set_plan(plan, now, &mut self.effects);
        self.apply(&[], now);
    }

    fn pace(&mut self) {
        self.state.set_report_pause(report_pause_ms(self.balancers.len()));
    }

    fn tick(&mut self) {
        let now = now_ms();
        self.state.tick(now, &mut self.effects);
        self.apply(&[], now);
        self.notes.tick(now);
        let pause = report_pause_ms(self.balancers.len());
        if now.saturating_sub(self.reported_ms) >= u64::from(pause) && self.state.has_served() {
            self.report(now);
        }
        metrics::FLOWS.set(i64::from(self.state.flows()));
        metrics::BUSY.set(i64::from(self.state.busy()));
        metrics::WAITING.set(self.state.waiting() as i64);
        metrics::PEERS.set(self.balancers.len() as i64);
    }

    fn report(&mut self, now: u64) {
        self.reported_ms = now;
        let balancers: Vec<_> = self.balancers.iter().copied().collect();
        for to in balancers {
            self.report_to(to, now);
        }
    }

    fn report_to(&mut self, to: SocketAddrV4, now: u64) {
        let report = Report::from(self.state.next_report(now)).with_kept(self.copy.config());
        self.peers.control(to, Body::Report(report));
    }

    fn apply(&mut self, current: &[u8], now: u64) {
        self.apply_to(current, None, now);
    }

    fn apply_to(&mut self, current: &[u8], caller: Option<SocketAddrV4>, now: u64) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Relay { to, relay, payload: Payload::Current } => {
                    self.peers.relay(to, &relay, current);
                }
                Effect::Relay { to, relay, payload: Payload::Held(packet) } => {
                    self.peers.relay(to, &relay, &packet);
                }
                Effect::Answer { to, key, answer, returned } => {
                    let packet = if returned { current } else { &[] };
                    self.peers.answer(to, &key, answer, packet);
                }
                Effect::Deliver => self.deliver(current),
                Effect::Release { packet } => self.deliver(&packet),
                Effect::Reply => {
                    if let Some(to) = caller {
                        self.peers.plain(to, current);
                    }
                }
                Effect::Reset { key, seq } => {
                    self.scratch.clear();
                    self.codec.reset(&key, seq, &mut self.scratch);
                    let to = SocketAddrV4::new(*key.caller.ip(), self.caller_port);
                    self.peers.plain(to, &self.scratch);
                }
                Effect::Report => self.report(now),
                Effect::Note { key, decision } => self.notes.write(key, &decision, now),
                Effect::Verdicts { to, verdicts } => self.peers.verdicts(to, &verdicts),
                Effect::Greet { .. }
                | Effect::Query { .. }
                | Effect::Spread { .. }
                | Effect::List
                | Effect::Unlisted { .. } => {
                    unreachable!("only balancers do this")
                }
            }
        }
        self.effects = effects;
    }

    fn deliver(&mut self, packet: &[u8]) {
        match self.upstream.try_send(packet) {
            Ok(_) => metrics::PACKETS.with_label_values(&["delivered"]).inc(),
            Err(e) if e.kind() == ErrorKind::ConnectionRefused => {
                // Nobody has the port at this moment. The count shows it; a line for each packet would be a flood.
                metrics::PACKETS.with_label_values(&["upstream-refused"]).inc();
            }
            Err(e) => {
                metrics::PACKETS.with_label_values(&["send-failed"]).inc();
                tracing::debug!("deliver to {}: {e}", self.address);
            }
        }
    }
}

/// Pause between two reports to one of so many balancers.
fn report_pause_ms(balancers: usize) -> u32 {
    REPORT_MS.max(balancers as u32 * 1_000 / REPORTS_PER_S)
}

fn balancer_address(member: &Listed) -> Option<SocketAddrV4> {
    member.pool.is_none().then_some(member.address)
}

/// Whether a process listens at the upstream's address. Only a refused connection proves that none does.
async fn is_listening(address: SocketAddrV4) -> bool {
    match timeout(ALIVE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(e)) => e.kind() != ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => true,
    }
}
