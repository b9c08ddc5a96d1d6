//! Datagrams between processes about opaque flows, and the snapshot messages.
//!
//! The first byte of a datagram is its type. Types on the packet path have a fixed layout; control messages are encoded
//! with `prost`. Integers are big-endian; an address takes 4 bytes for the IP and 2 for the port.
//!
//! ```text
//! 1 packet | action 1 | pool 8 | balancer 6 | candidates, for Open and Settle | packet
//!   candidates: load limit 2, latency objective 4, timeout 4, priority 1, idempotent 1, service time 4,
//!   full percent 1, index 1, count 1, then address 6 and load 2 of each, rate limit of a cold upstream 4, mean answer
//!   length of the pool 4
//! 2 answer | result 1 | pool 8, for WrongPool | caller 6 | service 6 | returned packet, if any
//! 3 control | Control
//! 4 query | for each flow: caller 6, service 6
//! 5 query response | for each flow: status 1, caller 6, service 6
//! 6 fan-out | pool 8 | balancer 6 | count 1 | agent 6 each | packet
//! 7 reserve | pool 8 | priority 1 | latency objective 4 | timeout 4, 0 without an objective | age 2 |
//!   beyond share 1
//! 8 offer | pool 8 | number of slots 1
//! 9 decline | pool 8
//! ```

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::{Buf, BufMut};
use camphorwinch_core::opaque::{
    FlowKey, PoolId,
    candidate_list::{Candidate, CandidateList, MAX_CANDIDATES, PoolLoad},
    effect::{Answer, FlowStatus, RelayAction, RelayHeader, Reservation},
    fleet::{self, AgentPlan, UpstreamState, ZoneId},
    route::Objective,
    service_rate::MeasuredService,
};
use prost::{Enumeration, Message, Oneof};
use thiserror::Error;

const TYPE_PACKET: u8 = 1;
const TYPE_ANSWER: u8 = 2;
const TYPE_CONTROL: u8 = 3;
const TYPE_QUERY: u8 = 4;
const TYPE_QUERY_RESPONSE: u8 = 5;
const TYPE_FAN_OUT: u8 = 6;
const TYPE_RESERVE: u8 = 7;
const TYPE_OFFER: u8 = 8;
const TYPE_DECLINE: u8 = 9;

/// A decoded datagram.
#[derive(Debug)]
pub enum Datagram<'a> {
    /// A caller's packet, forwarded by a balancer or an agent.
    Packet {
        /// What the receiver does with the packet.
        relay: RelayHeader,
        /// The caller's packet.
        packet: &'a [u8],
    },
    /// An agent's answer about a flow.
    Answer {
        /// Flow that the answer is about.
        key: FlowKey,
        /// Whether the flow is at the agent.
        answer: Answer,
        /// The returned packet; empty if none is returned.
        packet: &'a [u8],
    },
    /// A control message.
    Control(Control),
    /// Flows that a balancer queries.
    Query(Vec<FlowKey>),
    /// A caller's packet that the receiver forwards to other agents.
    FanOut {
        /// What these agents do with the packet.
        relay: RelayHeader,
        /// Agents to forward the packet to.
        agents: Vec<SocketAddrV4>,
        /// The caller's packet.
        packet: &'a [u8],
    },
    /// An agent's reply to a query.
    QueryResponse(Vec<(FlowKey, FlowStatus)>),
    /// A balancer's reservation of a slot.
    Reserve(Reservation),
    /// An agent's offer of slots.
    Offer {
        /// Pool of the agent's upstream.
        pool: PoolId,
        /// Number of slots.
        slots: u8,
    },
    /// A balancer's refusal of an offer.
    Decline {
        /// Pool of the offer.
        pool: PoolId,
    },
}

/// Reason why a datagram or snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// Shorter than its type requires.
    #[error("truncated")]
    Truncated,
    /// Unknown datagram type.
    #[error("unknown datagram type {0}")]
    UnknownType(u8),
    /// Unknown action, result or status.
    #[error("unknown code {0}")]
    UnknownCode(u8),
    /// The candidate list is empty, too long, or its index is out of range.
    #[error("invalid candidate list: index {index} of {count}")]
    InvalidCandidates {
        /// Number of candidates.
        count: u8,
        /// Index of the current candidate.
        index: u8,
    },
    /// Malformed control message.
    #[error("malformed control message: {0}")]
    Message(String),
    /// A field is missing or out of range.
    #[error("field {0} is missing or out of range")]
    InvalidField(&'static str),
}

