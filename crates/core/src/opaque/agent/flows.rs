//! Flow table of an agent: creation, end detection and expiry of flows.

use std::net::SocketAddrV4;

use super::{
    super::{
        FlowKey, PacketHeader, PacketKind,
        candidate_list::CandidateList,
        effect::{Answer, Effect, RelayAction, ResetReason, push_reset},
    },
    Agent, answer,
    requests::{End, Request},
};

const IDLE_TIMEOUT_MS: u64 = 65_000;
/// Time for which an ended or absent flow is kept, for packets still in flight.
const ENDED_TIMEOUT_MS: u64 = 3_000;
/// Time after which an unfinished handshake expires. Callers end an attempt after 1.4 s and retransmit a lost packet
/// within 1.6 s.
const OPENING_TIMEOUT_MS: u64 = 10_000;
/// Time in which the upstream bounces a packet of a flow that it does not hold: many local round trips.
const PROBE_TIMEOUT_MS: u64 = 12;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The opening packet was delivered. `upstream_seq` is set once the upstream has answered it.
    Opening { candidates: Option<CandidateList>, upstream_seq: Option<u32> },
    /// The flow is established.
    Open,
    /// A packet of an unknown flow was delivered to the upstream, which may bounce it.
    Probing { since_ms: u64, action: RelayAction },
    /// The upstream does not hold the flow.
    Absent,
    /// Both ends have closed the flow, or one has reset it.
    Ended,
}

#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub(super) phase: Phase,
    /// The balancer that forwarded the caller's last packet; none if only the upstream's packets were seen.
    pub(super) balancer: Option<SocketAddrV4>,
    pub(super) since_ms: u64,
    pub(super) seen_ms: u64,
    /// Sequence number of the opening packet; none if this agent has not seen it.
    pub(super) opening_seq: Option<u32>,
    /// Age of the caller's opening attempt when its first packet arrived here.
    pub(super) opening_age_ms: u64,
    pub(super) request: Request,
    pub(super) requests: u32,
    /// The upstream is known to hold the flow: the handshake finished, or it sent a packet of the open flow.
    pub(super) confirmed: bool,
    /// The flow is included in the load.
    pub(super) counted: bool,
    pub(super) caller_next_seq: Option<u32>,
    pub(super) caller_ack: u32,
    pub(super) caller_closed: bool,
    pub(super) upstream_closed: bool,
}

impl Flow {
    /// Whether the opening packet is a retransmission of the one that opened this flow. A caller that reuses its port
    /// picks a new sequence number.
    pub(super) fn is_retransmission(&self, head: &PacketHeader) -> bool {
        self.opening_seq.is_none_or(|it| it == head.seq)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    Caller,
    Upstream,
}

impl Agent {
    pub(super) fn insert_learned(&mut self, head: &PacketHeader, now_ms: u64) {
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
            opening_seq: None,
            opening_age_ms: 0,
            request: Request::None,
            requests: 0,
            confirmed: false,
            counted,
            caller_next_seq: None,
            caller_ack: 0,
            caller_closed: false,
            upstream_closed: false,
        };
        self.flows.insert(key, flow);
    }

    pub(super) fn remove(&mut self, key: FlowKey, now_ms: u64) {
        self.end_flow(key, Phase::Ended, now_ms);
        if let Some(flow) = self.flows.remove(&key)
            && matches!(flow.phase, Phase::Probing { .. })
        {
            self.probing_flows -= 1;
        }
    }

    /// Cancels the flow's request, removes the flow from the load and sets its final phase.
    pub(super) fn end_flow(&mut self, key: FlowKey, phase: Phase, now_ms: u64) {
        self.end_request(key, End::Cancelled, now_ms);
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if flow.counted {
            self.load.remove_flow();
            self.flow_usage.record(key.service, flow.requests);
        }
        flow.counted = false;
        self.admission.reservations.take(&key);
        if !matches!(flow.phase, Phase::Probing { .. }) || phase == Phase::Absent {
            flow.phase = phase;
        }
    }

    pub(super) fn confirm_probe(&mut self, key: FlowKey) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        flow.phase = Phase::Open;
        flow.counted = true;
        self.probing_flows -= 1;
        self.load.add_flow();
    }

    /// Ends probes that the upstream has not bounced in time. The upstream holds these flows, unless it has sent no
    /// heartbeat yet: then there may be no upstream to bounce them, and the agent sends no answer.
    pub(super) fn end_probes(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let due = self.flows.iter().filter(|(_, it)| match it.phase {
            Phase::Probing { since_ms, .. } => now_ms.saturating_sub(since_ms) >= PROBE_TIMEOUT_MS,
            _ => false,
        });
        let due: Vec<_> = due.map(|(&key, it)| (key, it.balancer)).collect();
        let is_known = self.upstream_tracker.is_known();
        for (key, balancer) in due {
            if is_known {
                self.confirm_probe(key);
                answer(balancer, key, Answer::Here, false, out);
            } else {
                self.remove(key, now_ms);
            }
        }
    }

    pub(super) fn track_close(&mut self, head: &PacketHeader, side: Side, now_ms: u64) {
        let Some(flow) = self.flows.get_mut(&head.key) else {
            return;
        };
        match (head.kind, side) {
            (PacketKind::Finish, Side::Caller) => flow.caller_closed = true,
            (PacketKind::Finish, Side::Upstream) => flow.upstream_closed = true,
            (PacketKind::Reset, _) => {
                flow.caller_closed = true;
                flow.upstream_closed = true;
            }
            _ => {}
        }
        let probing = matches!(flow.phase, Phase::Probing { .. });
        if flow.caller_closed && flow.upstream_closed && !probing {
            self.end_flow(head.key, Phase::Ended, now_ms);
        }
    }

    /// Resets the flows opened at `until_ms` or before. Skips flows that the upstream is not known to have held, as
    /// another upstream may hold them.
    pub(super) fn reset_flows(&mut self, until_ms: u64, now_ms: u64, out: &mut Vec<Effect>) {
        let alive = |it: &Flow| it.phase == Phase::Open && it.confirmed;
        let due = self.flows.iter().filter(|(_, it)| alive(it) && it.since_ms <= until_ms);
        let due: Vec<_> = due.map(|(&key, it)| (key, it.caller_ack)).collect();
        for (key, seq) in due {
            self.end_flow(key, Phase::Ended, now_ms);
            push_reset(key, seq, ResetReason::UpstreamEnded, out);
        }
    }

    pub(super) fn prune(&mut self, now_ms: u64) {
        let old = self.flows.iter().filter(|(_, it)| {
            let idle = now_ms.saturating_sub(it.seen_ms);
            match it.phase {
                Phase::Ended | Phase::Absent => idle > ENDED_TIMEOUT_MS,
                Phase::Opening { .. } => idle > OPENING_TIMEOUT_MS,
                _ => idle > IDLE_TIMEOUT_MS,
            }
        });
        let old: Vec<_> = old.map(|(&key, _)| key).collect();
        for key in old {
            self.remove(key, now_ms);
        }
    }
}
