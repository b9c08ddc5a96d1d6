//! State machine of the agent: admits, tracks and resets the flows of one upstream.

mod flows;
mod opening;
mod requests;
pub(super) mod reservations;
mod upstream;

use std::net::SocketAddrV4;

use rustc_hash::FxHashMap;

use self::flows::{Flow, Phase};
pub use super::upstream_tracker::{Heartbeat, UpstreamInstance};
use super::{
    FlowKey, PacketHeader, PacketKind, PoolId,
    admission::Admission,
    breaker::Breaker,
    candidate_list::LastResort,
    effect::{Answer, Effect, FlowStatus, Payload, RelayAction, RelayHeader},
    fleet::{AgentPlan, REPORT_INTERVAL_MS, Report, UpstreamState, ZoneId},
    load::{FlowUsageTracker, Load},
    packet_buffer::PacketBuffer,
    route_share::RouteUsage,
    service_rate::MeasuredService,
    upstream_tracker::{HeartbeatSource, UpstreamTracker},
    warmup::WarmupLimiter,
};

/// Time after a restart for which the agent may not know all flows of its upstream: the idle timeout of flows.
const LEARNING_MS: u64 = 65_000;
/// Most extra reports per report interval on a change of the full state; each goes to all balancers. With 520 balancers
/// and 60 bytes a report they take 10 KB/s at worst.
const MAX_FULL_REPORTS: u32 = 4;
const PRUNE_INTERVAL_MS: u64 = 1_000;
/// Range above the upstream's first sequence number in which a caller's acknowledgement is for this upstream: four
/// times the most bytes in flight, 16 packets of 1,200 bytes.
const ACK_WINDOW_BYTES: u32 = 76_800;

/// Result of processing a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatResult {
    /// The state is unchanged.
    Unchanged,
    /// The state changed.
    Changed,
    /// It is older than the last accepted heartbeat and was ignored.
    Outdated,
    /// It may be from a former upstream process or a new one. It was ignored and must not be acknowledged.
    Ambiguous,
    /// It is from another upstream process than the known one, which is not silent. Either may be the running one.
    Contested,
    /// It lacks the start time that the upstream here sends, so it is from another process.
    MissingStartTime,
}

/// Identity of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Address at which other processes reach the agent.
    pub address: SocketAddrV4,
    /// Pool of its upstream.
    pub pool: PoolId,
    /// Its zone.
    pub zone: ZoneId,
    /// Random number drawn at each start of the agent.
    pub incarnation: u64,
}

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    identity: Identity,
    report_seq: u64,
    report_interval_ms: u32,
    started_ms: u64,
    learning: bool,
    plan: AgentPlan,
    upstream_tracker: UpstreamTracker,
    load: Load,
    flow_usage: FlowUsageTracker,
    admission: Admission,
    /// Whether requests beyond the usual share of their route wait behind the others.
    route_shares: bool,
    breaker: Breaker,
    warmup: WarmupLimiter,
    /// The full state changed since it was last reported.
    full_report_pending: bool,
    full_reported_ms: Option<u64>,
    /// Packets of waiting requests.
    buffer: PacketBuffer,
    flows: FxHashMap<FlowKey, Flow>,
    probing_flows: usize,
    last_prune_ms: u64,
}

impl Agent {
    /// Creates an agent whose upstream sends a heartbeat every `beat_ms`. Set `learning` if the upstream may have
    /// started before the agent and hold flows that the agent does not know.
    pub fn new(identity: Identity, beat_ms: u64, learning: bool, now_ms: u64) -> Agent {
        Agent {
            identity,
            report_seq: 0,
            report_interval_ms: REPORT_INTERVAL_MS,
            started_ms: now_ms,
            learning,
            plan: AgentPlan::Stay,
            upstream_tracker: UpstreamTracker::new(beat_ms),
            load: Load::default(),
            flow_usage: FlowUsageTracker::default(),
            admission: Admission::default(),
            route_shares: false,
            breaker: Breaker::default(),
            warmup: WarmupLimiter::default(),
            full_report_pending: false,
            full_reported_ms: None,
            buffer: PacketBuffer::default(),
            flows: FxHashMap::default(),
            probing_flows: 0,
            last_prune_ms: now_ms,
        }
    }