/// Appends a caller's packet and the action for its receiver.
pub fn encode_packet(relay: &RelayHeader, packet: &[u8], out: &mut Vec<u8>) {
    let (code, list) = match &relay.action {
        RelayAction::Open(list) => (0, Some(list)),
        RelayAction::Assign(list) => (1, Some(list)),
        RelayAction::Deliver => (2, None),
        RelayAction::Locate => (3, None),
    };
    out.put_u8(TYPE_PACKET);
    out.put_u8(code);
    out.put_u64(relay.pool.0);
    put_address(relay.balancer, out);
    if let Some(list) = list {
        put_candidates(list, out);
    }
    out.put_slice(packet);
}

/// Appends a caller's packet that the receiver forwards to `agents` to locate its flow.
pub fn encode_fan_out(
    relay: &RelayHeader,
    agents: &[SocketAddrV4],
    packet: &[u8],
    out: &mut Vec<u8>,
) {
    out.put_u8(TYPE_FAN_OUT);
    out.put_u64(relay.pool.0);
    put_address(relay.balancer, out);
    out.put_u8(agents.len() as u8);
    for &agent in agents {
        put_address(agent, out);
    }
    out.put_slice(packet);
}

/// Appends an answer about a flow and the returned packet, which may be empty.
pub fn encode_answer(key: &FlowKey, answer: Answer, packet: &[u8], out: &mut Vec<u8>) {
    let code = match answer {
        Answer::Here => 0,
        Answer::Absent => 1,
        Answer::WrongPool(_) => 2,
    };
    out.put_u8(TYPE_ANSWER);
    out.put_u8(code);
    if let Answer::WrongPool(pool) = answer {
        out.put_u64(pool.0);
    }
    put_key(key, out);
    out.put_slice(packet);
}

/// Appends a control message.
pub fn encode_control(message: &Control, out: &mut Vec<u8>) {
    out.put_u8(TYPE_CONTROL);
    message.encode_raw(out);
}

/// Appends a query for flows.
pub fn encode_query(keys: &[FlowKey], out: &mut Vec<u8>) {
    out.put_u8(TYPE_QUERY);
    for key in keys {
        put_key(key, out);
    }
}

/// Appends the reply to a query.
pub fn encode_query_response(statuses: &[(FlowKey, FlowStatus)], out: &mut Vec<u8>) {
    out.put_u8(TYPE_QUERY_RESPONSE);
    for (key, status) in statuses {
        out.put_u8(match status {
            FlowStatus::Here => 0,
            FlowStatus::Absent => 1,
            FlowStatus::Unknown => 2,
        });
        put_key(key, out);
    }
}

/// Appends a reservation of a slot.
pub fn encode_reserve(reservation: &Reservation, out: &mut Vec<u8>) {
    // A timeout of 0 encodes an unknown objective.
    let objective = reservation.objective;
    out.put_u8(TYPE_RESERVE);
    out.put_u64(reservation.pool.0);
    out.put_u8(objective.map_or(0, |it| it.priority));
    out.put_u32(objective.map_or(0, |it| it.latency_ms));
    out.put_u32(objective.map_or(0, |it| it.timeout_ms));
    out.put_u16(reservation.age_ms);
    out.put_u8(u8::from(reservation.beyond_share));
}

/// Appends an offer of slots.
pub fn encode_offer(pool: PoolId, slots: u8, out: &mut Vec<u8>) {
    out.put_u8(TYPE_OFFER);
    out.put_u64(pool.0);
    out.put_u8(slots);
}

/// Appends the refusal of an offer.
pub fn encode_decline(pool: PoolId, out: &mut Vec<u8>) {
    out.put_u8(TYPE_DECLINE);
    out.put_u64(pool.0);
}

