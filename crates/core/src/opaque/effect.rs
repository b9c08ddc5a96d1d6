//! Effects: actions that the state machines of balancer and agent return to their process.

use std::net::SocketAddrV4;

use super::{
    FlowKey, PoolId,
    candidate_list::{CandidateList, LastResort},
    route::Objective,
    route_share::BeyondShare,
    service_rate::MeasuredService,
};

/// Bytes of the packet that an effect refers to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Payload {
    /// The packet that is being processed.
    Current,
    /// A packet that was buffered.
    Buffered(Vec<u8>),
}

/// Action that a balancer requests of an agent with a caller's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Accept the flow, or forward the packet to the next candidate.
    Open(CandidateList),
    /// Accept the flow as the least loaded candidate.
    Assign(CandidateList),
    /// Deliver the packet to the upstream, or return it if the flow is not here.
    Deliver,
    /// Report whether the flow is here, and deliver the packet if it is or may be.
    Locate,
}

/// Header of a caller's packet that is forwarded between processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayHeader {
    /// Requested action.
    pub action: RelayAction,
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
pub enum FlowStatus {
    /// The flow is here.
    Here,
    /// The flow is not here.
    Absent,
    /// Not known; a packet of the flow is needed to probe the upstream.
    Unknown,
}

/// Why a flow was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResetReason {
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

impl ResetReason {
    /// All reasons.
    pub const ALL: [ResetReason; 8] = [
        ResetReason::NoRoute,
        ResetReason::RouteDropped,
        ResetReason::NoUpstream,
        ResetReason::ZonesOut,
        ResetReason::NoRegion,
        ResetReason::AllRefused,
        ResetReason::UpstreamEnded,
        ResetReason::NotHeld,
    ];

    /// Name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ResetReason::NoRoute => "no-route",
            ResetReason::RouteDropped => "route-dropped",
            ResetReason::NoUpstream => "no-upstream",
            ResetReason::ZonesOut => "zones-out",
            ResetReason::NoRegion => "no-region",
            ResetReason::AllRefused => "all-refused",
            ResetReason::UpstreamEnded => "upstream-ended",
            ResetReason::NotHeld => "not-held",
        }
    }
}

/// Why a waiting request was released to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReleaseReason {
    /// A slot was free.
    Slot,
    /// The request reached its longest wait.
    Overdue,
    /// More requests wait than the upstream can serve within their timeouts.
    Backlog,
    /// The agent stops.
    Stop,
}

impl ReleaseReason {
    /// All reasons.
    pub const ALL: [ReleaseReason; 4] =
        [ReleaseReason::Slot, ReleaseReason::Overdue, ReleaseReason::Backlog, ReleaseReason::Stop];

    /// Name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ReleaseReason::Slot => "slot",
            ReleaseReason::Overdue => "overdue",
            ReleaseReason::Backlog => "backlog",
            ReleaseReason::Stop => "stop",
        }
    }
}

/// Why a deferred opening packet was placed without an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UndeferReason {
    /// The caller's attempt has reached the age limit.
    Aged,
    /// No agent that may serve it offered a slot in time.
    NoOffer,
    /// The pool is no longer full.
    Room,
    /// Too many opening packets are deferred, and it ranks lowest.
    BoundFull,
}

impl UndeferReason {
    /// Name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            UndeferReason::Aged => "aged",
            UndeferReason::NoOffer => "no-offer",
            UndeferReason::Room => "room",
            UndeferReason::BoundFull => "bound-full",
        }
    }
}

