//! Packets that the upstream sends: answers to callers, and callers' packets that it sends back.

use super::{
    super::{
        Head, Kind,
        breaker::Turn,
        effect::{Answer, Ask, Decision, Drop, Effect, Relay, drop, note},
        walk::CLOSED,
    },
    Agent, answer,
    flows::{Phase, Side},
    requests::{End, Request},
};

impl Agent {
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
        self.count_end(head, now_ms, out);
        if head.len > 0 {
            self.end_request(head.key, End::Answered, now_ms);
        }
        self.follow_end(head, Side::Upstream, now_ms);
        self.admit(now_ms, out);
    }

    /// Counts how the request ends that the upstream has on this flow: with its answer, or with a reset. A reset after the
    /// upstream's own end of the flow only crossed with a request.
    fn count_end(&mut self, head: &Head, now_ms: u64, out: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get(&head.key) else {
            return;
        };
        if !matches!(flow.request, Request::Running { .. } | Request::Uncounted) {
            return;
        }
        let turn = match head.kind {
            Kind::Reset if !flow.upstream_done => self.breaker.reset(now_ms),
            Kind::Data | Kind::Finish if head.len > 0 => self.breaker.answered(now_ms),
            _ => return,
        };
        note_turn(turn, out);
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

    pub(super) fn bounced(&mut self, head: &Head, now_ms: u64, out: &mut Vec<Effect>) {
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
}

fn note_turn(turn: Turn, out: &mut Vec<Effect>) {
    let decision = match turn {
        Turn::None => return,
        Turn::Opened => Decision::SetAside,
        Turn::Closed => Decision::TakenBack,
    };
    out.push(Effect::Note { key: None, decision });
}