/// Decodes a datagram.
pub fn decode(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    match take_u8(&mut bytes)? {
        TYPE_PACKET => decode_packet(bytes),
        TYPE_ANSWER => decode_answer(bytes),
        TYPE_CONTROL => {
            let message = Control::decode(bytes);
            message.map(Datagram::Control).map_err(|e| DecodeError::Message(e.to_string()))
        }
        TYPE_QUERY => decode_query(bytes),
        TYPE_QUERY_RESPONSE => decode_query_response(bytes),
        TYPE_FAN_OUT => decode_fan_out(bytes),
        TYPE_RESERVE => decode_reserve(bytes),
        TYPE_OFFER => {
            Ok(Datagram::Offer { pool: take_pool(&mut bytes)?, slots: take_u8(&mut bytes)? })
        }
        TYPE_DECLINE => Ok(Datagram::Decline { pool: take_pool(&mut bytes)? }),
        kind => Err(DecodeError::UnknownType(kind)),
    }
}

fn decode_reserve(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    let pool = take_pool(&mut bytes)?;
    let objective = Objective {
        priority: take_u8(&mut bytes)?,
        latency_ms: take_u32(&mut bytes)?,
        timeout_ms: take_u32(&mut bytes)?,
        idempotent: false,
    };
    let age_ms = take_u16(&mut bytes)?;
    let beyond_share = take_u8(&mut bytes)? != 0;
    let objective = Some(objective).filter(|it| it.timeout_ms > 0);
    Ok(Datagram::Reserve(Reservation { pool, objective, age_ms, beyond_share }))
}

fn decode_query(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    let mut keys = Vec::with_capacity(bytes.len() / 12);
    while !bytes.is_empty() {
        keys.push(take_key(&mut bytes)?);
    }
    Ok(Datagram::Query(keys))
}

fn decode_query_response(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    let mut statuses = Vec::with_capacity(bytes.len() / 13);
    while !bytes.is_empty() {
        let status = match take_u8(&mut bytes)? {
            0 => FlowStatus::Here,
            1 => FlowStatus::Absent,
            2 => FlowStatus::Unknown,
            code => return Err(DecodeError::UnknownCode(code)),
        };
        statuses.push((take_key(&mut bytes)?, status));
    }
    Ok(Datagram::QueryResponse(statuses))
}

fn decode_fan_out(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    let pool = take_pool(&mut bytes)?;
    let balancer = take_address(&mut bytes)?;
    let count = take_u8(&mut bytes)?;
    let agents = (0..count).map(|_| take_address(&mut bytes)).collect::<Result<_, _>>()?;
    let relay = RelayHeader { action: RelayAction::Locate, pool, balancer };
    Ok(Datagram::FanOut { relay, agents, packet: bytes })
}

fn decode_packet(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    let code = take_u8(&mut bytes)?;
    let pool = take_pool(&mut bytes)?;
    let balancer = take_address(&mut bytes)?;
    let action = match code {
        0 => RelayAction::Open(take_candidates(&mut bytes)?),
        1 => RelayAction::Assign(take_candidates(&mut bytes)?),
        2 => RelayAction::Deliver,
        3 => RelayAction::Locate,
        code => return Err(DecodeError::UnknownCode(code)),
    };
    Ok(Datagram::Packet { relay: RelayHeader { action, pool, balancer }, packet: bytes })
}

fn decode_answer(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    let answer = match take_u8(&mut bytes)? {
        0 => Answer::Here,
        1 => Answer::Absent,
        2 => Answer::WrongPool(take_pool(&mut bytes)?),
        code => return Err(DecodeError::UnknownCode(code)),
    };
    let key = take_key(&mut bytes)?;
    Ok(Datagram::Answer { key, answer, packet: bytes })
}

fn put_key(key: &FlowKey, out: &mut Vec<u8>) {
    put_address(key.caller, out);
    put_address(key.service, out);
}

fn take_key(bytes: &mut &[u8]) -> Result<FlowKey, DecodeError> {
    let caller = take_address(bytes)?;
    let service = take_address(bytes)?;
    Ok(FlowKey { caller, service })
}

