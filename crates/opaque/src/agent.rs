//! The agent process beside an upstream: delivers callers' packets to it and returns its packets to the callers.

mod copy;
mod input;

use std::{collections::BTreeSet, io::ErrorKind, net::SocketAddrV4, sync::Arc, time::Duration};

use anyhow::Context;
use camphorwinch_core::opaque::{
    PoolId,
    agent::{Agent, Heartbeat, Identity, UpstreamInstance},
    effect::{Decision, Effect, Payload},
    fleet::{AgentPlan, MemberEntry, REPORT_INTERVAL_MS, UpstreamState, ZoneId},
};
use camphorwinch_wire::opaque::{Body, Report};
use tokio::{
    net::{TcpStream, UdpSocket},
    sync::{Notify, mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval, timeout},
};
use tokio_util::sync::CancellationToken;

use self::copy::SnapshotCopy;
use crate::{
    clock::now_ms,
    codec::Codec,
    decision_log::DecisionLog,
    discovery::{self, DiscoveryState, Join, Update},
    event::Id,
    metrics,
    peers::Peers,
    route_metrics::RouteMetrics,
    socket,
    store::{Member, Store},
};

/// Interval between timer ticks.
const TICK: Duration = Duration::from_millis(20);
/// Packets read from one socket before the others are served.
const MAX_PACKETS_PER_TURN: usize = 64;
/// Maximum rate of reports to all balancers together. With many balancers the interval per balancer grows.
const REPORTS_PER_S: u32 = 40;
/// Minimum duration of a stop, in which balancers learn of it and send new flows elsewhere.
const MIN_STOP_MS: u64 = 120;
/// Maximum time that a stop waits for requests in progress to finish. Longer does not help a busy upstream, as new
/// requests come on its open flows all the time.
const MAX_STOP_MS: u64 = 1_500;
/// Timeout for the check whether the upstream listens.
const LISTEN_CHECK_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a call that withdraws this process from the store.
const WITHDRAW_TIMEOUT: Duration = Duration::from_millis(800);
/// Capacity of the internal channels.
const CHANNEL_CAPACITY: usize = 64;

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This process as a member.
    pub member: Member,
    /// Name of the upstream's pool.
    pub pool: String,
    /// Address on which the upstream receives packets and connections.
    pub upstream: SocketAddrV4,
    /// Address to which the upstream sends its packets.
    pub outbound: SocketAddrV4,
    /// Port on which callers receive packets.
    pub caller_port: u16,
    /// Interval between heartbeats of the upstream.
    pub heartbeat: Duration,
    /// Whether the system starts for the first time.
    pub first_start: bool,
    /// Balancers to request the state from while the store is unavailable.
    pub seeds: watch::Receiver<Vec<SocketAddrV4>>,
    /// Whether requests beyond the usual share of their route wait behind the others.
    pub route_shares: bool,
}

/// A message of the upstream, with a channel for its result.
#[derive(Debug)]
pub enum UpstreamMessage {
    /// A periodic heartbeat.
    Heartbeat(Heartbeat, oneshot::Sender<MessageResult>),
    /// The upstream is ending.
    Deregister(UpstreamInstance, oneshot::Sender<MessageResult>),
}

/// Result of an upstream's message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageResult {
    /// Applied, or older than the known state.
    Acknowledged,
    /// Ambiguous: the upstream has to send it again.
    Unclear,
    /// Not from this agent's upstream.
    Foreign,
}

/// Channel for the upstream's messages.
pub type MessageSender = mpsc::Sender<UpstreamMessage>;

