//! Datagrams between processes about opaque flows, and the snapshot that a process asks a peer for.
//!
//! A datagram starts with a byte for its form. Packets and answers have a fixed layout, since each packet of a caller
//! passes here; what is rare is a `prost` message. Numbers are big-endian, an address is 4 bytes and a port of 2.
//!
//! ```text
//! 1 packet | ask | pool 8 | balancer 6 | walk, for Open and Settle | packet
//!   walk: limit 2, latency objective 4, timeout 4, priority 1, idempotent 1, service time 4, full 1, at 1,
//!   count 1, then 8 for each candidate, rate of a cold upstream 4
//! 2 answer | what | pool 8, if it is another | caller 6 | service 6 | the packet, if it is sent back
//! 3 message | Control
//! 4 query | 12 for each flow: caller 6, service 6
//! 5 verdicts | 13 for each flow: what, caller 6, service 6
//! 6 spread | pool 8 | balancer 6 | count 1 | 6 for each agent | packet
//! ```

use std::net::{Ipv4Addr, SocketAddrV4};

use bytes::{Buf, BufMut};
use camphorwinch_core::opaque::{
    FlowKey, PoolId,
    effect::{Answer, Ask, Relay, Verdict},
    fleet::{self, Plan, Upstream, ZoneId},
    route::Objective,
    walk::{MAX_SEATS, PoolLoad, Seat, Walk},
};
use prost::{Enumeration, Message, Oneof};
use thiserror::Error;

const PACKET: u8 = 1;
const ANSWER: u8 = 2;
const CONTROL: u8 = 3;
const QUERY: u8 = 4;
const VERDICTS: u8 = 5;
const SPREAD: u8 = 6;

/// A datagram as it was received.
#[derive(Debug)]
pub enum Datagram<'a> {
    /// A caller's packet.
    Packet {
        /// What is asked.
        relay: Relay,
        /// The packet.
        packet: &'a [u8],
    },
    /// An agent's answer.
    Answer {
        /// The flow.
        key: FlowKey,
        /// The answer.
        answer: Answer,
        /// The packet that comes back with it; empty if none does.
        packet: &'a [u8],
    },
    /// A rare message.
    Control(Control),
    /// Flows that a balancer asks for.
    Query(Vec<FlowKey>),
    /// A caller's packet that its receiver passes on to other agents.
    Spread {
        /// What is asked of them.
        relay: Relay,
        /// The agents.
        agents: Vec<SocketAddrV4>,
        /// The packet.
        packet: &'a [u8],
    },
    /// What an agent knows of them.
    Verdicts(Vec<(FlowKey, Verdict)>),
}

/// Why a datagram or a snapshot was refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// Shorter than its form says.
    #[error("truncated")]
    Truncated,
    /// A form that this build does not know.
    #[error("unknown form {0}")]
    Form(u8),
    /// An ask or answer that this build does not know.
    #[error("unknown code {0}")]
    Code(u8),
    /// The numbers of the walk do not fit together.
    #[error("walk of {count} candidates at {at}")]
    Walk {
        /// Candidates.
        count: u8,
        /// Position.
        at: u8,
    },
    /// Not a message.
    #[error("message: {0}")]
    Message(String),
    /// A field is missing or out of range.
    #[error("field {0} is missing or out of range")]
    Field(&'static str),
}

/// Appends a caller's packet with what is asked of its receiver.
pub fn encode_packet(relay: &Relay, packet: &[u8], out: &mut Vec<u8>) {
    let (code, walk) = match &relay.ask {
        Ask::Open(walk) => (0, Some(walk)),
        Ask::Settle(walk) => (1, Some(walk)),
        Ask::Deliver => (2, None),
        Ask::Locate => (3, None),
    };
    out.put_u8(PACKET);
    out.put_u8(code);
    out.put_u64(relay.pool.0);
    put_address(relay.balancer, out);
    if let Some(walk) = walk {
        put_walk(walk, out);
    }
    out.put_slice(packet);
}

