//! Opening packets at an agent: accepted, or sent on along their walk.

use super::{
    super::{
        FlowKey, Head,
        effect::{Answer, Ask, Decision, Drop, Effect, Payload, Relay, Why, drop, note, reset},
        fleet::{Plan, Upstream},
        load::{Habit, usable},
        walk::{CLOSED, Last, UNSURE, Walk},
    },
    Agent, answer,
    flows::Phase,
    requests::age_ms,
};
use crate::invariant::{self, Invariant};

impl Agent {
    pub(super) fn open(
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
        self.warmup.set_rate(walk.cold_rate);
        let idempotent = walk.objective.is_some_and(|it| it.idempotent);
        let state = match self.upstream(now_ms) {
            _ if self.plan != Plan::Stay => Upstream::Draining,
            // Whom nobody else takes is better off here than refused.
            // Closed also as the last resort: with more than it bears it would serve nobody in time.
            Upstream::Ready | Upstream::Unknown if self.is_cold_and_full(now_ms) => {
                Upstream::Draining
            }
            Upstream::Ready if !self.breaker.lets_through(idempotent, now_ms) => Upstream::Unknown,
            known => known,
        };
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
        self.breaker.accepted(now_ms);
        self.warmup.accepted(now_ms);
        note(head.key, Decision::Accepted { load, last, walk }, out);
        out.push(Effect::Deliver);
    }

    pub(super) fn pass_on(
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

    /// A packet that is meant for another pool is not for the upstream here. The balancer learns whom it sent it to,
    /// and an opening packet goes on to the next candidate.
    pub(super) fn turn_away(&self, relay: &Relay, head: &Head, out: &mut Vec<Effect>) {
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

    /// Whether the upstream is cold, or may be as nothing was heard of it, and got as many flows as it bears.
    fn is_cold_and_full(&self, now_ms: u64) -> bool {
        let known = self.presence.state(now_ms) == Some(Upstream::Ready);
        let cold = !known || self.presence.capacity(now_ms).1;
        cold && !self.warmup.has_room(now_ms)
    }

    fn usable_slots(&self, now_ms: u64) -> f64 {
        let (slots, cold) = self.presence.capacity(now_ms);
        usable(slots, cold, self.admission.mean_ms(), self.admission.pool_ms())
    }

    pub(super) fn lasting_load(&mut self, now_ms: u64) -> u16 {
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
