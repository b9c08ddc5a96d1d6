//! The flows that an agent knows: how they begin, what tells that they ended, when they are forgotten.

use std::net::SocketAddrV4;

use super::{
    super::{
        FlowKey, Head, Kind,
        effect::{Answer, Ask, Effect, Why, reset},
        walk::Walk,
    },
    Agent, answer,
    requests::{End, Request},
};

/// Time after which a flow without packets is forgotten. A packet that comes later is treated as after a restart.
const FLOW_IDLE_MS: u64 = 65_000;
/// Time for which an ended or absent flow is remembered, for packets that are still on their way.
const ENDED_MS: u64 = 3_000;
/// Time after which an offer counts as not taken: callers end an attempt after 1.4 s and send a lost packet again within
/// 1.6 s.
const OPENING_MS: u64 = 10_000;
/// Time after which an upstream that has not bounced a packet is taken to hold its flow: a local round trip, many times.
const PROBE_MS: u64 = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The opening packet was given to the upstream, whose first number is known once it has answered.
    Opening { walk: Option<Walk>, first: Option<u32> },
    /// Packets went to and fro.
    Open,
    /// A packet of a flow that is not known was given to the upstream, which may bounce it.
    Probing { since_ms: u64, ask: Ask },
    /// The upstream does not hold the flow.
    Absent,
    /// Both ends have finished, or one has reset the flow.
    Ended,
}

#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub(super) phase: Phase,
    /// The balancer that sent its last packet; none of a flow that only its upstream has spoken of.
    pub(super) balancer: Option<SocketAddrV4>,
    pub(super) since_ms: u64,
    pub(super) seen_ms: u64,
    /// Number in the opening packet; none if this agent has not seen it.
    pub(super) opened_seq: Option<u32>,
    /// Age of the caller's opening packet when the first copy of it came.
    pub(super) age_ms: u64,
    pub(super) request: Request,
    pub(super) requests: u32,
    /// The upstream is known to hold the flow: its offer was taken, or it sent a packet of the open flow.
    pub(super) proven: bool,
    pub(super) counted: bool,
    pub(super) caller_end: Option<u32>,
    pub(super) ack: u32,
    pub(super) caller_done: bool,
    pub(super) upstream_done: bool,
}

impl Flow {
    /// Whether the opening packet is a copy of the one that opened this flow. A caller that uses its port again draws
    /// another number.
    pub(super) fn is_opened_by(&self, head: &Head) -> bool {
        self.opened_seq.is_none_or(|it| it == head.seq)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    Caller,
    Upstream,
}

impl Agent {
    pub(super) fn learn(&mut self, head: &Head, now_ms: u64) {
        self.insert(head.key, Phase::Open, None, now_ms);
    }

    pub(super) fn insert(
        &mut self,
        key: FlowKey,
        phase: Phase,
        balancer: Option<SocketAddrV4>,
        now_ms: u64,
    ) {
        self.remove(key, now_ms);
        let counted = !matches!(phase, Phase::Probing { .. });
        if counted {
            self.load.add_flow();
        }
        let flow = Flow {
            phase,
            balancer,
            since_ms: now_ms,
            seen_ms: now_ms,
            opened_seq: None,
            age_ms: 0,
            request: Request::None,
            requests: 0,
            proven: false,
            counted,
            caller_end: None,
            ack: 0,
            caller_done: false,
            upstream_done: false,
        };
        self.flows.insert(key, flow);
    }

    pub(super) fn remove(&mut self, key: FlowKey, now_ms: u64) {
        self.end_flow(key, Phase::Ended, now_ms);
        if let Some(flow) = self.flows.remove(&key)
            && matches!(flow.phase, Phase::Probing { .. })
        {
            self.probing -= 1;
        }
    }

    /// Takes the flow out of the load and sets its last phase.
    pub(super) fn end_flow(&mut self, key: FlowKey, phase: Phase, now_ms: u64) {
        self.end_request(key, End::BrokenOff, now_ms);
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.counted {
            self.load.remove_flow();
            self.habits.record(key.service, flow.requests);
        }
        flow.counted = false;
        if !matches!(flow.phase, Phase::Probing { .. }) || phase == Phase::Absent {
            flow.phase = phase;
        }
    }

    pub(super) fn settle_probe(&mut self, key: FlowKey) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        flow.phase = Phase::Open;
        flow.counted = true;
        self.probing -= 1;
        self.load.add_flow();
    }

    /// Ends probes that the upstream has not bounced. It holds these flows, unless it was not heard of at all: then
    /// nobody may be there to bounce anything, and no answer is better than a wrong one.
    pub(super) fn end_probes(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let due = self.flows.iter().filter(|(_, it)| match it.phase {
            Phase::Probing { since_ms, .. } => now_ms.saturating_sub(since_ms) >= PROBE_MS,
            _ => false,
        });
        let due: Vec<_> = due.map(|(&key, it)| (key, it.balancer)).collect();
        let heard = self.presence.is_known();
        for (key, balancer) in due {
            if heard {
                self.settle_probe(key);
                answer(balancer, key, Answer::Here, false, out);
            } else {
                self.remove(key, now_ms);
            }
        }
    }

    pub(super) fn follow_end(&mut self, head: &Head, side: Side, now_ms: u64) {
        let Some(flow) = self.flows.get_mut(&head.key) else {
            return;
        };
        match (head.kind, side) {
            (Kind::Finish, Side::Caller) => flow.caller_done = true,
            (Kind::Finish, Side::Upstream) => flow.upstream_done = true,
            (Kind::Reset, _) => {
                flow.caller_done = true;
                flow.upstream_done = true;
            }
            _ => {}
        }
        let probing = matches!(flow.phase, Phase::Probing { .. });
        if flow.caller_done && flow.upstream_done && !probing {
            self.end_flow(head.key, Phase::Ended, now_ms);
        }
    }

    /// Resets the flows that began at `until_ms` or before. Those that the upstream is not known to have held may live at
    /// another one.
    pub(super) fn reset_flows(&mut self, until_ms: u64, now_ms: u64, out: &mut Vec<Effect>) {
        let alive = |it: &Flow| it.phase == Phase::Open && it.proven;
        let due = self.flows.iter().filter(|(_, it)| alive(it) && it.since_ms <= until_ms);
        let due: Vec<_> = due.map(|(&key, it)| (key, it.ack)).collect();
        for (key, seq) in due {
            self.end_flow(key, Phase::Ended, now_ms);
            reset(key, seq, Why::UpstreamEnded, out);
        }
    }

    pub(super) fn prune(&mut self, now_ms: u64) {
        let old = self.flows.iter().filter(|(_, it)| {
            let idle = now_ms.saturating_sub(it.seen_ms);
            match it.phase {
                Phase::Ended | Phase::Absent => idle > ENDED_MS,
                Phase::Opening { .. } => idle > OPENING_MS,
                _ => idle > FLOW_IDLE_MS,
            }
        });
        let old: Vec<_> = old.map(|(&key, _)| key).collect();
        for key in old {
            self.remove(key, now_ms);
        }
    }
}