fn put_candidates(list: &CandidateList, out: &mut Vec<u8>) {
    out.put_u16(list.limit);
    // A timeout of 0 encodes an unknown objective.
    let unknown = Objective { priority: 0, latency_ms: 0, timeout_ms: 0, idempotent: false };
    let objective = list.objective.unwrap_or(unknown);
    out.put_u32(objective.latency_ms);
    out.put_u32(objective.timeout_ms);
    out.put_u8(objective.priority);
    out.put_u8(u8::from(objective.idempotent));
    out.put_u32(list.pool.service_ms.unwrap_or(0));
    out.put_u8(list.pool.full_percent);
    out.put_u8(list.position());
    out.put_u8(list.candidates().len() as u8);
    for candidate in list.candidates() {
        put_address(candidate.agent, out);
        out.put_u16(candidate.load);
    }
    // A rate of 0 encodes no limit.
    out.put_u32(list.cold_rate.unwrap_or(0));
    // A length of 0 encodes an unknown one.
    out.put_u32(list.pool.answer_bytes.unwrap_or(0));
}

fn take_candidates(bytes: &mut &[u8]) -> Result<CandidateList, DecodeError> {
    let limit = take_u16(bytes)?;
    let objective = Objective {
        latency_ms: take_u32(bytes)?,
        timeout_ms: take_u32(bytes)?,
        priority: take_u8(bytes)?,
        idempotent: take_u8(bytes)? != 0,
    };
    let service_ms = Some(take_u32(bytes)?).filter(|&it| it > 0);
    let full_percent = take_u8(bytes)?;
    let index = take_u8(bytes)?;
    let count = take_u8(bytes)?;
    let mut candidates = Vec::with_capacity(MAX_CANDIDATES);
    if usize::from(count) > MAX_CANDIDATES {
        return Err(DecodeError::InvalidCandidates { count, index });
    }
    for _ in 0..count {
        let agent = take_address(bytes)?;
        let load = take_u16(bytes)?;
        candidates.push(Candidate { agent, load });
    }
    let list = CandidateList::from_parts(&candidates, index, limit)
        .ok_or(DecodeError::InvalidCandidates { count, index })?;
    let cold_rate = Some(take_u32(bytes)?).filter(|&it| it > 0);
    let answer_bytes = Some(take_u32(bytes)?).filter(|&it| it > 0);
    let pool = PoolLoad { service_ms, answer_bytes, full_percent };
    let list = list.with_pool(pool).with_cold_rate(cold_rate);
    Ok(list.with_objective(Some(objective).filter(|it| it.timeout_ms > 0)))
}

fn put_address(address: SocketAddrV4, out: &mut Vec<u8>) {
    out.put_u32(address.ip().to_bits());
    out.put_u16(address.port());
}

fn take_address(bytes: &mut &[u8]) -> Result<SocketAddrV4, DecodeError> {
    let ip = bytes.try_get_u32().map_err(|_| DecodeError::Truncated)?;
    Ok(SocketAddrV4::new(Ipv4Addr::from_bits(ip), take_u16(bytes)?))
}

fn take_pool(bytes: &mut &[u8]) -> Result<PoolId, DecodeError> {
    bytes.try_get_u64().map(PoolId).map_err(|_| DecodeError::Truncated)
}

fn take_u32(bytes: &mut &[u8]) -> Result<u32, DecodeError> {
    bytes.try_get_u32().map_err(|_| DecodeError::Truncated)
}

fn take_u16(bytes: &mut &[u8]) -> Result<u16, DecodeError> {
    bytes.try_get_u16().map_err(|_| DecodeError::Truncated)
}

fn take_u8(bytes: &mut &[u8]) -> Result<u8, DecodeError> {
    bytes.try_get_u8().map_err(|_| DecodeError::Truncated)
}

/// A control message.
#[derive(Clone, PartialEq, Message)]
pub struct Control {
    /// The message.
    #[prost(oneof = "Body", tags = "1, 2")]
    pub body: Option<Body>,
}

/// Content of a control message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// State of an agent.
    #[prost(message, tag = "1")]
    Report(Report),
    /// Announcement of a balancer.
    #[prost(message, tag = "2")]
    Hello(Hello),
}

