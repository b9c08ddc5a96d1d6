//! Effects: actions that the state machines of balancer and agent return to their process.

use std::net::SocketAddrV4;

use super::{
    FlowKey, PoolId,
    walk::{Last, Walk},
};

/// Bytes of the packet that an effect refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// The packet that is being processed.
    Current,
    /// A packet that was buffered.
    Held(Vec<u8>),
}

/// Action that a balancer requests of an agent with a caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Accept the flow, or forward the packet to the next candidate of the walk.
    Open(Walk),
    /// Accept the flow as the least loaded candidate of the walk.
    Settle(Walk),
    /// Deliver the packet to the upstream, or return it if the flow is not here.
    Deliver,
    /// Report whether the flow is here, and deliver the packet if it is or may be.
    Locate,
}

/// Header of a caller's packet that is forwarded between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Relay {
    /// Requested action.
    pub ask: Ask,
    /// Pool of the flow; an agent of another pool never delivers the packet.
    pub pool: PoolId,
    /// Balancer that received the packet from the caller.
    pub balancer: SocketAddrV4,
}

/// An agent's answer to a balancer about one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The flow is here.
    Here,
    /// The flow is not here. A returned packet must be sent to the agent that holds it.
    Absent,
    /// The agent belongs to this other pool; the balancer's entry for the address is outdated.
    WrongPool(PoolId),
}

/// An agent's result for a flow in a balancer's query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The flow is here.
    Here,
    /// The flow is not here.
    Absent,
    /// Not known; a packet of the flow is needed to probe the upstream.
    Unsure,
}

/// Why a flow was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// No route has the service address.
    NoRoute,
    /// The flow's route was removed from the configuration.
    RouteDropped,
    /// The pool has no upstream that accepts new flows.
    NoUpstream,
    /// All upstreams that accept new flows are in zones out of service.
    ZonesOut,
    /// No zone is in a region that the route allows.
    NoRegion,
    /// Every candidate refused the flow.
    AllRefused,
    /// The upstream that held the flow has ended.
    UpstreamEnded,
    /// No upstream of the pool holds the flow.
    NotHeld,
}

impl Why {
    /// All reasons.
    pub const ALL: [Why; 8] = [
        Why::NoRoute,
        Why::RouteDropped,
        Why::NoUpstream,
        Why::ZonesOut,
        Why::NoRegion,
        Why::AllRefused,
        Why::UpstreamEnded,
        Why::NotHeld,
    ];

    /// Name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Why::NoRoute => "no-route",
            Why::RouteDropped => "route-dropped",
            Why::NoUpstream => "no-upstream",
            Why::ZonesOut => "zones-out",
            Why::NoRegion => "no-region",
            Why::AllRefused => "all-refused",
            Why::UpstreamEnded => "upstream-ended",
            Why::NotHeld => "not-held",
        }
    }
}

/// Why a waiting request was released to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// A slot was free.
    Slot,
    /// The request reached its longest wait.
    Overdue,
    /// More requests wait than the upstream can serve within their timeouts.
    Backlog,
    /// The agent stops.
    Stop,
}

impl Cause {
    /// Name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Slot => "slot",
            Cause::Overdue => "overdue",
            Cause::Backlog => "backlog",
            Cause::Stop => "stop",
        }
    }
}

/// A decision that is logged and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A balancer sent an opening packet to its first candidate.
    Placed {
        /// The first candidate.
        first: SocketAddrV4,
        /// Retransmissions by the caller so far.
        copies: u32,
    },
    /// An agent accepted the flow for its upstream.
    Accepted {
        /// Load in thousandths of the slots.
        load: u16,
        /// Whether the agent accepted as the last resort.
        last: Last,
        /// The candidates, with the loads of those visited before.
        walk: Walk,
    },
    /// An agent forwarded an opening packet, as its load is above the limit or it accepts no flows.
    PassedOn {
        /// The next candidate.
        to: SocketAddrV4,
        /// Load in thousandths of the slots.
        load: u16,
        /// Load up to which it accepts persistent flows.
        limit: u16,
    },
    /// No candidate may accept the flow.
    NobodyAccepted {
        /// The candidates and their loads.
        walk: Walk,
    },
    /// The upstream bounced an opening packet.
    Refused,
    /// A search for the agent that holds a flow is in progress.
    Searched {
        /// Agents queried so far.
        asked: usize,
    },
    /// The agent that holds a flow was found.
    Found {
        /// The agent that holds the flow.
        agent: SocketAddrV4,
        /// Duration of the search, in milliseconds.
        after_ms: u64,
    },
    /// A search failed. Buffered packets are dropped; the caller's next packet starts a new search.
    NotFound {
        /// Agents that reported the flow as absent.
        absent: usize,
        /// Agents queried.
        asked: usize,
        /// One of the agents that did not answer.
        silent: Option<SocketAddrV4>,
    },
    /// A waiting request was released to the upstream.
    Admitted {
        /// Time that it waited, in milliseconds.
        waited_ms: u64,
        /// Reason for the release.
        cause: Cause,
        /// Requests that still wait.
        waiting: usize,
    },
    /// An agent received a packet of a flow that it does not hold.
    Absent,
    /// Packets are buffered while the flow's agent restarts.
    Held {
        /// The agent.
        agent: SocketAddrV4,
    },
    /// The upstream reset the flow.
    UpstreamReset {
        /// Whether the reset was forwarded to the caller.
        passed: bool,
    },
    /// The circuit breaker opened: the upstream gets new flows only as a trial or the last resort.
    SetAside,
    /// The circuit breaker closed.
    TakenBack,
    /// The flow was reset.
    Reset(Why),
    /// A packet was dropped.
    Dropped(Drop),
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Drop {
    /// No configuration has been received yet.
    NoConfig,
    /// A packet of an existing flow has a service address without a route.
    NoRoute,
    /// No upstream can accept the flow now, but one may soon.
    NoUpstream,
    /// The packet buffer is full.
    HoldFull,
    /// The packet is for another pool.
    WrongPool,
    /// The upstream bounced a packet of an unknown flow.
    StrayBounce,
    /// A retransmitted opening packet of a flow that is open already.
    LateCopy,
}