    /// Sets whether requests beyond the usual share of their route wait behind the others. They are counted in any case.
    pub fn with_route_shares(self, route_shares: bool) -> Agent {
        Agent { route_shares, ..self }
    }

    /// Requests in progress, including those that wait at the agent.
    pub fn active_requests(&self) -> u32 {
        self.load.busy()
    }

    /// Requests that wait at the agent for a free slot of the upstream.
    pub fn waiting(&self) -> usize {
        self.admission.waiting()
    }

    /// The routes that recently sent requests here, with their counters.
    pub fn route_usage(&self) -> impl Iterator<Item = (SocketAddrV4, RouteUsage)> {
        self.admission.route_usage()
    }

    /// Flows that are open or opening.
    pub fn flows(&self) -> u32 {
        self.load.flows()
    }

    /// Whether the agent has or had an upstream. If not, it need not be listed.
    pub fn had_upstream(&self) -> bool {
        self.learning || self.upstream_tracker.was_known()
    }

    /// Planned stop or restart of the agent.
    pub fn plan(&self) -> AgentPlan {
        self.plan
    }

    /// Sets the plan and reports it. Releases all waiting requests if the agent stops.
    pub fn set_plan(&mut self, plan: AgentPlan, now_ms: u64, out: &mut Vec<Effect>) {
        self.plan = plan;
        if plan != AgentPlan::Stay {
            self.admission.reservations.clear();
        }
        if matches!(plan, AgentPlan::Restart | AgentPlan::Leave) {
            self.admit_all(now_ms, out);
        }
        out.push(Effect::Report);
    }

    /// Whether a heartbeat of this instance may be a delayed one of an upstream that is gone: the instance is unknown,
    /// and the known one has ended or is silent.
    pub fn is_stray_candidate(&self, instance: &UpstreamInstance, now_ms: u64) -> bool {
        self.upstream_tracker.is_stray_candidate(instance, now_ms)
    }

    /// State of the upstream.
    pub fn upstream(&self, now_ms: u64) -> UpstreamState {
        let default_state =
            if self.learning { UpstreamState::Unknown } else { UpstreamState::Ended };
        self.upstream_tracker.state(now_ms).unwrap_or(default_state)
    }

    /// Builds the next report to balancers. An agent that never had an upstream reports that it leaves, so that
    /// balancers do not query it for flows.
    pub fn next_report(&mut self, now_ms: u64) -> Report {
        self.report_seq += 1;
        Report {
            incarnation: self.identity.incarnation,
            seq: self.report_seq,
            pool: self.identity.pool,
            zone: self.identity.zone,
            upstream: self.upstream(now_ms),
            plan: if self.had_upstream() { self.plan } else { AgentPlan::Leave },
            slots: self.upstream_tracker.capacity(now_ms).0,
            load: self.average_load(now_ms),
            service_ms: self.admission.rate().reported_ms(),
            answer_bytes: self.admission.rate().reported_answer_bytes(),
            full: self.admission.is_full() || self.upstream_tracker.capacity(now_ms).1,
            interval_ms: self.report_interval_ms,
        }
    }

    /// Sets the report interval, in milliseconds.
    pub fn set_report_interval(&mut self, interval_ms: u32) {
        self.report_interval_ms = interval_ms;
    }

    /// Uses a value that a balancer remembered from before the agent's restart as the prior of the service time.
    /// Returns whether it did.
    pub fn learn_service_time(&mut self, service: MeasuredService) -> bool {
        service.pool == self.identity.pool && self.admission.rate_mut().remember(service)
    }

    /// Estimated service time of the upstream in milliseconds, if known.
    pub fn service_ms(&self) -> Option<f64> {
        self.admission.rate().estimate().map(|it| it.ms)
    }

