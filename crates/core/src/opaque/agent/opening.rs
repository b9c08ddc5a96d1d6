//! Handling of opening packets: an agent accepts the flow or forwards the packet to the next candidate.

use super::{
    super::{
        FlowKey, PacketHeader,
        candidate_list::{CandidateList, LOAD_CLOSED, LOAD_UNKNOWN, LastResort},
        effect::{
            Answer, Decision, DropReason, Effect, Payload, RelayAction, RelayHeader, ResetReason,
            note, note_drop, push_reset,
        },
        fleet::{AgentPlan, UpstreamState},
        flow::opening_age_ms,
        load::{FlowUsage, effective_slots},
    },
    Agent, answer,
    flows::Phase,
};
use crate::invariant::{self, Invariant};

impl Agent {
    pub(super) fn open(
        &mut self,
        relay: &RelayHeader,
        head: &PacketHeader,
        mut candidates: CandidateList,
        last: LastResort,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        // A balancer binds an opening packet to an agent that offered a slot, before any candidate recorded its load.
        let bound = last == LastResort::Yes && candidates.is_current_unvisited();
        match self.flows.get_mut(&head.key) {
            // A retransmission: the upstream answers again.
            Some(flow) if matches!(flow.phase, Phase::Opening { .. }) => {
                flow.seen_ms = now_ms;
                if bound {
                    self.admission.reservations.assign(relay.balancer, head.key, now_ms);
                }
                return out.push(Effect::Deliver);
            }
            // A delayed retransmission, for example from a stalled process: the upstream could open a second flow.
            Some(flow) if flow.phase == Phase::Open && flow.is_retransmission(head) => {
                if bound {
                    self.admission.reservations.release(relay.balancer);
                }
                return note_drop(head.key, DropReason::LateCopy, out);
            }
            _ => {}
        }
        self.admission.set_pool_load(candidates.pool, now_ms);
        self.warmup.set_rate(candidates.cold_rate);
        let idempotent = candidates.objective.is_some_and(|it| it.idempotent);
        let state = match self.upstream(now_ms) {
            _ if self.plan != AgentPlan::Stay => UpstreamState::Draining,
            // Closed even as the last resort: above its rate limit, a cold upstream misses every deadline.
            UpstreamState::Ready | UpstreamState::Unknown if self.is_cold_and_full(now_ms) => {
                UpstreamState::Draining
            }
            // With the breaker open, the upstream is still the last resort.
            UpstreamState::Ready if !self.breaker.allows(idempotent, now_ms) => {
                UpstreamState::Unknown
            }
            known => known,
        };
        let load = match state {
            UpstreamState::Ready => self.placement_load(&head.key, now_ms),
            UpstreamState::Unknown => LOAD_UNKNOWN,
            UpstreamState::Draining | UpstreamState::Ended => LOAD_CLOSED,
        };
        let accepts = match last {
            LastResort::No => {
                state == UpstreamState::Ready
                    && self.has_room(&head.key, load, candidates.limit, now_ms)
            }
            LastResort::Yes if bound => {
                state == UpstreamState::Ready
                    && self.accepts_bound(&head.key, load, candidates.limit)
            }
            LastResort::Yes => load != LOAD_CLOSED,
        };
        if accepts {
            let last = if bound { LastResort::No } else { last };
            self.accept(relay, head, candidates, load, last, now_ms, out);
            if bound {
                self.admission.reservations.assign(relay.balancer, head.key, now_ms);
            }
            return;
        }
        if bound {
            self.admission.reservations.release(relay.balancer);
            return self.forward(relay, head, candidates, load, now_ms, out);
        }
        if last == LastResort::Yes {
            candidates.record_load(LOAD_CLOSED);
            return self.assign_least_loaded(relay, head, candidates, now_ms, out);
        }
        self.forward(relay, head, candidates, load, now_ms, out);
    }

    fn accept(
        &mut self,
        relay: &RelayHeader,
        head: &PacketHeader,
        candidates: CandidateList,
        load: u16,
        last: LastResort,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let closed =
            matches!(self.upstream(now_ms), UpstreamState::Draining | UpstreamState::Ended);
        if !invariant::check(Invariant::DrainHolds, !closed) {
            return note_drop(head.key, DropReason::NoUpstream, out);
        }
        let phase = Phase::Opening { candidates: Some(candidates), upstream_seq: None };
        self.insert(head.key, phase, Some(relay.balancer), now_ms);
        if let Some(flow) = self.flows.get_mut(&head.key) {
            flow.opening_seq = Some(head.seq);
            flow.opening_age_ms = opening_age_ms(head.ack);
        }
        if let Some(objective) = candidates.objective {
            self.admission.set_objective(head.key.service, objective);
        }
        self.breaker.record_accepted(now_ms);
        self.warmup.record_accepted(now_ms);
        note(head.key, Decision::Accepted { load, last, candidates }, out);
        out.push(Effect::Deliver);
    }