/// Appends a caller's packet that its receiver passes on to other agents, to locate its flow.
pub fn encode_spread(relay: &Relay, agents: &[SocketAddrV4], packet: &[u8], out: &mut Vec<u8>) {
    out.put_u8(SPREAD);
    out.put_u64(relay.pool.0);
    put_address(relay.balancer, out);
    out.put_u8(agents.len() as u8);
    for &agent in agents {
        put_address(agent, out);
    }
    out.put_slice(packet);
}

/// Appends an answer about a flow and the packet that is sent back, if one is.
pub fn encode_answer(key: &FlowKey, answer: Answer, packet: &[u8], out: &mut Vec<u8>) {
    let code = match answer {
        Answer::Here => 0,
        Answer::Absent => 1,
        Answer::WrongPool(_) => 2,
    };
    out.put_u8(ANSWER);
    out.put_u8(code);
    if let Answer::WrongPool(pool) = answer {
        out.put_u64(pool.0);
    }
    put_key(key, out);
    out.put_slice(packet);
}

/// Appends a rare message.
pub fn encode_control(message: &Control, out: &mut Vec<u8>) {
    out.put_u8(CONTROL);
    message.encode_raw(out);
}

/// Appends a question for flows.
pub fn encode_query(keys: &[FlowKey], out: &mut Vec<u8>) {
    out.put_u8(QUERY);
    for key in keys {
        put_key(key, out);
    }
}

/// Appends what is known of flows.
pub fn encode_verdicts(verdicts: &[(FlowKey, Verdict)], out: &mut Vec<u8>) {
    out.put_u8(VERDICTS);
    for (key, verdict) in verdicts {
        out.put_u8(match verdict {
            Verdict::Here => 0,
            Verdict::Absent => 1,
            Verdict::Unsure => 2,
        });
        put_key(key, out);
    }
}

/// Decodes a datagram.
pub fn decode(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    match take_u8(&mut bytes)? {
        PACKET => decode_packet(bytes),
        ANSWER => decode_answer(bytes),
        CONTROL => {
            let message = Control::decode(bytes);
            message.map(Datagram::Control).map_err(|e| DecodeError::Message(e.to_string()))
        }
        QUERY => decode_query(bytes),
        VERDICTS => decode_verdicts(bytes),
        SPREAD => decode_spread(bytes),
        form => Err(DecodeError::Form(form)),
    }
}

fn decode_query(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    let mut keys = Vec::with_capacity(bytes.len() / 12);
    while !bytes.is_empty() {
        keys.push(take_key(&mut bytes)?);
    }
    Ok(Datagram::Query(keys))
}

fn decode_verdicts(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    let mut verdicts = Vec::with_capacity(bytes.len() / 13);
    while !bytes.is_empty() {
        let verdict = match take_u8(&mut bytes)? {
            0 => Verdict::Here,
            1 => Verdict::Absent,
            2 => Verdict::Unsure,
            code => return Err(DecodeError::Code(code)),
        };
        verdicts.push((take_key(&mut bytes)?, verdict));
    }
    Ok(Datagram::Verdicts(verdicts))
}

fn decode_spread(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    let pool = take_pool(&mut bytes)?;
    let balancer = take_address(&mut bytes)?;
    let count = take_u8(&mut bytes)?;
    let agents = (0..count).map(|_| take_address(&mut bytes)).collect::<Result<_, _>>()?;
    let relay = Relay { ask: Ask::Locate, pool, balancer };
    Ok(Datagram::Spread { relay, agents, packet: bytes })
}

fn decode_packet(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    let code = take_u8(&mut bytes)?;
    let pool = take_pool(&mut bytes)?;
    let balancer = take_address(&mut bytes)?;
    let ask = match code {
        0 => Ask::Open(take_walk(&mut bytes)?),
        1 => Ask::Settle(take_walk(&mut bytes)?),
        2 => Ask::Deliver,
        3 => Ask::Locate,
        code => return Err(DecodeError::Code(code)),
    };
    Ok(Datagram::Packet { relay: Relay { ask, pool, balancer }, packet: bytes })
}

