//! Handling of packets from the upstream: replies to callers, and callers' packets that it bounces.

use super::{
    super::{
        PacketHeader, PacketKind,
        breaker::Transition,
        candidate_list::LOAD_CLOSED,
        effect::{Answer, Decision, DropReason, Effect, RelayAction, RelayHeader, note, note_drop},
    },
    Agent, answer,
    flows::{Phase, Side},
    requests::{End, Request},
};

impl Agent {
    /// Processes a packet from the upstream.
    pub fn handle_upstream_packet(
        &mut self,
        head: &PacketHeader,
        now_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if head.bounced {
            return self.bounced(head, now_ms, out);
        }
        if head.kind == PacketKind::Reset && !self.process_reset(head, now_ms, out) {
            return;
        }
        out.push(Effect::Reply);
        let Some(flow) = self.flows.get_mut(&head.key) else {
            // A flow from before the agent's start.
            if head.kind != PacketKind::Reset {
                self.insert_learned(head, now_ms);
            }
            return;
        };
        flow.seen_ms = now_ms;
        if head.kind != PacketKind::Open {
            flow.confirmed = true;
        }
        match flow.phase {
            Phase::Opening { candidates, upstream_seq } if head.kind == PacketKind::Open => {
                if upstream_seq.is_none() {
                    answer(flow.balancer, head.key, Answer::Here, false, out);
                }
                flow.phase = Phase::Opening { candidates, upstream_seq: Some(head.seq) };
            }
            Phase::Probing { .. } => {
                answer(flow.balancer, head.key, Answer::Here, false, out);
                self.confirm_probe(head.key);
            }
            _ => {}
        }
        self.record_outcome(head, now_ms, out);
        if head.len > 0 {
            self.end_request(head.key, End::Answered { bytes: u32::from(head.len) }, now_ms);
        }
        self.track_close(head, Side::Upstream, now_ms);
        self.admit(now_ms, out);
    }

    /// Reports the outcome of the flow's request, answered or reset, to the breaker. Ignores a reset after the upstream
    /// has closed the flow: the request crossed the close.
    fn record_outcome(&mut self, head: &PacketHeader, now_ms: u64, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get(&head.key) else {
            return;
        };
        if !matches!(flow.request, Request::Running { .. } | Request::Uncounted) {
            return;
        }
        let transition = match head.kind {
            PacketKind::Reset if !flow.upstream_closed => self.breaker.record_reset(now_ms),
            PacketKind::Data | PacketKind::Finish if head.len > 0 => {
                self.breaker.record_answer(now_ms)
            }
            _ => return,
        };
        note_transition(transition, out);
    }

    /// Processes a reset from the upstream. Returns whether to forward it to the caller: a reset in reply to a probe is
    /// not forwarded, as another upstream may hold the flow.
    fn process_reset(&mut self, head: &PacketHeader, now_ms: u64, out: &mut Vec<Effect>) -> bool {
        let phase = self.flows.get(&head.key).map(|it| it.phase);
        let passed = matches!(phase, Some(Phase::Opening { .. } | Phase::Open | Phase::Ended));
        note(head.key, Decision::UpstreamReset { passed }, out);
        if let Some(Phase::Probing { .. }) = phase {
            let balancer = self.flows[&head.key].balancer;
            self.probing_flows -= 1;
            self.end_flow(head.key, Phase::Absent, now_ms);
            answer(balancer, head.key, Answer::Absent, false, out);
            note(head.key, Decision::Absent, out);
        }
        passed
    }

    pub(super) fn bounced(&mut self, head: &PacketHeader, now_ms: u64, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get(&head.key) else {
            return note_drop(head.key, DropReason::StrayBounce, out);
        };
        let balancer = flow.balancer;
        match flow.phase {
            Phase::Opening { candidates: Some(candidates), .. }
                if head.kind == PacketKind::Open =>
            {
                self.remove(head.key, now_ms);
                note(head.key, Decision::Refused, out);
                let pool = self.identity.pool;
                let Some(balancer) = balancer else {
                    return note_drop(head.key, DropReason::StrayBounce, out);
                };
                let relay = RelayHeader { action: RelayAction::Open(candidates), pool, balancer };
                self.forward(&relay, head, candidates, LOAD_CLOSED, now_ms, out);
            }
            Phase::Probing { action, .. } => {
                self.probing_flows -= 1;
                self.end_flow(head.key, Phase::Absent, now_ms);
                answer(balancer, head.key, Answer::Absent, action != RelayAction::Locate, out);
            }
            Phase::Ended => {}
            _ => {
                self.end_flow(head.key, Phase::Absent, now_ms);
                note(head.key, Decision::Absent, out);
                answer(balancer, head.key, Answer::Absent, true, out);
            }
        }
    }
}

fn note_transition(transition: Transition, out: &mut Vec<Effect>) {
    let decision = match transition {
        Transition::None => return,
        Transition::Opened => Decision::BreakerOpened,
        Transition::Closed => Decision::BreakerClosed,
    };
    out.push(Effect::LogDecision { key: None, decision });
}