    /// Processes a heartbeat of the upstream.
    pub fn heartbeat(
        &mut self,
        beat: &Heartbeat,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) -> HeartbeatResult {
        let before = self.upstream(now_ms);
        let source = self.upstream_tracker.handle_heartbeat(beat, now_ms);
        self.update_cold(now_ms);
        match source {
            HeartbeatSource::Outdated => return HeartbeatResult::Outdated,
            HeartbeatSource::Ambiguous => return HeartbeatResult::Ambiguous,
            HeartbeatSource::MissingStartTime => return HeartbeatResult::MissingStartTime,
            HeartbeatSource::Current => {}
            HeartbeatSource::New => self.learning = false,
            HeartbeatSource::Rival => {
                out.push(Effect::Report);
                return HeartbeatResult::Contested;
            }
            HeartbeatSource::Replacement { until_ms } => {
                self.learning = false;
                // Flows opened after the former upstream's last heartbeat may already be with the new one.
                self.discard_upstream_state(until_ms, now_ms, out);
                out.push(Effect::Report);
                return HeartbeatResult::Changed;
            }
        }
        if self.upstream(now_ms) == before {
            return HeartbeatResult::Unchanged;
        }
        out.push(Effect::Report);
        HeartbeatResult::Changed
    }

    /// Processes the upstream's deregistration. Returns whether it came from the current upstream process.
    pub fn deregister(&mut self, instance: &UpstreamInstance, out: &mut Vec<Effect>) -> bool {
        let current = self.upstream_tracker.deregister(instance);
        if current {
            out.push(Effect::Report);
        }
        current
    }

    /// Resets the flows of an upstream whose process is known to have ended.
    pub fn upstream_ended(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.upstream_tracker.mark_ended();
        self.learning = false;
        self.discard_upstream_state(now_ms, now_ms, out);
    }

    /// Discards the state of an upstream process that has ended: flows opened at `until_ms` or before, their requests,
    /// service times and the breaker.
    fn discard_upstream_state(&mut self, until_ms: u64, now_ms: u64, out: &mut Vec<Effect>) {
        self.reset_flows(until_ms, now_ms, out);
        self.cancel_requests(until_ms, now_ms);
        self.admission.reservations.cancel_offers();
        self.admission.reset_service_times(self.identity.pool);
        self.breaker = Breaker::default();
    }

    /// Processes a caller's packet forwarded by another process.
    pub fn handle_relayed_packet(
        &mut self,
        relay: &RelayHeader,
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if relay.pool != self.identity.pool {
            return self.reject_wrong_pool(relay, head, out);
        }
        match relay.action {
            RelayAction::Open(candidates) => {
                self.open(relay, head, candidates, LastResort::No, now_ms, out)
            }
            RelayAction::Assign(candidates) => {
                self.open(relay, head, candidates, LastResort::Yes, now_ms, out)
            }
            RelayAction::Deliver | RelayAction::Locate => {
                self.process_packet(relay, head, bytes, now_ms, out)
            }
        }
    }

    /// Forwards a packet to the listed agents, any of which may hold its flow, and processes it here if listed.
    pub fn fan_out(
        &mut self,
        relay: &RelayHeader,
        agents: &[SocketAddrV4],
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        for &to in agents {
            if to == self.identity.address {
                self.handle_relayed_packet(relay, head, bytes, now_ms, out);
            } else {
                out.push(Effect::Relay { to, relay: *relay, payload: Payload::Current });
            }
        }
    }

    /// Answers a balancer's query for flows.
    pub fn query(&self, balancer: SocketAddrV4, keys: &[FlowKey], out: &mut Vec<Effect>) {
        let statuses = keys.iter().map(|&it| (it, self.flow_status(&it))).collect();
        out.push(Effect::QueryResponse { to: balancer, statuses });
    }