impl Drop {
    /// All reasons.
    pub const ALL: [Drop; 7] = [
        Drop::NoConfig,
        Drop::NoRoute,
        Drop::NoUpstream,
        Drop::HoldFull,
        Drop::WrongPool,
        Drop::StrayBounce,
        Drop::LateCopy,
    ];

    /// Name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Drop::NoConfig => "no-config",
            Drop::NoRoute => "no-route",
            Drop::NoUpstream => "no-upstream",
            Drop::HoldFull => "hold-full",
            Drop::WrongPool => "wrong-pool",
            Drop::StrayBounce => "stray-bounce",
            Drop::LateCopy => "late-copy",
        }
    }
}

/// An action for the process to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a caller's packet to another process.
    Relay {
        /// The process.
        to: SocketAddrV4,
        /// The header.
        relay: Relay,
        /// The packet.
        payload: Payload,
    },
    /// Send a balancer the answer for a flow.
    Answer {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        key: FlowKey,
        /// The answer.
        answer: Answer,
        /// Whether the current packet is returned with it.
        returned: bool,
    },
    /// Query an agent for flows.
    Query {
        /// The agent.
        to: SocketAddrV4,
        /// The flows.
        keys: Vec<FlowKey>,
    },
    /// Have an agent forward a packet to several agents to locate its flow. The balancer sends a single copy.
    Spread {
        /// The agent that forwards the packet.
        to: SocketAddrV4,
        /// The header for the receivers.
        relay: Relay,
        /// The receivers.
        agents: Vec<SocketAddrV4>,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Answer a balancer's query.
    Verdicts {
        /// The balancer.
        to: SocketAddrV4,
        /// The result for each flow.
        verdicts: Vec<(FlowKey, Verdict)>,
    },
    /// Deliver the current packet to the agent's upstream.
    Deliver,
    /// Deliver a buffered packet to the agent's upstream.
    Release {
        /// The packet.
        packet: Vec<u8>,
    },
    /// Forward the upstream's packet to the caller.
    Reply,
    /// Reset the flow towards the caller.
    Reset {
        /// The flow.
        key: FlowKey,
        /// A sequence number that the caller accepts.
        seq: u32,
    },
    /// Subscribe to the state reports of a member.
    Greet {
        /// The member.
        to: SocketAddrV4,
    },
    /// Reload the list of members from the store.
    List,
    /// Notify an agent that its object was removed from the store, so that it registers again.
    Unlisted {
        /// The agent.
        to: SocketAddrV4,
    },
    /// Report the agent's state to all known balancers.
    Report,
    /// Log and count a decision.
    Note {
        /// The flow concerned, if any.
        key: Option<FlowKey>,
        /// The decision.
        decision: Decision,
    },
}

/// Appends a note of a decision on a flow.
pub(super) fn note(key: FlowKey, decision: Decision, out: &mut Vec<Effect>) {
    out.push(Effect::Note { key: Some(key), decision });
}

/// Appends a note of a dropped packet.
pub(super) fn drop(key: FlowKey, why: Drop, out: &mut Vec<Effect>) {
    note(key, Decision::Dropped(why), out);
}

/// Appends a reset of a flow and its note.
pub(super) fn reset(key: FlowKey, seq: u32, why: Why, out: &mut Vec<Effect>) {
    out.push(Effect::Reset { key, seq });
    note(key, Decision::Reset(why), out);
}