/// Runs an agent until `stop` is cancelled.
pub async fn run<C, S>(
    settings: Settings,
    codec: C,
    store: S,
    messages: mpsc::Receiver<UpstreamMessage>,
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
    let copy = SnapshotCopy::serve(own.address)?;
    let (updates, input) = mpsc::channel(CHANNEL_CAPACITY);
    let seeds = settings.seeds.clone();
    let relist = Arc::new(Notify::new());
    let join_relist = relist.clone();
    // If nothing listens, no upstream can hold flows from before this process started.
    let learning = is_listening(settings.upstream).await;
    let (serves, serving) = watch::channel(learning);
    tokio::spawn(discovery::observe_resets(store.era()));
    let hello_senders = watch::Sender::<BTreeSet<SocketAddrV4>>::default();
    let entry = watch::Sender::default();
    let join = Join {
        store: store.clone(),
        own: own.clone(),
        serves: serving,
        entry: entry.clone(),
        first_start: settings.first_start,
        seeds,
        hello_senders: hello_senders.subscribe(),
        relist: join_relist,
        lists: Arc::default(),
        // Agents follow no topic in the store.
        start: watch::Sender::new(DiscoveryState::FromStore),
        out: updates,
    };
    let joining = tokio::spawn(join.run());
    let id = Id::UpstreamLookedFor;
    tracing::info!(id = id as u16, name = id.name(), peer = %settings.upstream, found = learning);
    let now = now_ms();
    let identity = Identity {
        address: own.address,
        pool: PoolId::of(&settings.pool),
        zone: ZoneId::of(&own.zone),
        incarnation: rand::random(),
    };
    let state = Agent::new(identity, settings.heartbeat.as_millis() as u64, learning, now)
        .with_route_shares(settings.route_shares);
    let mut process = Process {
        state,
        codec,
        outbound,
        upstream,
        peers,
        copy,
        balancers: BTreeSet::new(),
        hello_senders,
        relist,
        serves,
        effects: Vec::new(),
        scratch: Vec::new(),
        decision_log: DecisionLog::new(now),
        route_metrics: RouteMetrics::default(),
        reported_ms: 0,
        caller_port: settings.caller_port,
        address: settings.upstream,
    };
    let leaves = process.serve(input, messages, stop).await?;
    if leaves {
        // A registration must not follow the withdrawal.
        joining.abort();
        let _ = joining.await;
        let known = *entry.borrow();
        // A failure is logged, and balancers withdraw the entry later.
        let _ = discovery::withdraw_own(&store, &own.name, known, WITHDRAW_TIMEOUT).await;
        // Balancers that read the list just before the withdrawal learn of it from this report.
        process.set_plan(AgentPlan::Leave);
    }
    let id = Id::Stopped;
    tracing::info!(id = id as u16, name = id.name(), leaves);
    Ok(())
}

async fn connect(settings: &Settings) -> anyhow::Result<UdpSocket> {
    let own = SocketAddrV4::new(*settings.upstream.ip(), 0);
    let socket = socket::udp(own, "the upstream")?;
    let connected = socket.connect(settings.upstream).await;
    connected
        .with_context(|| format!("failed to connect to the upstream at {}", settings.upstream))?;
    Ok(socket)
}

struct Process<C> {
    state: Agent,
    codec: C,
    outbound: UdpSocket,
    upstream: UdpSocket,
    peers: Peers,
    copy: SnapshotCopy,
    balancers: BTreeSet<SocketAddrV4>,
    /// Some of the balancers that have sent this process a hello; they can serve it the list.
    hello_senders: watch::Sender<BTreeSet<SocketAddrV4>>,
    relist: Arc<Notify>,
    /// Whether the process should be listed. An agent that never had an upstream is not, so that a starting fleet does
    /// not wait for it.
    serves: watch::Sender<bool>,
    effects: Vec<Effect>,
    scratch: Vec<u8>,
    decision_log: DecisionLog,
    route_metrics: RouteMetrics,
    reported_ms: u64,
    caller_port: u16,
    address: SocketAddrV4,
}