/// A balancer's reservation of a slot for a deferred opening packet. The balancer uses an offer for the highest-ranked
/// of its deferred opening packets, which may be another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// Pool of the opening packet.
    pub pool: PoolId,
    /// Objective of its route, if configured. Whether the requests are idempotent is not sent.
    pub objective: Option<Objective>,
    /// Age of the caller's opening attempt.
    pub age_ms: u16,
    /// Whether the opening packet is beyond the usual share of its route.
    pub beyond_share: bool,
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
    /// A balancer deferred an opening packet, as the pool is full.
    Deferred {
        /// Agents at which slots were reserved.
        agents: [Option<SocketAddrV4>; 2],
        /// Deferred opening packets, including this one.
        held: usize,
    },
    /// A balancer sent a deferred opening packet to an agent that offered a slot.
    Bound {
        /// The agent.
        agent: SocketAddrV4,
        /// Time for which the packet was deferred, in milliseconds.
        waited_ms: u64,
        /// Opening packets that are still deferred.
        held: usize,
    },
    /// A balancer placed a deferred opening packet without an offer.
    Undeferred {
        /// Reason for the placement.
        reason: UndeferReason,
        /// Time for which the packet was deferred, in milliseconds.
        waited_ms: u64,
    },
    /// An agent accepted the flow for its upstream.
    Accepted {
        /// Load in thousandths of the slots.
        load: u16,
        /// Whether the agent accepted as the last resort.
        last: LastResort,
        /// The candidates, with the loads of those visited before.
        candidates: CandidateList,
    },
    /// An agent forwarded an opening packet, as its load is above the limit or it accepts no flows.
    Forwarded {
        /// The next candidate.
        to: SocketAddrV4,
        /// Load in thousandths of the slots.
        load: u16,
        /// Load up to which it accepts persistent flows.
        limit: u16,
    },
    /// No candidate may accept the flow.
    NoCandidate {
        /// The candidates and their loads.
        candidates: CandidateList,
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
    /// A search found no agent. The flow is reset if it certainly has none; otherwise the search is retried while the
    /// caller is active.
    NotFound {
        /// Agents that reported the flow as absent.
        absent: usize,
        /// Agents queried.
        asked: usize,
        /// Agents of pools that the route no longer includes, among them.
        former: usize,
        /// One of the agents that did not answer.
        silent: Option<SocketAddrV4>,
    },
    /// A waiting request was released to the upstream.
    Admitted {
        /// Time that it waited, in milliseconds.
        waited_ms: u64,
        /// Reason for the release.
        reason: ReleaseReason,
        /// Requests that still wait.
        waiting: usize,
    },
    /// A request beyond its route's usual share waits. Reported at most once per second for each route.
    BeyondShare {
        /// The route's address.
        service: SocketAddrV4,
        /// Requests beyond the share and the route's rate.
        report: BeyondShare,
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
    BreakerOpened,
    /// The circuit breaker closed.
    BreakerClosed,
    /// The flow was reset.
    Reset(ResetReason),
    /// A packet was dropped.
    Dropped(DropReason),
    /// A balancer that has just started buffered a packet.
    StartupHeld,
    /// Such a packet was handled.
    StartupReplayed,
    /// Such a packet was dropped, as its time ended.
    StartupExpired,
    /// The startup of a balancer that buffered packets has ended.
    PacketsReplayed {
        /// Opening packets handled.
        openings: usize,
        /// Other packets handled.
        others: usize,
        /// Packets dropped, as their time ended.
        expired: usize,
        /// Longest time that a packet was buffered before it was handled.
        waited_ms: u64,
    },
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// No configuration has been received yet.
    NoConfig,
    /// A packet of an existing flow has a service address without a route.
    NoRoute,
    /// No upstream can accept the flow now, but one may soon.
    NoUpstream,
    /// The packet buffer is full.
    BufferFull,
    /// The packet is for another pool.
    WrongPool,
    /// The upstream bounced a packet of an unknown flow.
    StrayBounce,
    /// A retransmitted opening packet of a flow that is open already.
    LateCopy,
}

impl DropReason {
    /// All reasons.
    pub const ALL: [DropReason; 7] = [
        DropReason::NoConfig,
        DropReason::NoRoute,
        DropReason::NoUpstream,
        DropReason::BufferFull,
        DropReason::WrongPool,
        DropReason::StrayBounce,
        DropReason::LateCopy,
    ];

    /// Name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::NoConfig => "no-config",
            DropReason::NoRoute => "no-route",
            DropReason::NoUpstream => "no-upstream",
            DropReason::BufferFull => "hold-full",
            DropReason::WrongPool => "wrong-pool",
            DropReason::StrayBounce => "stray-bounce",
            DropReason::LateCopy => "late-copy",
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
        relay: RelayHeader,
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
    FanOut {
        /// The agent that forwards the packet.
        to: SocketAddrV4,
        /// The header for the receivers.
        relay: RelayHeader,
        /// The receivers.
        agents: Vec<SocketAddrV4>,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Answer a balancer's query.
    QueryResponse {
        /// The balancer.
        to: SocketAddrV4,
        /// The result for each flow.
        statuses: Vec<(FlowKey, FlowStatus)>,
    },
    /// Reserve a slot at an agent for a deferred opening packet.
    Reserve {
        /// The agent.
        to: SocketAddrV4,
        /// The reservation.
        reservation: Reservation,
    },
    /// Offer slots for reservations to a balancer.
    Offer {
        /// The balancer.
        to: SocketAddrV4,
        /// Pool of the upstream.
        pool: PoolId,
        /// Number of slots.
        slots: u8,
    },
    /// Decline an agent's offer, as no opening packet is deferred for it.
    Decline {
        /// The agent.
        to: SocketAddrV4,
        /// Pool of the offer.
        pool: PoolId,
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
    /// Send a hello to a member, which then reports its state.
    Hello {
        /// The member.
        to: SocketAddrV4,
    },
    /// Send an agent the service time that was measured before its restart.
    ReturnService {
        /// The agent.
        to: SocketAddrV4,
        /// The values.
        service: MeasuredService,
    },
    /// Reload the list of members from the store.
    ReloadMembers,
    /// Notify an agent that its entry was withdrawn from the store, so that it registers again.
    Unlisted {
        /// The agent.
        to: SocketAddrV4,
    },
    /// Report the agent's state to all known balancers.
    Report,
    /// Log and count a decision.
    LogDecision {
        /// The flow concerned, if any.
        key: Option<FlowKey>,
        /// The decision.
        decision: Decision,
    },
}

/// Appends a decision on a flow to be logged.
pub(super) fn note(key: FlowKey, decision: Decision, out: &mut Vec<Effect>) {
    out.push(Effect::LogDecision { key: Some(key), decision });
}

/// Appends the decision to drop a packet, to be logged.
pub(super) fn note_drop(key: FlowKey, reason: DropReason, out: &mut Vec<Effect>) {
    note(key, Decision::Dropped(reason), out);
}

/// Appends a reset of a flow and its decision to be logged.
pub(super) fn push_reset(key: FlowKey, seq: u32, reason: ResetReason, out: &mut Vec<Effect>) {
    out.push(Effect::Reset { key, seq });
    note(key, Decision::Reset(reason), out);
}