fn decode_answer(mut bytes: &[u8]) -> Result<Datagram<'_>, DecodeError> {
    let answer = match take_u8(&mut bytes)? {
        0 => Answer::Here,
        1 => Answer::Absent,
        2 => Answer::WrongPool(take_pool(&mut bytes)?),
        code => return Err(DecodeError::Code(code)),
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

fn put_walk(walk: &Walk, out: &mut Vec<u8>) {
    out.put_u16(walk.limit);
    // A timeout of zero would serve nobody, so it stands for an objective that is not known.
    let unknown = Objective { priority: 0, latency_ms: 0, timeout_ms: 0, idempotent: false };
    let objective = walk.objective.unwrap_or(unknown);
    out.put_u32(objective.latency_ms);
    out.put_u32(objective.timeout_ms);
    out.put_u8(objective.priority);
    out.put_u8(u8::from(objective.idempotent));
    out.put_u32(walk.pool.service_ms.unwrap_or(0));
    out.put_u8(walk.pool.full_percent);
    out.put_u8(walk.at());
    out.put_u8(walk.seats().len() as u8);
    for seat in walk.seats() {
        put_address(seat.agent, out);
        out.put_u16(seat.load);
    }
    // A cold upstream that bears nothing would never be of use, so zero stands for no bound.
    out.put_u32(walk.cold_rate.unwrap_or(0));
}

fn take_walk(bytes: &mut &[u8]) -> Result<Walk, DecodeError> {
    let limit = take_u16(bytes)?;
    let objective = Objective {
        latency_ms: take_u32(bytes)?,
        timeout_ms: take_u32(bytes)?,
        priority: take_u8(bytes)?,
        idempotent: take_u8(bytes)? != 0,
    };
    let service_ms = Some(take_u32(bytes)?).filter(|&it| it > 0);
    let pool = PoolLoad { service_ms, full_percent: take_u8(bytes)? };
    let at = take_u8(bytes)?;
    let count = take_u8(bytes)?;
    let mut seats = Vec::with_capacity(MAX_SEATS);
    if usize::from(count) > MAX_SEATS {
        return Err(DecodeError::Walk { count, at });
    }
    for _ in 0..count {
        let agent = take_address(bytes)?;
        let load = take_u16(bytes)?;
        seats.push(Seat { agent, load });
    }
    let walk = Walk::from_parts(&seats, at, limit).ok_or(DecodeError::Walk { count, at })?;
    let cold_rate = Some(take_u32(bytes)?).filter(|&it| it > 0);
    let walk = walk.with_pool(pool).with_cold_rate(cold_rate);
    Ok(walk.with_objective(Some(objective).filter(|it| it.timeout_ms > 0)))
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

/// A rare message between processes.
#[derive(Clone, PartialEq, Message)]
pub struct Control {
    /// The message in it.
    #[prost(oneof = "Body", tags = "1, 2")]
    pub body: Option<Body>,
}

/// The rare messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// An agent's state.
    #[prost(message, tag = "1")]
    Report(Report),
    /// A balancer makes itself known.
    #[prost(message, tag = "2")]
    Greeting(Greeting),
}

/// A balancer makes itself known, to agents that it does not hear of and to other balancers.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Greeting {
    /// Number of the revision of the configuration in force at the sender; 0 if none is.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// The sender stops.
    #[prost(bool, tag = "2")]
    pub leaving: bool,
    /// The receiver's object was taken off the store's list.
    #[prost(bool, tag = "3")]
    pub unlisted: bool,
    /// Zones out of service; none if the sender does not know.
    #[prost(message, optional, tag = "4")]
    pub zones: Option<ZonesEntry>,
    /// The receiver is to keep a copy of what the sender knows.
    #[prost(bool, tag = "5")]
    pub keep: bool,
    /// Version of that configuration.
    #[prost(uint64, tag = "6")]
    pub version: u64,
    /// Era of its revision.
    #[prost(uint64, tag = "7")]
    pub era: u64,
}

