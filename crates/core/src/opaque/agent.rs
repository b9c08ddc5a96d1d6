//! Decisions of an agent on opaque flows.

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
    load::{Habits, Load},
    presence::{Presence, Sender},
    walk::Last,
    warmup::Warmup,
};

/// Time after its start for which an agent may not know all flows of its upstream, unless it has seen the upstream
/// start: longer than flows that must be kept may live.
const LEARN_MS: u64 = 65_000;
/// Reports between two regular ones, at the most, that the upstream is full or no longer: each goes to all balancers. With
/// 520 balancers and 60 bytes a report they take 10 KB/s at worst.
const FULL_REPORTS: u32 = 4;
/// Pause between two looks for old flows.
const PRUNE_EVERY_MS: u64 = 1_000;
/// Room above what the caller has acknowledged within which it may acknowledge the upstream's opening packet: what
/// can be in flight, 16 packets of 1,200 bytes, four times.
const ACK_WINDOW: u32 = 76_800;

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It told nothing new.
    Same,
    /// The state changed.
    Changed,
    /// It is older than what is known and was ignored.
    Late,
    /// It may be of a former life of the upstream or of a new one: nothing is concluded from it, so its sender must not
    /// take it as acknowledged.
    Unclear,
    /// It is not from an upstream here: it does not say when its sender started.
    Foreign,
}

/// Who an agent is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Address at which other processes reach it.
    pub address: SocketAddrV4,
    /// Pool of its upstream.
    pub pool: PoolId,
    /// Its zone.
    pub zone: ZoneId,
    /// A number that differs between its starts.
    pub incarnation: u64,
}

/// State of an agent.
#[derive(Debug)]
pub struct Agent {
    own: Identity,
    report_seq: u64,
    report_ms: u32,
    started_ms: u64,
    learning: bool,
    plan: Plan,
    presence: Presence,
    load: Load,
    habits: Habits,
    admission: Admission,
    breaker: Breaker,
    warmup: Warmup,
    /// Whether the upstream has become full or no longer is since that was last told, and when that was.
    full_untold: bool,
    full_told_ms: Option<u64>,
    /// Packets of requests that wait.
    hold: Hold,
    flows: FxHashMap<FlowKey, Flow>,
    probing: usize,
    pruned_ms: u64,
}

impl Agent {
    /// An agent whose upstream sends a heartbeat each `beat_ms`. `learning` says that the upstream may be older than
    /// the agent and hold flows that it does not know.
    pub fn new(own: Identity, beat_ms: u64, learning: bool, now_ms: u64) -> Agent {
        Agent {
            own,
            report_seq: 0,
            report_ms: REPORT_MS,
            started_ms: now_ms,
            learning,
            plan: Plan::Stay,
            presence: Presence::new(beat_ms),
            load: Load::default(),
            habits: Habits::default(),
            admission: Admission::default(),
            breaker: Breaker::default(),
            warmup: Warmup::default(),
            full_untold: false,
            full_told_ms: None,
            hold: Hold::default(),
            flows: FxHashMap::default(),
            probing: 0,
            pruned_ms: now_ms,
        }
    }

    /// Requests in progress.
    pub fn busy(&self) -> u32 {
        self.load.busy()
    }

    /// Requests that wait here until the upstream has a free slot.
    pub fn waiting(&self) -> usize {
        self.admission.waiting()
    }

    /// Flows that are open or opening.
    pub fn flows(&self) -> u32 {
        self.load.flows()
    }

    /// Whether an upstream is or was there. If not, nobody needs to know of this agent.
    pub fn has_served(&self) -> bool {
        self.learning || self.presence.was_known()
    }

    /// What the agent is about to do.
    pub fn plan(&self) -> Plan {
        self.plan
    }

    /// Sets what the agent is about to do.
    pub fn set_plan(&mut self, plan: Plan, now_ms: u64, out: &mut Vec<Effect>) {
        self.plan = plan;
        if matches!(plan, Plan::Restart | Plan::Leave) {
            self.admit_all(now_ms, out);
        }
        out.push(Effect::Report);
    }

    /// State of the upstream.
    pub fn upstream(&self, now_ms: u64) -> Upstream {
        let unheard = if self.learning { Upstream::Unknown } else { Upstream::Ended };
        self.presence.state(now_ms).unwrap_or(unheard)
    }

    /// The next report to balancers. An agent that never had an upstream says that it leaves: balancers that know it from
    /// a list, or from before its start, need not ask it for flows.
    pub fn next_report(&mut self, now_ms: u64) -> Report {
        self.report_seq += 1;
        Report {
            incarnation: self.own.incarnation,
            seq: self.report_seq,
            pool: self.own.pool,
            zone: self.own.zone,
            upstream: self.upstream(now_ms),
            plan: if self.has_served() { self.plan } else { Plan::Leave },
            slots: self.presence.capacity(now_ms).0,
            load: self.lasting_load(now_ms),
            service_ms: self.admission.mean_ms().map(|it| it.max(1.0) as u32),
            full: self.admission.is_full() || self.presence.capacity(now_ms).1,
            every_ms: self.report_ms,
        }
    }