/// Announcement of a balancer to other balancers and to agents that send it no reports.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// Revision number of the sender's active configuration; 0 without one.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Whether the sender is stopping.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// Whether the receiver's entry was withdrawn from the store.
    #[prost(bool, tag = "3")]
    pub unlisted: bool,
    /// Zones out of service; `None` if the sender has no list of them.
    #[prost(message, optional, tag = "4")]
    pub zones: Option<ZonesEntry>,
    /// Whether the receiver should keep a copy of the sender's snapshot.
    #[prost(bool, tag = "5")]
    pub keep_copy: bool,
    /// Operator-assigned version of the active configuration.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// Store era of its revision.
    #[prost(uint64, tag = "7")]
    pub era: u64,
    /// Service time that the receiver reported before its restart.
    #[prost(message, optional, tag = "8")]
    pub service: Option<ServiceEntry>,
    /// Balancers that the sender has heard of lately: those with a duty, and one that the receiver asked about.
    #[prost(message, repeated, tag = "9")]
    pub heard: Vec<HeardEntry>,
    /// Whether the receiver, a balancer, should answer with a hello.
    #[prost(bool, tag = "10")]
    pub probe: bool,
    /// Balancer about which the sender asks.
    #[prost(message, optional, tag = "11")]
    pub sought: Option<PeerEntry>,
    /// Whether the store has just answered the sender's watch of the configuration.
    #[prost(bool, tag = "12")]
    pub config_answered: bool,
    /// The same for the zones out of service.
    #[prost(bool, tag = "13")]
    pub zones_answered: bool,
    /// Pools that routes have lately ceased to include.
    #[prost(message, repeated, tag = "14")]
    pub former_pools: Vec<FormerPoolEntry>,
    /// Agents that announced a restart and have not reported to the sender since; `age_ms` counts from the announcement.
    #[prost(message, repeated, tag = "15")]
    pub restarting: Vec<HeardEntry>,
}

/// A process that the sender has heard of.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct HeardEntry {
    /// IPv4 address as an integer.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Time since it was heard of, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Service time of an upstream; encoded form of [`MeasuredService`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ServiceEntry {
    /// ID of the upstream's pool.
    #[prost(fixed64, tag = "1")]
    pub pool: u64,
    /// Mean service time, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub service_ms: u32,
    /// Mean length of the first answer packet, in bytes; 0 if unknown.
    #[prost(uint32, tag = "3")]
    pub answer_bytes: u32,
}

/// Zones out of service. The list is short, so each announcement carries all of it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ZonesEntry {
    /// Number of the store revision that the list is taken from.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Names of the zones.
    #[prost(string, repeated, tag = "2")]
    pub names: Vec<String>,
    /// Store era of the revision.
    #[prost(uint64, tag = "3")]
    pub era: u64,
}

/// State of an agent; encoded form of [`fleet::Report`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Report {
    /// Random ID of the agent process.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Sequence number of the report within the incarnation.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// ID of the upstream's pool.
    #[prost(fixed64, tag = "3")]
    pub pool: u64,
    /// ID of the agent's zone.
    #[prost(fixed64, tag = "4")]
    pub zone: u64,
    /// State of the upstream: 0 unknown, 1 ready, 2 draining, 3 ended.
    #[prost(uint32, tag = "5")]
    pub upstream: u32,
    /// Next action of the agent: 0 stay, 1 pause, 2 restart, 3 leave.
    #[prost(uint32, tag = "6")]
    pub plan: u32,
    /// Number of requests that the upstream processes at once.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Load, in thousandths of the slots.
    #[prost(uint32, tag = "8")]
    pub load: u32,
    /// Report interval, in milliseconds.
    #[prost(uint32, tag = "10")]
    pub interval_ms: u32,
    /// Mean service time, in milliseconds; 0 if unknown.
    #[prost(uint32, tag = "11")]
    pub service_ms: u32,
    /// Whether the upstream is at capacity, or cold.
    #[prost(bool, tag = "12")]
    pub full: bool,
    /// Revision number of the configuration that the agent keeps a copy of; 0 without a copy.
    #[prost(uint64, tag = "13")]
    pub copy_revision: u64,
    /// Operator-assigned version of the copied configuration.
    #[prost(uint64, tag = "14")]
    pub copy_version: u64,
    /// Store era of its revision.
    #[prost(uint64, tag = "15")]
    pub copy_era: u64,
    /// Mean length of the first answer packet, in bytes; 0 if unknown.
    #[prost(uint32, tag = "16")]
    pub answer_bytes: u32,
}

