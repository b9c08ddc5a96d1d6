//! Decisions of an agent on opaque flows.

mod flows;
mod requests;

use std::net::SocketAddrV4;

use rustc_hash::FxHashMap;

use self::{
    flows::{Flow, Phase, Side},
    requests::age_ms,
};
pub use super::presence::Heartbeat;
use super::{
    FlowKey, Head, Kind, PoolId,
    admission::Admission,
    effect::{
        Answer, Ask, Decision, Drop, Effect, Payload, Relay, Verdict, Why, drop, note, reset,
    },
    fleet::{Plan, REPORT_MS, Report, Upstream, ZoneId},
    hold::Hold,
    load::{Habit, Habits, Load, usable},
    presence::{Presence, Sender},
    walk::{CLOSED, Last, UNSURE, Walk},
};
use crate::invariant::{self, Invariant};

/// Time after its start for which an agent may not know all flows of its upstream, unless it has seen the upstream
/// start: longer than flows that must be kept may live.
const LEARN_MS: u64 = 65_000;
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
            Sender::Known => {}
            Sender::Newborn => self.learning = false,
            Sender::Successor { heard_ms } => {
                self.learning = false;
                // Flows that were opened after the former upstream's last heartbeat may already be with the new one.
                self.reset_flows(heard_ms, now_ms, out);
            }
        }
        if self.upstream(now_ms) == before {
            return Heard::Same;
        }
        out.push(Effect::Report);
        Heard::Changed
    }

    /// The upstream says that it ends; whether it was the present one.
    pub fn deregister(&mut self, id: &str, out: &mut Vec<Effect>) -> bool {
        let present = self.presence.deregister(id);
        if present {
            out.push(Effect::Report);
        }
        present
    }

    /// The upstream's process is proven to have ended: its flows are reset.
    pub fn upstream_ended(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        self.presence.end();
        self.learning = false;
        self.reset_flows(now_ms, now_ms, out);
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

    /// A packet that is meant for another pool is not for the upstream here. The balancer learns whom it sent it to,
    /// and an opening packet goes on to the next candidate.
    fn turn_away(&self, relay: &Relay, head: &Head, out: &mut Vec<Effect>) {
        let returned = relay.ask == Ask::Deliver;
        answer(relay.balancer, head.key, Answer::WrongPool(self.own.pool), returned, out);
        let next = match relay.ask {
            Ask::Open(mut walk) => walk.pass(CLOSED).map(|to| (to, Ask::Open(walk))),
            Ask::Settle(_) | Ask::Deliver | Ask::Locate => None,
        };
        let Some((to, ask)) = next else {
            return drop(head.key, Drop::WrongPool, out);
        };
        let relay = Relay { ask, ..*relay };
        out.push(Effect::Relay { to, relay, payload: Payload::Current });
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

    /// Takes a packet that the upstream sent.
    pub fn sent(&mut self, head: &Head, now_ms: u64, out: &mut Vec<Effect>) {
        if head.bounced {
            return self.bounced(head, now_ms, out);
        }
        if head.kind == Kind::Reset && !self.pass_reset(head, now_ms, out) {
            return;
        }
        out.push(Effect::Reply);
        let Some(flow) = self.flows.get_mut(&head.key) else {
            // A flow from before this agent started.
            if head.kind != Kind::Reset {
                self.learn(head, now_ms);
            }
            return;
        };
        flow.seen_ms = now_ms;
        if head.kind != Kind::Open {
            flow.proven = true;
        }
        match flow.phase {
            Phase::Opening { walk, first } if head.kind == Kind::Open => {
                if first.is_none() {
                    answer(flow.balancer, head.key, Answer::Here, false, out);
                }
                flow.phase = Phase::Opening { walk, first: Some(head.seq) };
            }
            Phase::Probing { .. } => {
                answer(flow.balancer, head.key, Answer::Here, false, out);
                self.settle_probe(head.key);
            }
            _ => {}
        }
        if head.len > 0 {
            self.answered(head.key, now_ms);
        }
        self.follow_end(head, Side::Upstream, now_ms);
        self.admit(now_ms, out);
    }

    /// Whether the upstream's reset goes to the caller. That of an upstream which was only asked whether it holds the
    /// flow says no more than that it does not: the flow may live at another one.
    fn pass_reset(&mut self, head: &Head, now_ms: u64, out: &mut Vec<Effect>) -> bool {
        let phase = self.flows.get(&head.key).map(|it| it.phase);
        let passed = matches!(phase, Some(Phase::Opening { .. } | Phase::Open | Phase::Ended));
        note(head.key, Decision::UpstreamReset { passed }, out);
        if let Some(Phase::Probing { .. }) = phase {
            let balancer = self.flows[&head.key].balancer;
            self.probing -= 1;
            self.end_flow(head.key, Phase::Absent, now_ms);
            answer(balancer, head.key, Answer::Absent, false, out);
            note(head.key, Decision::Absent, out);
        }
        passed
    }

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        if self.probing > 0 {
            self.end_probes(now_ms, out);
        }
        self.admit(now_ms, out);
        if self.admission.look(self.presence.slots()) {
            out.push(Effect::Report);
        }
        if now_ms.saturating_sub(self.started_ms) > LEARN_MS {
            self.learning = false;
        }
        if now_ms.saturating_sub(self.pruned_ms) >= PRUNE_EVERY_MS {
            self.pruned_ms = now_ms;
            self.prune(now_ms);
            self.give_up_lost(now_ms);
        }
    }

    fn open(
        &mut self,
        relay: &Relay,
        head: &Head,
        mut walk: Walk,
        last: Last,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        match self.flows.get_mut(&head.key) {
            // A copy: the upstream answers again.
            Some(flow) if matches!(flow.phase, Phase::Opening { .. }) => {
                flow.seen_ms = now_ms;
                return out.push(Effect::Deliver);
            }
            // A copy that comes late, from a process that stood still: the upstream could take it for a new flow.
            Some(flow) if flow.phase == Phase::Open && flow.is_opened_by(head) => {
                return drop(head.key, Drop::LateCopy, out);
            }
            _ => {}
        }
        self.admission.hear_pool(walk.pool, now_ms);
        let state =
            if self.plan == Plan::Stay { self.upstream(now_ms) } else { Upstream::Draining };
        let load = match state {
            Upstream::Ready => self.load_for(&head.key, now_ms),
            Upstream::Unknown => UNSURE,
            Upstream::Draining | Upstream::Ended => CLOSED,
        };
        let accepts = match last {
            Last::No => {
                state == Upstream::Ready && self.has_room(&head.key, load, walk.limit, now_ms)
            }
            Last::Yes => load != CLOSED,
        };
        if accepts {
            return self.accept(relay, head, walk, load, last, now_ms, out);
        }
        if last == Last::Yes {
            walk.record(CLOSED);
            return self.settle(relay, head, walk, now_ms, out);
        }
        self.pass_on(relay, head, walk, load, now_ms, out);
    }

    fn accept(
        &mut self,
        relay: &Relay,
        head: &Head,
        walk: Walk,
        load: u16,
        last: Last,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let closed = matches!(self.upstream(now_ms), Upstream::Draining | Upstream::Ended);
        if !invariant::check(Invariant::DrainHolds, !closed) {
            return drop(head.key, Drop::NoUpstream, out);
        }
        let phase = Phase::Opening { walk: Some(walk), first: None };
        self.insert(head.key, phase, Some(relay.balancer), now_ms);
        if let Some(flow) = self.flows.get_mut(&head.key) {
            flow.opened_seq = Some(head.seq);
            flow.age_ms = age_ms(head.ack);
        }
        if let Some(objective) = walk.objective {
            self.admission.set_objective(head.key.service, objective);
        }
        note(head.key, Decision::Accepted { load, last, walk }, out);
        out.push(Effect::Deliver);
    }

    fn pass_on(
        &mut self,
        relay: &Relay,
        head: &Head,
        mut walk: Walk,
        load: u16,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(to) = walk.pass(load) else {
            return self.settle(relay, head, walk, now_ms, out);
        };
        let limit = walk.limit;
        note(head.key, Decision::PassedOn { to, load, limit }, out);
        let relay = Relay { ask: Ask::Open(walk), ..*relay };
        out.push(Effect::Relay { to, relay, payload: Payload::Current });
    }

    /// All candidates were asked: the least loaded one gets the flow.
    fn settle(
        &mut self,
        relay: &Relay,
        head: &Head,
        mut walk: Walk,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(best) = walk.settle() else {
            note(head.key, Decision::NobodyAccepted { walk }, out);
            return reset(head.key, 0, Why::AllRefused, out);
        };
        if best == self.own.address {
            let load = self.load_for(&head.key, now_ms);
            return self.accept(relay, head, walk, load, Last::Yes, now_ms, out);
        }
        let relay = Relay { ask: Ask::Settle(walk), ..*relay };
        out.push(Effect::Relay { to: best, relay, payload: Payload::Current });
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

    fn bounced(&mut self, head: &Head, now_ms: u64, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get(&head.key) else {
            return drop(head.key, Drop::StrayBounce, out);
        };
        let balancer = flow.balancer;
        match flow.phase {
            Phase::Opening { walk: Some(walk), .. } if head.kind == Kind::Open => {
                self.remove(head.key, now_ms);
                note(head.key, Decision::Refused, out);
                let pool = self.own.pool;
                let Some(balancer) = balancer else {
                    return drop(head.key, Drop::StrayBounce, out);
                };
                let relay = Relay { ask: Ask::Open(walk), pool, balancer };
                self.pass_on(&relay, head, walk, CLOSED, now_ms, out);
            }
            Phase::Probing { ask, .. } => {
                self.probing -= 1;
                self.end_flow(head.key, Phase::Absent, now_ms);
                answer(balancer, head.key, Answer::Absent, ask != Ask::Locate, out);
            }
            Phase::Ended => {}
            _ => {
                self.end_flow(head.key, Phase::Absent, now_ms);
                note(head.key, Decision::Absent, out);
                answer(balancer, head.key, Answer::Absent, true, out);
            }
        }
    }

    fn usable_slots(&self, now_ms: u64) -> f64 {
        let (slots, cold) = self.presence.capacity(now_ms);
        usable(slots, cold, self.admission.mean_ms(), self.admission.pool_ms())
    }

    fn lasting_load(&mut self, now_ms: u64) -> u16 {
        let slots = self.usable_slots(now_ms);
        self.load.lasting(slots, now_ms)
    }

    /// The load that counts for a new flow.
    fn load_for(&mut self, key: &FlowKey, now_ms: u64) -> u16 {
        let slots = self.usable_slots(now_ms);
        match self.habits.of(key.service) {
            Habit::Single => self.load.present(slots, now_ms),
            Habit::Kept => self.load.lasting(slots, now_ms),
        }
    }

    /// Whether the flow is accepted without looking for a less loaded upstream.
    fn has_room(&self, key: &FlowKey, load: u16, limit: u16, now_ms: u64) -> bool {
        match self.habits.of(key.service) {
            Habit::Single => self.load.has_room(self.usable_slots(now_ms)),
            Habit::Kept => load <= limit,
        }
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
