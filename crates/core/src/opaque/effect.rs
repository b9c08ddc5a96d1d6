//! What the decisions on opaque flows ask their process to do.

use std::net::SocketAddrV4;

use super::{
    FlowKey, PoolId,
    walk::{Last, Walk},
};

/// Bytes of the packet that an effect is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// Those of the packet that was just passed in.
    Current,
    /// Those of a packet that was held back.
    Held(Vec<u8>),
}

/// What a balancer wants of the agent that it sends a caller's packet to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Accept the flow, or pass the packet on along the walk.
    Open(Walk),
    /// Accept the flow, chosen as the best of a walk.
    Settle(Walk),
    /// Deliver a packet of a flow that the agent should hold; send it back otherwise.
    Deliver,
    /// Say whether the flow is here; deliver the packet if it is or might be.
    Locate,
}

/// A caller's packet between two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Relay {
    /// What is asked.
    pub ask: Ask,
    /// Pool that the packet is meant for; an agent of another pool never delivers it.
    pub pool: PoolId,
    /// Balancer that took the packet from the caller.
    pub balancer: SocketAddrV4,
}

/// An agent's answer to a balancer about one flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The flow is here.
    Here,
    /// The flow is not here. A packet that comes along should go to its holder.
    Absent,
    /// The agent is of this other pool: what the balancer knows of the address is old.
    WrongPool(PoolId),
}

/// What an agent knows of a flow that a balancer asks for without a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The flow is here.
    Here,
    /// It is not.
    Absent,
    /// Only the upstream knows: it has to be asked with a packet of the flow.
    Unsure,
}

/// Why a flow was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// No route has this address.
    NoRoute,
    /// The configuration dropped the flow's route.
    RouteDropped,
    /// The pool has no upstream that may take new flows.
    NoUpstream,
    /// All upstreams that may take new flows are in zones out of service.
    ZonesOut,
    /// No zone is in a region in which the route's requests may be served.
    NoRegion,
    /// Every upstream that was asked refused the flow.
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

/// Why a waiting request went to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// A slot was free.
    Slot,
    /// It had waited for as long as it may.
    Overdue,
    /// More wait than the upstream can serve while their callers stay.
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

