//! State machine of the agent: admits, tracks and resets the flows of one upstream.

mod flows;
mod opening;
mod requests;
mod upstream;

use std::net::SocketAddrV4;

use rustc_hash::FxHashMap;

use self::flows::{Flow, Phase};
pub use super::presence::{Heartbeat, Life};
use super::{
    FlowKey, Head, Kind, PoolId,
    admission::Admission,
    breaker::Breaker,
    effect::{Answer, Ask, Effect, Payload, Relay, Verdict},
    fleet::{Plan, REPORT_MS, Report, Upstream, ZoneId},
    hold::Hold,
    load::{FlowUsageTracker, Load},
    presence::{Presence, Sender},
    walk::Last,
    warmup::WarmupLimiter,
};

/// Time after a restart for which the agent may not know all flows of its upstream: the idle timeout of flows.
const LEARNING_MS: u64 = 65_000;
/// Most extra reports per report interval on a change of the full state; each goes to all balancers.
const MAX_FULL_REPORTS: u32 = 4;
const PRUNE_INTERVAL_MS: u64 = 1_000;
/// Range above the upstream's first sequence number in which a caller's acknowledgement is for this upstream: four
/// times the most bytes in flight.
const ACK_WINDOW_BYTES: u32 = 76_800;

/// Result of processing a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The state is unchanged.
    Same,
    /// The state changed.
    Changed,
    /// It is older than the last accepted heartbeat and was ignored.
    Late,
    /// It may be from a former upstream process or a new one. It was ignored and must not be acknowledged.
    Unclear,
    /// It lacks the start time that the upstream here sends, so it is from another process.
    Foreign,
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
    plan: Plan,
    presence: Presence,
    load: Load,
    flow_usage: FlowUsageTracker,
    admission: Admission,
    breaker: Breaker,
    warmup: WarmupLimiter,
    /// The full state changed since it was last reported.
    full_report_pending: bool,
    full_reported_ms: Option<u64>,
    /// Packets of waiting requests.
    hold: Hold,
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
            report_interval_ms: REPORT_MS,
            started_ms: now_ms,
            learning,
            plan: Plan::Stay,
            presence: Presence::new(beat_ms),
            load: Load::default(),
            flow_usage: FlowUsageTracker::default(),
            admission: Admission::default(),
            breaker: Breaker::default(),
            warmup: WarmupLimiter::default(),
            full_report_pending: false,
            full_reported_ms: None,
            hold: Hold::default(),
            flows: FxHashMap::default(),
            probing_flows: 0,
            last_prune_ms: now_ms,
        }
    }

    /// Requests in progress, including those that wait at the agent.
    pub fn busy(&self) -> u32 {
        self.load.busy()
    }

    /// Requests that wait at the agent for a free slot of the upstream.
    pub fn waiting(&self) -> usize {
        self.admission.waiting()
    }

    /// Flows that are open or opening.
    pub fn flows(&self) -> u32 {
        self.load.flows()
    }

    /// Whether the agent has or had an upstream. If not, it need not be listed.
    pub fn has_served(&self) -> bool {
        self.learning || self.presence.was_known()
    }

    /// Planned stop or restart of the agent.
    pub fn plan(&self) -> Plan {
        self.plan
    }

    /// Sets the plan and reports it. Releases all waiting requests if the agent stops.
    pub fn set_plan(&mut self, plan: Plan, now_ms: u64, out: &mut Vec<Effect>) {
        self.plan = plan;
        if matches!(plan, Plan::Restart | Plan::Leave) {
            self.admit_all(now_ms, out);
        }
        out.push(Effect::Report);
    }

    /// State of the upstream.
    pub fn upstream(&self, now_ms: u64) -> Upstream {
        let default_state = if self.learning { Upstream::Unknown } else { Upstream::Ended };
        self.presence.state(now_ms).unwrap_or(default_state)
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
            plan: if self.has_served() { self.plan } else { Plan::Leave },
            slots: self.presence.capacity(now_ms).0,
            load: self.average_load(now_ms),
            service_ms: self.admission.mean_ms().map(|it| it.max(1.0) as u32),
            full: self.admission.is_full() || self.presence.capacity(now_ms).1,
            every_ms: self.report_interval_ms,
        }
    }

    /// Sets the report interval, in milliseconds.
    pub fn set_report_pause(&mut self, pause_ms: u32) {
        self.report_interval_ms = pause_ms;
    }

    /// Processes a heartbeat of the upstream.
    pub fn heartbeat(&mut self, beat: &Heartbeat, now_ms: u64, out: &mut Vec<Effect>) -> Heard {
        let before = self.upstream(now_ms);
        match self.presence.hear(beat, now_ms) {
            Sender::Late => return Heard::Late,
            Sender::Unclear => return Heard::Unclear,
            Sender::Foreign => return Heard::Foreign,
            Sender::Known => {}
            Sender::Newborn => self.learning = false,
            Sender::Successor { until_ms } => {
                self.learning = false;
                // Flows opened after the former upstream's last heartbeat may already be with the new one.
                self.discard_upstream_state(until_ms, now_ms, out);
                out.push(Effect::Report);
                return Heard::Changed;
            }
        }
        if self.upstream(now_ms) == before {
            return Heard::Same;
        }
        out.push(Effect::Report);
        Heard::Changed
    }

    /// Processes the upstream's deregistration. Returns whether it came from the current upstream process.
    pub fn deregister(&mut self, life: &Life, out: &mut Vec<Effect>) -> bool {
        let current = self.presence.deregister(life);
        if current {
            out.push(Effect::Report);
        }
        current
    }

    /// Resets the flows of an upstream whose process is known to have ended.
    pub fn upstream_ended(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.presence.end();
        self.learning = false;
        self.discard_upstream_state(now_ms, now_ms, out);
    }

    /// Discards the state of an upstream process that has ended: flows opened at `until_ms` or before, their requests,
    /// service times and the breaker.
    fn discard_upstream_state(&mut self, until_ms: u64, now_ms: u64, out: &mut Vec<Effect>) {
        self.reset_flows(until_ms, now_ms, out);
        self.cancel_requests(until_ms, now_ms);
        self.admission.reset_service_times();
        self.breaker = Breaker::default();
    }

    /// Processes a caller's packet forwarded by another process.
    pub fn relayed(
        &mut self,
        relay: &Relay,
        head: &Head,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if relay.pool != self.identity.pool {
            return self.reject_wrong_pool(relay, head, out);
        }
        match relay.ask {
            Ask::Open(walk) => self.open(relay, head, walk, Last::No, now_ms, out),
            Ask::Settle(walk) => self.open(relay, head, walk, Last::Yes, now_ms, out),
            Ask::Deliver | Ask::Locate => self.process_packet(relay, head, bytes, now_ms, out),
        }
    }

    /// Forwards a packet to the listed agents, any of which may hold its flow, and processes it here if listed.
    pub fn spread(
        &mut self,
        relay: &Relay,
        agents: &[SocketAddrV4],
        head: &Head,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        for &to in agents {
            if to == self.identity.address {
                self.relayed(relay, head, bytes, now_ms, out);
            } else {
                out.push(Effect::Relay { to, relay: *relay, payload: Payload::Current });
            }
        }
    }

    /// Answers a balancer's query for flows.
    pub fn query(&self, balancer: SocketAddrV4, keys: &[FlowKey], out: &mut Vec<Effect>) {
        let verdicts = keys.iter().map(|&it| (it, self.verdict(&it))).collect();
        out.push(Effect::Verdicts { to: balancer, verdicts });
    }

    fn verdict(&self, key: &FlowKey) -> Verdict {
        match self.flows.get(key).map(|it| it.phase) {
            Some(Phase::Open | Phase::Opening { .. }) => Verdict::Here,
            Some(Phase::Ended | Phase::Absent) => Verdict::Absent,
            Some(Phase::Probing { .. }) => Verdict::Unsure,
            None if self.learning => Verdict::Unsure,
            None => Verdict::Absent,
        }
    }

    /// Runs periodic work: probe timeouts, admission, reports and expiry.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if self.probing_flows > 0 {
            self.end_probes(now_ms, out);
        }
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

    /// Reports a change of the full state, at a limited rate.
    fn report_full(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.full_report_pending |= self.admission.update_full(self.presence.slots());
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
        relay: &Relay,
        head: &Head,
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
            && head.kind != Kind::Open
        {
            flow.phase = Phase::Open;
            flow.confirmed = true;
        }
        if relay.ask == Ask::Locate && !matches!(flow.phase, Phase::Probing { .. }) {
            answer(relay.balancer, head.key, Answer::Here, false, out);
        }
        self.deliver(head, bytes, now_ms, out);
    }

    fn process_unknown_flow(
        &mut self,
        relay: &Relay,
        head: &Head,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if !self.learning || head.kind == Kind::Open {
            return answer_absent(relay, head.key, out);
        }
        let phase = Phase::Probing { since_ms: now_ms, ask: relay.ask };
        self.insert(head.key, phase, Some(relay.balancer), now_ms);
        self.probing_flows += 1;
        self.deliver(head, bytes, now_ms, out);
    }
}

/// Whether the caller acknowledges another upstream's reply to its opening packet.
fn acks_other_upstream(phase: Phase, head: &Head) -> bool {
    match phase {
        Phase::Opening { upstream_seq: Some(upstream_seq), .. } if head.kind != Kind::Open => {
            head.ack.wrapping_sub(upstream_seq) > ACK_WINDOW_BYTES
        }
        _ => false,
    }
}

fn answer_absent(relay: &Relay, key: FlowKey, out: &mut Vec<Effect>) {
    let returned = relay.ask == Ask::Deliver;
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