    /// Sets the pause between two reports.
    pub fn set_report_pause(&mut self, pause_ms: u32) {
        self.report_ms = pause_ms;
    }

    /// Takes a heartbeat of the upstream.
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
                // Flows that were opened after the former upstream's last heartbeat may already be with the new one.
                self.forget_life(until_ms, now_ms, out);
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

    /// The upstream says that it ends; whether it was the present one.
    pub fn deregister(&mut self, life: &Life, out: &mut Vec<Effect>) -> bool {
        let present = self.presence.deregister(life);
        if present {
            out.push(Effect::Report);
        }
        present
    }

    /// The upstream's process is proven to have ended: its flows are reset.
    pub fn upstream_ended(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.presence.end();
        self.learning = false;
        self.forget_life(now_ms, now_ms, out);
    }

    /// Forgets what was learnt of an upstream's life that has ended: flows that began at `until_ms` or before, requests
    /// on them, service times.
    fn forget_life(&mut self, until_ms: u64, now_ms: u64, out: &mut Vec<Effect>) {
        self.reset_flows(until_ms, now_ms, out);
        self.break_off_requests(until_ms, now_ms);
        self.admission.forget_times();
        self.breaker = Breaker::default();
    }

    /// Takes a caller's packet that another process sent.
    pub fn relayed(
        &mut self,
        relay: &Relay,
        head: &Head,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if relay.pool != self.own.pool {
            return self.turn_away(relay, head, out);
        }
        match relay.ask {
            Ask::Open(walk) => self.open(relay, head, walk, Last::No, now_ms, out),
            Ask::Settle(walk) => self.open(relay, head, walk, Last::Yes, now_ms, out),
            Ask::Deliver | Ask::Locate => self.carry(relay, head, bytes, now_ms, out),
        }
    }

    /// Takes a packet that other agents are to get, too: the flow may be at any of them.
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
            if to == self.own.address {
                self.relayed(relay, head, bytes, now_ms, out);
            } else {
                out.push(Effect::Relay { to, relay: *relay, payload: Payload::Current });
            }
        }
    }

    /// Answers a balancer that asks for flows.
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

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if self.probing > 0 {
            self.end_probes(now_ms, out);
        }
        self.admit(now_ms, out);
        self.tell_full(now_ms, out);
        if now_ms.saturating_sub(self.started_ms) > LEARN_MS {
            self.learning = false;
        }
        if now_ms.saturating_sub(self.pruned_ms) >= PRUNE_EVERY_MS {
            self.pruned_ms = now_ms;
            self.prune(now_ms);
            self.give_up_lost(now_ms);
        }
    }

    /// Reports that the upstream is full, or no longer, if it has not done so just before.
    fn tell_full(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.full_untold |= self.admission.look(self.presence.slots());
        let pause_ms = u64::from(self.report_ms / FULL_REPORTS);
        let just_told = self.full_told_ms.is_some_and(|it| now_ms.saturating_sub(it) < pause_ms);
        if !self.full_untold || just_told {
            return;
        }
        self.full_untold = false;
        self.full_told_ms = Some(now_ms);
        out.push(Effect::Report);
    }

    fn carry(
        &mut self,
        relay: &Relay,
        head: &Head,
        bytes: &[u8],
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(flow) = self.flows.get_mut(&head.key) else {
            return self.carry_unknown(relay, head, bytes, now_ms, out);
        };
        flow.balancer = Some(relay.balancer);
        flow.seen_ms = now_ms;
        if flow.phase == Phase::Absent || is_for_another(flow.phase, head) {
            return answer_absent(relay, head.key, out);
        }
        if let Phase::Opening { first: Some(_), .. } = flow.phase
            && head.kind != Kind::Open
        {
            flow.phase = Phase::Open;
            flow.proven = true;
        }
        if relay.ask == Ask::Locate && !matches!(flow.phase, Phase::Probing { .. }) {
            answer(relay.balancer, head.key, Answer::Here, false, out);
        }
        self.deliver(head, bytes, now_ms, out);
    }

    fn carry_unknown(
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
        self.probing += 1;
        self.deliver(head, bytes, now_ms, out);
    }
}

/// Whether the caller acknowledges another upstream's answer to its opening packet.
fn is_for_another(phase: Phase, head: &Head) -> bool {
    match phase {
        Phase::Opening { first: Some(first), .. } if head.kind != Kind::Open => {
            head.ack.wrapping_sub(first) > ACK_WINDOW
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