/// The zones out of service. They are few, so a greeting holds them all and nobody has to ask for them.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ZonesEntry {
    /// Number of the store's revision at which this was so.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Names.
    #[prost(string, repeated, tag = "2")]
    pub names: Vec<String>,
    /// Era of the revision.
    #[prost(uint64, tag = "3")]
    pub era: u64,
}

/// An agent's state; `core::opaque::fleet::Report` says what the fields mean.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Report {
    /// Number of the process.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Number of the report.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// Pool.
    #[prost(fixed64, tag = "3")]
    pub pool: u64,
    /// Zone.
    #[prost(fixed64, tag = "4")]
    pub zone: u64,
    /// Upstream's state: 0 unknown, 1 ready, 2 draining, 3 ended.
    #[prost(uint32, tag = "5")]
    pub upstream: u32,
    /// Plan: 0 stay, 1 pause, 2 restart, 3 leave.
    #[prost(uint32, tag = "6")]
    pub plan: u32,
    /// Slots.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Load in thousandths of the slots.
    #[prost(uint32, tag = "8")]
    pub load: u32,
    /// Pause between two reports, in milliseconds.
    #[prost(uint32, tag = "10")]
    pub every_ms: u32,
    /// Mean service time in milliseconds; 0 if it is not known.
    #[prost(uint32, tag = "11")]
    pub service_ms: u32,
    /// Whether the upstream has as much as it can begin, or more.
    #[prost(bool, tag = "12")]
    pub full: bool,
    /// Number of the revision of the configuration of which the agent keeps a copy; 0 if it keeps none.
    #[prost(uint64, tag = "13")]
    pub kept: u64,
    /// Version of that configuration.
    #[prost(uint64, tag = "14")]
    pub kept_version: u64,
    /// Era of its revision.
    #[prost(uint64, tag = "15")]
    pub kept_era: u64,
}

impl From<fleet::Report> for Report {
    fn from(it: fleet::Report) -> Report {
        Report {
            incarnation: it.incarnation,
            seq: it.seq,
            pool: it.pool.0,
            zone: it.zone.0,
            upstream: match it.upstream {
                Upstream::Unknown => 0,
                Upstream::Ready => 1,
                Upstream::Draining => 2,
                Upstream::Ended => 3,
            },
            plan: match it.plan {
                Plan::Stay => 0,
                Plan::Pause => 1,
                Plan::Restart => 2,
                Plan::Leave => 3,
            },
            slots: it.slots,
            load: u32::from(it.load),
            every_ms: it.every_ms,
            service_ms: it.service_ms.unwrap_or(0),
            full: it.full,
            kept: 0,
            kept_version: 0,
            kept_era: 0,
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
                0 => Upstream::Unknown,
                1 => Upstream::Ready,
                2 => Upstream::Draining,
                3 => Upstream::Ended,
                _ => return Err(DecodeError::Field("upstream")),
            },
            plan: match it.plan {
                0 => Plan::Stay,
                1 => Plan::Pause,
                2 => Plan::Restart,
                3 => Plan::Leave,
                _ => return Err(DecodeError::Field("plan")),
            },
            slots: it.slots,
            load: u16::try_from(it.load).map_err(|_| DecodeError::Field("load"))?,
            every_ms: it.every_ms,
            service_ms: Some(it.service_ms).filter(|&it| it > 0),
            full: it.full,
        })
    }
}