impl<C> Process<C>
where
    C: Codec,
{
    /// Serves until the stop completes; returns whether the upstream has ended, so that the agent leaves for good.
    async fn serve(
        &mut self,
        mut input: mpsc::Receiver<Update>,
        mut messages: mpsc::Receiver<UpstreamMessage>,
        stop: CancellationToken,
    ) -> anyhow::Result<bool> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stopping_ms = None;
        loop {
            tokio::select! {
                it = self.outbound.readable() => {
                    it?;
                    self.receive_upstream();
                }
                it = self.peers.socket().readable() => {
                    it?;
                    self.receive_peers();
                }
                Some(update) = input.recv() => self.handle_update(update),
                Some(message) = messages.recv() => self.handle_upstream_message(message).await,
                _ = ticks.tick() => self.tick(),
                () = stop.cancelled(), if stopping_ms.is_none() => {
                    if self.stop().await {
                        return Ok(true);
                    }
                    stopping_ms = Some(now_ms());
                }
            }
            if stopping_ms.is_some_and(|it| self.is_quiet(it)) {
                self.set_plan(AgentPlan::Restart);
                return Ok(false);
            }
        }
    }

    /// Begins a stop; returns whether it completes at once because the upstream has ended.
    async fn stop(&mut self) -> bool {
        let now = now_ms();
        let known = self.state.upstream(now);
        let ended = known == UpstreamState::Ended || !is_listening(self.address).await;
        let (busy, flows) = (self.state.active_requests(), self.state.flows());
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
            self.set_plan(AgentPlan::Leave);
        } else {
            self.set_plan(AgentPlan::Pause);
        }
        ended
    }

    fn is_quiet(&self, stopping_ms: u64) -> bool {
        let since = now_ms().saturating_sub(stopping_ms);
        since > MAX_STOP_MS || (since > MIN_STOP_MS && self.state.active_requests() == 0)
    }

    fn set_plan(&mut self, plan: AgentPlan) {
        let now = now_ms();
        self.state.set_plan(plan, now, &mut self.effects);
        self.apply(&[], now);
    }

    fn update_report_interval(&mut self) {
        self.state.set_report_interval(report_interval_ms(self.balancers.len()));
    }

    fn tick(&mut self) {
        let now = now_ms();
        self.state.tick(now, &mut self.effects);
        self.apply(&[], now);
        self.decision_log.tick(now);
        let pause = report_interval_ms(self.balancers.len());
        if now.saturating_sub(self.reported_ms) >= u64::from(pause) && self.state.had_upstream() {
            self.report(now);
        }
        self.route_metrics.update(self.state.route_usage(), now);
        metrics::FLOWS.set(i64::from(self.state.flows()));
        metrics::REQUESTS.set(i64::from(self.state.active_requests()));
        metrics::WAITING_REQUESTS.set(self.state.waiting() as i64);
        metrics::SERVICE_MS.set(self.state.service_ms().map_or(0, |it| it.round() as i64));
        metrics::SPEED_PERCENT.set((self.state.speed(now) * 100.0).round() as i64);
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
        let report = Report::from(self.state.next_report(now)).with_config_copy(self.copy.config());
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
                Effect::Relay { to, relay, payload: Payload::Buffered(packet) } => {
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
                Effect::LogDecision { key, decision } => {
                    if let (Some(key), Decision::Admitted { waited_ms, reason, .. }) =
                        (key, decision)
                    {
                        self.route_metrics.count_release(key.service, reason, waited_ms);
                    }
                    self.decision_log.write(key, &decision, now);
                }
                Effect::QueryResponse { to, statuses } => self.peers.query_response(to, &statuses),
                Effect::Offer { to, pool, slots } => self.peers.offer(to, pool, slots),
                Effect::Hello { .. }
                | Effect::Reserve { .. }
                | Effect::Decline { .. }
                | Effect::Query { .. }
                | Effect::FanOut { .. }
                | Effect::ReturnService { .. }
                | Effect::ReloadMembers
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
                // The upstream is not listening. Counted only, as a line per packet would flood the log.
                metrics::PACKETS.with_label_values(&["upstream-refused"]).inc();
            }
            Err(e) => {
                metrics::PACKETS.with_label_values(&["send-failed"]).inc();
                tracing::debug!("failed to deliver a packet to {}: {e}", self.address);
            }
        }
    }
}

/// Interval between reports to one of `balancers`, in milliseconds.
fn report_interval_ms(balancers: usize) -> u32 {
    REPORT_INTERVAL_MS.max(balancers as u32 * 1_000 / REPORTS_PER_S)
}

fn balancer_address(member: &MemberEntry) -> Option<SocketAddrV4> {
    member.pool.is_none().then_some(member.address)
}

/// Whether a process listens at the upstream's address. Only a refused connection proves that none does.
async fn is_listening(address: SocketAddrV4) -> bool {
    match timeout(LISTEN_CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(e)) => e.kind() != ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => true,
    }
}