/// A decision worth a log line or a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A balancer sent an opening packet to its first candidate.
    Placed {
        /// The candidate.
        first: SocketAddrV4,
        /// Copies that the caller had sent before.
        copies: u32,
    },
    /// An agent gave the flow to its upstream.
    Accepted {
        /// Load in thousandths of the slots.
        load: u16,
        /// Whether that was the last resort.
        last: Last,
        /// The candidates, with the loads of those that were asked before.
        walk: Walk,
    },
    /// An agent passed an opening packet on, as it is too loaded or may take no flow.
    PassedOn {
        /// The next candidate.
        to: SocketAddrV4,
        /// Load in thousandths of the slots.
        load: u16,
        /// Load up to which it would have accepted a flow that is kept.
        limit: u16,
    },
    /// No candidate may take the flow.
    NobodyAccepted {
        /// The candidates and their loads.
        walk: Walk,
    },
    /// The upstream sent an opening packet back.
    Refused,
    /// The holder of a flow is searched for.
    Searched {
        /// Agents asked so far.
        asked: usize,
    },
    /// The holder of a flow was found.
    Found {
        /// The holder.
        agent: SocketAddrV4,
        /// Time that the search took, in milliseconds.
        after_ms: u64,
    },
    /// A search ended without the flow's holder: held packets are dropped, the caller's next one starts a new search.
    NotFound {
        /// Agents that said that they do not hold the flow.
        absent: usize,
        /// Agents asked.
        asked: usize,
        /// One of the agents that did not answer.
        silent: Option<SocketAddrV4>,
    },
    /// A request that waited at the agent went to the upstream.
    Admitted {
        /// For how long it waited, in milliseconds.
        waited_ms: u64,
        /// Why it went then.
        cause: Cause,
        /// Requests that still wait.
        waiting: usize,
    },
    /// An agent does not hold the flow that it was sent a packet of.
    Absent,
    /// Packets are held while the flow's agent restarts.
    Held {
        /// The agent.
        agent: SocketAddrV4,
    },
    /// The upstream reset the flow.
    UpstreamReset {
        /// Whether that was passed on to the caller.
        passed: bool,
    },
    /// The upstream resets requests: it gets no new flows that another one takes.
    SetAside,
    /// The upstream answers requests again.
    TakenBack,
    /// The flow was reset.
    Reset(Why),
    /// A packet could not be used and was dropped.
    Dropped(Drop),
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Drop {
    /// The configuration is not known yet.
    NoConfig,
    /// A packet within a flow, for an address that no route has.
    NoRoute,
    /// No live upstream can take the flow now, but one may soon.
    NoUpstream,
    /// Too many packets are held.
    HoldFull,
    /// The packet is meant for another pool.
    WrongPool,
    /// The upstream bounced a packet of a flow that is not known.
    StrayBounce,
    /// A copy of an opening packet, whose flow is open already.
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

/// What the process is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a caller's packet to another process.
    Relay {
        /// The process.
        to: SocketAddrV4,
        /// What is asked of it.
        relay: Relay,
        /// The packet.
        payload: Payload,
    },
    /// Answer a balancer about a flow.
    Answer {
        /// The balancer.
        to: SocketAddrV4,
        /// The flow.
        key: FlowKey,
        /// The answer.
        answer: Answer,
        /// Whether the present packet goes back with it.
        returned: bool,
    },
    /// Ask an agent which of these flows it holds.
    Query {
        /// The agent.
        to: SocketAddrV4,
        /// The flows.
        keys: Vec<FlowKey>,
    },
    /// Have an agent pass a packet on to others, to locate its flow: one copy leaves the balancer instead of one each.
    Spread {
        /// The agent.
        to: SocketAddrV4,
        /// What is asked of the others.
        relay: Relay,
        /// The others.
        agents: Vec<SocketAddrV4>,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Tell a balancer what is known of the flows that it asked for.
    Verdicts {
        /// The balancer.
        to: SocketAddrV4,
        /// What is known of each flow.
        verdicts: Vec<(FlowKey, Verdict)>,
    },
    /// Give the present packet to the upstream beside this agent.
    Deliver,
    /// Give it a packet that was held back.
    Release {
        /// The packet.
        packet: Vec<u8>,
    },
    /// Send the upstream's packet on to the caller.
    Reply,
    /// Reset the flow towards the caller.
    Reset {
        /// The flow.
        key: FlowKey,
        /// A number that the caller accepts.
        seq: u32,
    },
    /// Say hello to a member, so that it reports its state.
    Greet {
        /// The member.
        to: SocketAddrV4,
    },
    /// Read the store's list of members again.
    List,
    /// Tell an agent that its object was taken off the store's list, so that it lists itself again.
    Unlisted {
        /// The agent.
        to: SocketAddrV4,
    },
    /// Report the agent's state to all balancers that it knows.
    Report,
    /// Log and count a decision.
    Note {
        /// The flow that it is about, if there is one.
        key: Option<FlowKey>,
        /// The decision.
        decision: Decision,
    },
}

/// Appends a decision on a flow.
pub(super) fn note(key: FlowKey, decision: Decision, out: &mut Vec<Effect>) {
    out.push(Effect::Note { key: Some(key), decision });
}

/// Appends the decision to drop a packet.
pub(super) fn drop(key: FlowKey, why: Drop, out: &mut Vec<Effect>) {
    note(key, Decision::Dropped(why), out);
}

/// Appends a reset and the decision.
pub(super) fn reset(key: FlowKey, seq: u32, why: Why, out: &mut Vec<Effect>) {
    out.push(Effect::Reset { key, seq });
    note(key, Decision::Reset(why), out);
}