    fn flow_status(&self, key: &FlowKey) -> FlowStatus {
        match self.flows.get(key).map(|it| it.phase) {
            Some(Phase::Open | Phase::Opening { .. }) => FlowStatus::Here,
            Some(Phase::Ended | Phase::Absent) => FlowStatus::Absent,
            Some(Phase::Probing { .. }) => FlowStatus::Unknown,
            None if self.learning => FlowStatus::Unknown,
            None => FlowStatus::Absent,
        }
    }

    /// Runs periodic work: probe timeouts, admission, reports and expiry.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if self.probing_flows > 0 {
            self.end_probes(now_ms, out);
        }
        self.update_cold(now_ms);
        self.admit(now_ms, out);
        self.report_full(now_ms, out);
        if now_ms.saturating_sub(self.started_ms) > LEARNING_MS {
            self.learning = false;
        }
        if now_ms.saturating_sub(self.last_prune_ms) >= PRUNE_INTERVAL_MS {
            self.last_prune_ms = now_ms;
            self.prune(now_ms);
            self.expire_requests(now_ms);
        }
    }

    fn update_cold(&mut self, now_ms: u64) {
        let cold = self.upstream_tracker.capacity(now_ms).1;
        self.admission.rate_mut().set_cold(cold);
    }

    /// Reports a change of the full state, at a limited rate.
    fn report_full(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.full_report_pending |= self.admission.update_full(self.upstream_tracker.slots());
        let pause_ms = u64::from(self.report_interval_ms / MAX_FULL_REPORTS);
        let recently_reported =
            self.full_reported_ms.is_some_and(|it| now_ms.saturating_sub(it) < pause_ms);
        if !self.full_report_pending || recently_reported {
            return;
        }
        self.full_report_pending = false;
        self.full_reported_ms = Some(now_ms);
        out.push(Effect::Report);
    }

    fn process_packet(
        &mut self,
        relay: &RelayHeader,
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get_mut(&head.key) else {
            return self.process_unknown_flow(relay, head, bytes, now_ms, out);
        };
        flow.balancer = Some(relay.balancer);
        flow.seen_ms = now_ms;
        if flow.phase == Phase::Absent || acks_other_upstream(flow.phase, head) {
            return answer_absent(relay, head.key, out);
        }
        if let Phase::Opening { upstream_seq: Some(_), .. } = flow.phase
            && head.kind != PacketKind::Open
        {
            flow.phase = Phase::Open;
            flow.confirmed = true;
        }
        if relay.action == RelayAction::Locate && !matches!(flow.phase, Phase::Probing { .. }) {
            answer(relay.balancer, head.key, Answer::Here, false, out);
        }
        self.deliver(head, bytes, now_ms, out);
    }

    fn process_unknown_flow(
        &mut self,
        relay: &RelayHeader,
        head: &PacketHeader,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if !self.learning || head.kind == PacketKind::Open {
            return answer_absent(relay, head.key, out);
        }
        let phase = Phase::Probing { since_ms: now_ms, action: relay.action };
        self.insert(head.key, phase, Some(relay.balancer), now_ms);
        self.probing_flows += 1;
        self.deliver(head, bytes, now_ms, out);
    }
}

/// Whether the caller acknowledges another upstream's reply to its opening packet.
fn acks_other_upstream(phase: Phase, head: &PacketHeader) -> bool {
    match phase {
        Phase::Opening { upstream_seq: Some(upstream_seq), .. }
            if head.kind != PacketKind::Open =>
        {
            head.ack.wrapping_sub(upstream_seq) > ACK_WINDOW_BYTES
        }
        _ => false,
    }
}

fn answer_absent(relay: &RelayHeader, key: FlowKey, out: &mut Vec<Effect>) {
    let returned = relay.action == RelayAction::Deliver;
    answer(relay.balancer, key, Answer::Absent, returned, out);
}

fn answer<T>(to: T, key: FlowKey, answer: Answer, returned: bool, out: &mut Vec<Effect>)
where
    T: Into<Option<SocketAddrV4>>,
{
    let Some(to) = to.into() else {
        return;
    };
    out.push(Effect::Answer { to, key, answer, returned });
}
