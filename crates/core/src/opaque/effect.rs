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
    /// The agent is of another pool: what the balancer knows of this address is old.
    WrongPool,
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
    /// Every upstream that was asked refused the flow.
    AllRefused,
    /// The upstream that held the flow has ended.
    UpstreamEnded,
    /// No upstream of the pool holds the flow.
    NotHeld,
}

impl Why {
    /// All reasons.
    pub const ALL: [Why; 6] = [
        Why::NoRoute,
        Why::RouteDropped,
        Why::NoUpstream,
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
            Why::AllRefused => "all-refused",
            Why::UpstreamEnded => "upstream-ended",
            Why::NotHeld => "not-held",
        }
    }
}

/// A decision worth a log line or a count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A balancer sent an opening packet to its first candidate; copies that the caller had sent before.
    Placed { first: SocketAddrV4, copies: u32 },
    /// An agent gave the flow to its upstream, at this load in thousandths of its slots.
    Accepted { load: u16, last: Last },
    /// An agent passed an opening packet on, at this load, as it is above the walk's limit or may take no flow.
    PassedOn { to: SocketAddrV4, load: u16, limit: u16 },
    /// The upstream sent an opening packet back.
    Refused,
    /// A packet's flow is not known here: its holder is searched for.
    Searched { asked: usize },
    /// The holder of a flow was found.
    Found { agent: SocketAddrV4, after_ms: u64 },
    /// No holder answered in time: held packets are dropped, the caller's next one starts a new search. `silent` is one
    /// of the agents that did not answer.
    NotFound { absent: usize, asked: usize, silent: Option<SocketAddrV4> },
    /// The agent does not hold the flow that a balancer sent it a packet of.
    Absent,
    /// Packets are held while the flow's agent restarts.
    Held { agent: SocketAddrV4 },
    /// The upstream reset the flow; whether that was passed on to the caller.
    UpstreamReset { passed: bool },
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
    /// The flow was searched for a moment ago, in vain.
    NotFound,
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
        Drop::NotFound,
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
            Drop::NotFound => "not-found",
        }
    }
}

/// What the process is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a caller's packet to another process.
    Relay { to: SocketAddrV4, relay: Relay, payload: Payload },
    /// Answer a balancer; `returned` sends the packet back with the answer.
    Answer { to: SocketAddrV4, key: FlowKey, answer: Answer, returned: bool },
    /// Ask an agent which of these flows it holds.
    Query { to: SocketAddrV4, keys: Vec<FlowKey> },
    /// Tell a balancer what is known of the flows it asked for.
    Verdicts { to: SocketAddrV4, verdicts: Vec<(FlowKey, Verdict)> },
    /// Give the packet to the upstream beside this agent.
    Deliver { payload: Payload },
    /// Send the upstream's packet on to the caller.
    Reply,
    /// Reset the flow towards the caller. `seq` is a number that the caller accepts.
    Reset { key: FlowKey, seq: u32 },
    /// Say hello to a member, so that it reports its state.
    Greet { to: SocketAddrV4 },
    /// Report the agent's state to all balancers that it knows.
    Report,
    /// Log and count a decision; the flow, if it is about one.
    Note { key: Option<FlowKey>, decision: Decision },
}
