//! Handling of opening packets: an agent accepts the flow or forwards the packet to the next candidate.

use super::{
    super::{
        FlowKey, Head,
        effect::{Answer, Ask, Decision, Drop, Effect, Payload, Relay, Why, drop, note, reset},
        fleet::{Plan, Upstream},
        load::{FlowUsage, effective_slots},
        walk::{LOAD_CLOSED, LOAD_UNKNOWN, Last, Walk},
    },
    Agent, answer,
    flows::Phase,
    requests::opening_age_ms,
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
            // A retransmission: the upstream answers again.
            Some(flow) if matches!(flow.phase, Phase::Opening { .. }) => {
                flow.seen_ms = now_ms;
                return out.push(Effect::Deliver);
            }
            // A delayed retransmission, for example from a stalled process: the upstream could open a second flow.
            Some(flow) if flow.phase == Phase::Open && flow.is_retransmission(head) => {
                return drop(head.key, Drop::LateCopy, out);
            }
            _ => {}
        }
        self.admission.set_pool_load(walk.pool, now_ms);
        self.warmup.set_rate(walk.cold_rate);
        let idempotent = walk.objective.is_some_and(|it| it.idempotent);
        let state = match self.upstream(now_ms) {
            _ if self.plan != Plan::Stay => Upstream::Draining,
            // Closed even as the last resort: above its rate limit, a cold upstream misses every deadline.
            Upstream::Ready | Upstream::Unknown if self.is_cold_and_full(now_ms) => {
                Upstream::Draining
            }
            // With the breaker open, the upstream is still the last resort.
            Upstream::Ready if !self.breaker.allows(idempotent, now_ms) => Upstream::Unknown,
            known => known,
        };
        let load = match state {
            Upstream::Ready => self.placement_load(&head.key, now_ms),
            Upstream::Unknown => LOAD_UNKNOWN,
            Upstream::Draining | Upstream::Ended => LOAD_CLOSED,
        };
        let accepts = match last {
            Last::No => {
                state == Upstream::Ready && self.has_room(&head.key, load, walk.limit, now_ms)
            }
            Last::Yes => load != LOAD_CLOSED,
        };
        if accepts {
            return self.accept(relay, head, walk, load, last, now_ms, out);
        }
        if last == Last::Yes {
            walk.record_load(LOAD_CLOSED);
            return self.assign_least_loaded(relay, head, walk, now_ms, out);
        }
        self.forward(relay, head, walk, load, now_ms, out);
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
        let phase = Phase::Opening { walk: Some(walk), upstream_seq: None };
        self.insert(head.key, phase, Some(relay.balancer), now_ms);
        if let Some(flow) = self.flows.get_mut(&head.key) {
            flow.opening_seq = Some(head.seq);
            flow.opening_age_ms = opening_age_ms(head.ack);
        }
        if let Some(objective) = walk.objective {
            self.admission.set_objective(head.key.service, objective);
        }
        self.breaker.record_accepted(now_ms);
        self.warmup.record_accepted(now_ms);
        note(head.key, Decision::Accepted { load, last, walk }, out);
        out.push(Effect::Deliver);
    }

    pub(super) fn forward(
        &mut self,
        relay: &Relay,
        head: &Head,
        mut walk: Walk,
        load: u16,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(to) = walk.pass(load) else {
            return self.assign_least_loaded(relay, head, walk, now_ms, out);
        };
        let limit = walk.limit;
        note(head.key, Decision::PassedOn { to, load, limit }, out);
        let relay = Relay { ask: Ask::Open(walk), ..*relay };
        out.push(Effect::Relay { to, relay, payload: Payload::Current });
    }

    /// Sends the flow to the least loaded candidate, after all of them have recorded their load.
    fn assign_least_loaded(
        &mut self,
        relay: &Relay,
        head: &Head,
        mut walk: Walk,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(best) = walk.select_least_loaded() else {
            note(head.key, Decision::NobodyAccepted { walk }, out);
            return reset(head.key, 0, Why::AllRefused, out);
        };
        if best == self.identity.address {
            let load = self.placement_load(&head.key, now_ms);
            return self.accept(relay, head, walk, load, Last::Yes, now_ms, out);
        }
        let relay = Relay { ask: Ask::Settle(walk), ..*relay };
        out.push(Effect::Relay { to: best, relay, payload: Payload::Current });
    }

    /// Rejects a packet for another pool: reports this agent's pool to the balancer and forwards an opening packet to
    /// the next candidate.
    pub(super) fn reject_wrong_pool(&self, relay: &Relay, head: &Head, out: &mut Vec<Effect>) {
        let returned = relay.ask == Ask::Deliver;
        answer(relay.balancer, head.key, Answer::WrongPool(self.identity.pool), returned, out);
        let next = match relay.ask {
            Ask::Open(mut walk) => walk.pass(LOAD_CLOSED).map(|to| (to, Ask::Open(walk))),
            Ask::Settle(_) | Ask::Deliver | Ask::Locate => None,
        };
        let Some((to, ask)) = next else {
            return drop(head.key, Drop::WrongPool, out);
        };
        let relay = Relay { ask, ..*relay };
        out.push(Effect::Relay { to, relay, payload: Payload::Current });
    }

    /// Whether the upstream is cold, or in an unknown state, and has reached its rate limit for new flows.
    fn is_cold_and_full(&self, now_ms: u64) -> bool {
        let known = self.presence.state(now_ms) == Some(Upstream::Ready);
        let cold = !known || self.presence.capacity(now_ms).1;
        cold && !self.warmup.has_room(now_ms)
    }

    fn effective_slots(&self, now_ms: u64) -> f64 {
        let (slots, cold) = self.presence.capacity(now_ms);
        effective_slots(slots, cold, self.admission.mean_ms(), self.admission.pool_ms())
    }

    pub(super) fn average_load(&mut self, now_ms: u64) -> u16 {
        let slots = self.effective_slots(now_ms);
        self.load.average_load(slots, now_ms)
    }

    /// Load to compare with the limit for a new flow of this service.
    fn placement_load(&mut self, key: &FlowKey, now_ms: u64) -> u16 {
        let slots = self.effective_slots(now_ms);
        match self.flow_usage.of(key.service) {
            FlowUsage::SingleRequest => self.load.current_load(slots, now_ms),
            FlowUsage::Persistent => self.load.average_load(slots, now_ms),
        }
    }

    /// Whether the flow is accepted without trying further candidates.
    fn has_room(&self, key: &FlowKey, load: u16, limit: u16, now_ms: u64) -> bool {
        match self.flow_usage.of(key.service) {
            FlowUsage::SingleRequest => self.load.has_room(self.effective_slots(now_ms)),
            FlowUsage::Persistent => load <= limit,
        }
    }
}