/// What a balancer knows, for a process that can't ask the store.
#[derive(Clone, PartialEq, Message)]
pub struct Snapshot {
    /// Number of the configuration's revision; 0 if none is known.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Version that the operator gave to it.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The routes.
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<RouteEntry>,
    /// The members.
    #[prost(message, repeated, tag = "5")]
    pub members: Vec<MemberEntry>,
    /// Zones out of service; none if the sender does not know.
    #[prost(message, optional, tag = "6")]
    pub zones: Option<ZonesEntry>,
    /// What cold upstreams bear, for pools where that is bounded.
    #[prost(message, repeated, tag = "7")]
    pub cold_rates: Vec<ColdRateEntry>,
    /// Era of the configuration's revision.
    #[prost(uint64, tag = "8")]
    pub era: u64,
    /// Number of the store's revision as of which its list of members was read; 0 if the sender does not have the list.
    #[prost(uint64, tag = "9")]
    pub list_revision: u64,
    /// Era of that revision.
    #[prost(uint64, tag = "10")]
    pub list_era: u64,
    /// Processes that can tell the list in place of the sender, which has told it to many.
    #[prost(message, repeated, tag = "11")]
    pub referred: Vec<PeerEntry>,
    /// Whether the list is as new as was asked for.
    #[prost(bool, tag = "12")]
    pub meets_need: bool,
    /// Zones out of service whose entries the store lost when it came back from a copy.
    #[prost(string, repeated, tag = "14")]
    pub lost_zones: Vec<String>,
    /// The answer follows in another frame.
    #[prost(bool, tag = "13")]
    pub pending: bool,
}

/// Address of a process.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PeerEntry {
    /// Address as a number.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
}

/// Asks a process for what it knows; the answer is a [`Snapshot`].
#[derive(Clone, PartialEq, Message)]
pub struct Question {
    /// Whether the configuration and the zones out of service are asked for.
    #[prost(bool, tag = "1")]
    pub config: bool,
    /// Which members are asked for.
    #[prost(enumeration = "Part", tag = "2")]
    pub members: i32,
    /// How new the list of members has to be.
    #[prost(enumeration = "Age", tag = "3")]
    pub age: i32,
    /// Number of the revision that the list must not be older than.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Its era.
    #[prost(uint64, tag = "5")]
    pub era: u64,
    /// The asker, if it can tell the list on.
    #[prost(message, optional, tag = "6")]
    pub asker: Option<PeerEntry>,
    /// Another process referred the asker here, as it has told the list to this one.
    #[prost(bool, tag = "7")]
    pub referred: bool,
}

/// Which members are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum Part {
    /// None.
    None = 0,
    /// The balancers.
    Balancers = 1,
    /// All.
    All = 2,
}

/// How new a list has to be; `core::opaque::listing::Need` says what these mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum Age {
    /// Any.
    Any = 0,
    /// Not older than a revision.
    Since = 1,
    /// Read after the question.
    Fresh = 2,
}

/// What a cold upstream of a pool bears.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ColdRateEntry {
    /// The pool.
    #[prost(fixed64, tag = "1")]
    pub pool: u64,
    /// New flows a second.
    #[prost(uint32, tag = "2")]
    pub rate: u32,
}

/// A route of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct RouteEntry {
    /// Address as a number.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// The pools.
    #[prost(message, repeated, tag = "3")]
    pub shares: Vec<ShareEntry>,
    /// Latency below which an answer is in time, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub latency_ms: u32,
    /// Time after which an answer is of no use, in milliseconds; 0 if no objective is known.
    #[prost(uint32, tag = "5")]
    pub timeout_ms: u32,
    /// Which requests go first; 0 is the highest.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// Whether a caller may send a request again after any failure.
    #[prost(bool, tag = "7")]
    pub idempotent: bool,
    /// Regions in which its requests may be served; none named allow all.
    #[prost(fixed64, repeated, tag = "8")]
    pub regions: Vec<u64>,
}

/// A pool of a route.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct ShareEntry {
    /// The pool.
    #[prost(fixed64, tag = "1")]
    pub pool: u64,
    /// Its weight.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// A member of a snapshot.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct MemberEntry {
    /// Address as a number.
    #[prost(fixed32, tag = "1")]
    pub ip: u32,
    /// Port.
    #[prost(uint32, tag = "2")]
    pub port: u32,
    /// Pool, if it is an agent.
    #[prost(fixed64, optional, tag = "3")]
    pub pool: Option<u64>,
    /// Zone.
    #[prost(fixed64, tag = "4")]
    pub zone: u64,
    /// Name of its object in the store; empty if the sender did not find it on the store's list.
    #[prost(string, tag = "5")]
    pub name: String,
    /// Number of the revision of that object.
    #[prost(uint64, tag = "6")]
    pub revision: u64,
}