impl From<fleet::Report> for Report {
    fn from(it: fleet::Report) -> Report {
        Report {
            incarnation: it.incarnation,
            seq: it.seq,
            pool: it.pool.0,
            zone: it.zone.0,
            upstream: match it.upstream {
                UpstreamState::Unknown => 0,
                UpstreamState::Ready => 1,
                UpstreamState::Draining => 2,
                UpstreamState::Ended => 3,
            },
            plan: match it.plan {
                AgentPlan::Stay => 0,
                AgentPlan::Pause => 1,
                AgentPlan::Restart => 2,
                AgentPlan::Leave => 3,
            },
            slots: it.slots,
            load: u32::from(it.load),
            interval_ms: it.interval_ms,
            service_ms: it.service_ms.unwrap_or(0),
            full: it.full,
            copy_revision: 0,
            copy_version: 0,
            copy_era: 0,
            answer_bytes: it.answer_bytes.unwrap_or(0),
        }
    }
}

impl TryFrom<Report> for fleet::Report {
    type Error = DecodeError;

    fn try_from(it: Report) -> Result<fleet::Report, DecodeError> {
        Ok(fleet::Report {
            incarnation: it.incarnation,
            seq: it.seq,
            pool: PoolId(it.pool),
            zone: ZoneId(it.zone),
            upstream: match it.upstream {
                0 => UpstreamState::Unknown,
                1 => UpstreamState::Ready,
                2 => UpstreamState::Draining,
                3 => UpstreamState::Ended,
                _ => return Err(DecodeError::InvalidField("upstream")),
            },
            plan: match it.plan {
                0 => AgentPlan::Stay,
                1 => AgentPlan::Pause,
                2 => AgentPlan::Restart,
                3 => AgentPlan::Leave,
                _ => return Err(DecodeError::InvalidField("plan")),
            },
            slots: it.slots,
            load: u16::try_from(it.load).map_err(|_| DecodeError::InvalidField("load"))?,
            interval_ms: it.interval_ms,
            service_ms: Some(it.service_ms).filter(|&it| it > 0),
            answer_bytes: Some(it.answer_bytes).filter(|&it| it > 0),
            full: it.full,
        })
    }
}

impl From<MeasuredService> for ServiceEntry {
    fn from(it: MeasuredService) -> ServiceEntry {
        let MeasuredService { pool, service_ms, answer_bytes } = it;
        ServiceEntry { pool: pool.0, service_ms, answer_bytes: answer_bytes.unwrap_or(0) }
    }
}

impl From<ServiceEntry> for MeasuredService {
    fn from(it: ServiceEntry) -> MeasuredService {
        let answer_bytes = Some(it.answer_bytes).filter(|&it| it > 0);
        MeasuredService { pool: PoolId(it.pool), service_ms: it.service_ms, answer_bytes }
    }
}

/// Configuration and members as known by a balancer, for a process that can't reach the store.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// Revision number of the configuration; 0 without one.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Operator-assigned version of the configuration.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Routes of the configuration.
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<RouteEntry>,
    /// Known members.
    #[prost(message, repeated, tag = "5")]
    pub members: Vec<MemberEntry>,
    /// Zones out of service; `None` if the sender has no list of them.
    #[prost(message, optional, tag = "6")]
    pub zones: Option<ZonesEntry>,
    /// Rate limits of cold upstreams, for pools that have one.
    #[prost(message, repeated, tag = "7")]
    pub cold_rates: Vec<ColdRateEntry>,
    /// Store era of the configuration's revision.
    #[prost(uint64, tag = "8")]
    pub era: u64,
    /// Number of the store revision at which the member list was read; 0 if the sender has no list.
    #[prost(uint64, tag = "9")]
    pub list_revision: u64,
    /// Store era of that revision.
    #[prost(uint64, tag = "10")]
    pub list_era: u64,
    /// Other processes that can serve the member list, if the sender has reached its limit.
    #[prost(message, repeated, tag = "11")]
    pub referrals: Vec<PeerEntry>,
    /// Whether the member list is as recent as requested.
    #[prost(bool, tag = "12")]
    pub is_fresh: bool,
    /// Zones out of service whose entries were lost in a reset of the store.
    #[prost(string, repeated, tag = "14")]
    pub lost_zones: Vec<String>,
    /// Whether the full snapshot follows in another frame.
    #[prost(bool, tag = "13")]
    pub pending: bool,
    /// Pools that routes no longer include.
    #[prost(message, repeated, tag = "15")]
    pub former_pools: Vec<FormerPoolEntry>,
    /// Whether these are all pools whose flows may still be open.
    #[prost(bool, tag = "16")]
    pub all_former_pools: bool,
    /// Agents that announced a restart and have not reported to the sender since; `age_ms` counts from the announcement.
    #[prost(message, repeated, tag = "17")]
    pub restarting: Vec<HeardEntry>,
}