    pub(super) fn forward(
        &mut self,
        relay: &RelayHeader,
        head: &PacketHeader,
        mut candidates: CandidateList,
        load: u16,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(to) = candidates.advance(load) else {
            return self.assign_least_loaded(relay, head, candidates, now_ms, out);
        };
        let limit = candidates.limit;
        note(head.key, Decision::Forwarded { to, load, limit }, out);
        let relay = RelayHeader { action: RelayAction::Open(candidates), ..*relay };
        out.push(Effect::Relay { to, relay, payload: Payload::Current });
    }

    /// Sends the flow to the least loaded candidate, after all of them have recorded their load.
    fn assign_least_loaded(
        &mut self,
        relay: &RelayHeader,
        head: &PacketHeader,
        mut candidates: CandidateList,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let Some(best) = candidates.select_least_loaded() else {
            note(head.key, Decision::NoCandidate { candidates }, out);
            return push_reset(head.key, 0, ResetReason::AllRefused, out);
        };
        if best == self.identity.address {
            let load = self.placement_load(&head.key, now_ms);
            return self.accept(relay, head, candidates, load, LastResort::Yes, now_ms, out);
        }
        let relay = RelayHeader { action: RelayAction::Assign(candidates), ..*relay };
        out.push(Effect::Relay { to: best, relay, payload: Payload::Current });
    }

    /// Rejects a packet for another pool: reports this agent's pool to the balancer and forwards an opening packet to
    /// the next candidate.
    pub(super) fn reject_wrong_pool(
        &self,
        relay: &RelayHeader,
        head: &PacketHeader,
        out: &mut Vec<Effect>,
    ) {
        let returned = relay.action == RelayAction::Deliver;
        answer(relay.balancer, head.key, Answer::WrongPool(self.identity.pool), returned, out);
        let next = match relay.action {
            RelayAction::Open(mut candidates) => {
                candidates.advance(LOAD_CLOSED).map(|to| (to, RelayAction::Open(candidates)))
            }
            RelayAction::Assign(mut candidates) if candidates.is_current_unvisited() => {
                candidates.advance(LOAD_CLOSED).map(|to| (to, RelayAction::Open(candidates)))
            }
            RelayAction::Assign(_) | RelayAction::Deliver | RelayAction::Locate => None,
        };
        let Some((to, action)) = next else {
            return note_drop(head.key, DropReason::WrongPool, out);
        };
        let relay = RelayHeader { action, ..*relay };
        out.push(Effect::Relay { to, relay, payload: Payload::Current });
    }

    /// Whether the upstream is cold, or in an unknown state, and has reached its rate limit for new flows.
    pub(super) fn is_cold_and_full(&self, now_ms: u64) -> bool {
        let known = self.upstream_tracker.state(now_ms) == Some(UpstreamState::Ready);
        let cold = !known || self.upstream_tracker.capacity(now_ms).1;
        cold && !self.warmup.has_room(now_ms)
    }

    fn effective_slots(&self, now_ms: u64) -> f64 {
        let (slots, cold) = self.upstream_tracker.capacity(now_ms);
        effective_slots(slots, cold, self.admission.rate().speed(!self.breaker.is_open()))
    }

    /// Speed of the upstream by which new flows are placed; 1.0 is the pool's mean.
    pub fn speed(&self, now_ms: u64) -> f64 {
        let slots = self.upstream_tracker.capacity(now_ms).0;
        self.effective_slots(now_ms) / f64::from(slots.max(1))
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

    /// Whether a flow is accepted for which a slot was offered. A persistent flow can't be moved later, so a slot that is
    /// free now does not outweigh the load that it adds.
    fn accepts_bound(&self, key: &FlowKey, load: u16, limit: u16) -> bool {
        match self.flow_usage.of(key.service) {
            FlowUsage::SingleRequest => true,
            FlowUsage::Persistent => load <= limit,
        }
    }

    /// Whether the flow is accepted without trying further candidates.
    fn has_room(&self, key: &FlowKey, load: u16, limit: u16, now_ms: u64) -> bool {
        match self.flow_usage.of(key.service) {
            FlowUsage::SingleRequest => {
                // Beyond its slots the request would wait even at a fast upstream.
                let slots = f64::from(self.upstream_tracker.capacity(now_ms).0.max(1));
                self.load.has_room(self.effective_slots(now_ms).min(slots))
            }
            FlowUsage::Persistent => load <= limit,
        }
    }
}