/// A pool that a route no longer includes; encoded form of [`FormerPool`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct FormerPoolEntry {
    /// IPv4 address of the route, as an integer.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port of the route.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// ID of the pool.
    #[prost(fixed64, tag = "3")]
    pub pool: u64,
    /// Time since it was last known to be part of the route, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub age_ms: u64,
}

/// IPv4 address and port of a process.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PeerEntry {
    /// IPv4 address as an integer.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
}

/// Request for a [`Snapshot`].
#[derive(Clone, PartialEq, Message)]
pub struct SnapshotRequest {
    /// Whether to include the configuration and the zones out of service.
    #[prost(bool, tag = "1")]
    pub config: bool,
    /// Which members to include, a [`Part`].
    #[prost(enumeration = "Part", tag = "2")]
    pub members: i32,
    /// Required freshness of the member list, an [`Age`].
    #[prost(enumeration = "Age", tag = "3")]
    pub age: i32,
    /// Number of the oldest acceptable revision, for `Since`.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Store era of that revision.
    #[prost(uint64, tag = "5")]
    pub era: u64,
    /// Address of the requester, if it can serve the member list to others.
    #[prost(message, optional, tag = "6")]
    pub requester: Option<PeerEntry>,
    /// Whether another process referred the requester to the receiver.
    #[prost(bool, tag = "7")]
    pub referred: bool,
}

/// Which members a snapshot includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum Part {
    /// No members.
    None = 0,
    /// Only balancers.
    Balancers = 1,
    /// All members.
    All = 2,
    /// Agents that report to the sender, whether or not the store lists them.
    Reporting = 3,
}

/// Required freshness of a member list; encoded form of [`camphorwinch_core::opaque::member_list::Freshness`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum Age {
    /// Any age.
    Any = 0,
    /// Not older than a given revision.
    Since = 1,
    /// Read from the store after the request.
    Fresh = 2,
}

/// Rate limit of a pool's cold upstreams.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ColdRateEntry {
    /// Pool ID.
    #[prost(fixed64, tag = "1")]
    pub pool: u64,
    /// New flows per second.
    #[prost(uint32, tag = "2")]
    pub rate: u32,
}

/// Route of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct RouteEntry {
    /// IPv4 address as an integer.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Weighted pools of the route.
    #[prost(message, repeated, tag = "3")]
    pub shares: Vec<ShareEntry>,
    /// Latency objective, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub latency_ms: u32,
    /// Request timeout, in milliseconds; 0 if no objective is known.
    #[prost(uint32, tag = "5")]
    pub timeout_ms: u32,
    /// Request priority; 0 is the highest.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// Whether callers may retry a request after any failure.
    #[prost(bool, tag = "7")]
    pub idempotent: bool,
    /// IDs of the regions that may serve the requests; empty allows all.
    #[prost(fixed64, repeated, tag = "8")]
    pub regions: Vec<u64>,
}

/// Weighted pool of a route.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ShareEntry {
    /// Pool ID.
    #[prost(fixed64, tag = "1")]
    pub pool: u64,
    /// Relative weight.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// Member of a snapshot.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberEntry {
    /// IPv4 address as an integer.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Pool ID, if it is an agent.
    #[prost(fixed64, optional, tag = "3")]
    pub pool: Option<u64>,
    /// Zone ID.
    #[prost(fixed64, tag = "4")]
    pub zone: u64,
    /// Name of its object in the store; empty if the sender's list does not contain it.
    #[prost(string, tag = "5")]
    pub name: String,
    /// Revision number of that object.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
    /// Whether it is an agent that reports to the sender.
    #[prost(bool, tag = "7")]
    pub reports: bool,
}
