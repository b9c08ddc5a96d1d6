//! Messages between processes, and their translation to and from the types of the core crate.

use std::{fmt, net::SocketAddr};

use camphorwinch_core::{
    member::{Agent, AgentState, Balancer, BalancerState, Place},
    object::{Kind, Object},
    record::{self, Key, Mark, Version},
    view::{self, BUCKETS},
};
use prost::{Enumeration, Message, Oneof};
use thiserror::Error;

/// Version of the protocol; a process refuses a peer with another one.
pub const PROTOCOL: u32 = 1;

/// A message that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("field {field}: {reason}")]
pub struct MessageError {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl MessageError {
    fn new<R>(field: &'static str, reason: R) -> MessageError
    where
        R: fmt::Display,
    {
        MessageError { field, reason: reason.to_string() }
    }
}

/// One frame of a link.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// The message in it.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// The messages.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First frame of either side.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Sign of life.
    #[prost(message, tag = "2")]
    Beat(Beat),
    /// Hashes of what the sender holds.
    #[prost(message, tag = "3")]
    Digest(Digest),
    /// What the sender holds in the buckets that differ.
    #[prost(message, tag = "4")]
    Summary(Summary),
    /// Records.
    #[prost(message, tag = "5")]
    Update(Update),
    /// Pools whose agents the sender wants to know.
    #[prost(message, tag = "6")]
    Interest(Interest),
    /// What a balancer reports to the holder of its zone's lease.
    #[prost(message, tag = "7")]
    Report(Report),
    /// The sender ends the link because it has better ones: it is not dead.
    #[prost(message, tag = "8")]
    Bye(Bye),
}

/// What a link is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum Purpose {
    /// Not given.
    Unspecified = 0,
    /// Between balancers.
    Mesh = 1,
    /// From an agent to a balancer that watches over it.
    Agent = 2,
    /// Between agents, for requests.
    Handover = 3,
}

/// A point in time of the hybrid logical clock.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Stamp {
    /// Milliseconds since 1970.
    #[prost(uint64, tag = "1")]
    pub ms: u64,
    /// Orders events of one millisecond.
    #[prost(uint32, tag = "2")]
    pub counter: u32,
}

/// Greeting.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// [`PROTOCOL`].
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// What the link is for.
    #[prost(enumeration = "Purpose", tag = "2")]
    pub purpose: i32,
    /// Name of the sender.
    #[prost(string, tag = "3")]
    pub name: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Pools whose agents the sender wants to know, if it is an agent.
    #[prost(string, repeated, tag = "5")]
    pub pools: Vec<String>,
}

/// Sign of life, with what changes often.
#[derive(Clone, PartialEq, Message)]
pub struct Beat {
    /// Clock of the sender.
    #[prost(message, optional, tag = "1")]
    pub stamp: Option<Stamp>,
    /// Revision in force at the sender.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// Flows, if the sender is an agent.
    #[prost(uint32, tag = "3")]
    pub flows: u32,
    /// Slots in use, if the sender is an agent.
    #[prost(uint32, tag = "4")]
    pub busy: u32,
    /// Whether the receiver is the one to report about the sender.
    #[prost(bool, tag = "5")]
    pub primary: bool,
    /// Events for the timeline, as JSON.
    #[prost(string, repeated, tag = "6")]
    pub events: Vec<String>,
    /// Key epochs of the sender's flows, one byte each, if the sender is an agent.
    #[prost(bytes = "vec", tag = "7")]
    pub epochs: Vec<u8>,
}

/// How complete the sender's configuration is; see [`camphorwinch_core::record::Mark`].
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct MarkPart {
    /// Revision.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Revision confirmed by a list.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// Sum over the objects.
    #[prost(fixed64, tag = "3")]
    pub sum: u64,
}

/// Hashes of the sender's records by bucket.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// One for each bucket.
    #[prost(fixed64, repeated, tag = "1")]
    pub buckets: Vec<u64>,
}

/// Key and version of a record.
#[derive(Clone, PartialEq, Message)]
pub struct EntryPart {
    /// Kind of the object; empty for a member.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Revision or incarnation.
    #[prost(uint64, tag = "3")]
    pub major: u64,
    /// Sequence number.
    #[prost(uint64, tag = "4")]
    pub minor: u64,
}

/// What the sender holds in the buckets that differ.
#[derive(Clone, PartialEq, Message)]
pub struct Summary {
    /// The buckets.
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
    /// Everything in them.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<EntryPart>,
    /// Revision confirmed by a list.
    #[prost(uint64, tag = "3")]
    pub floor: u64,
}

/// Records, and how complete the sender is after them.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<RecordPart>,
    /// How complete the sender is.
    #[prost(message, optional, tag = "2")]
    pub mark: Option<MarkPart>,
    /// Clock of the sender.
    #[prost(message, optional, tag = "3")]
    pub stamp: Option<Stamp>,
}

/// Last message of a link that is no longer needed.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Bye {}

/// Pools whose agents the sender wants to know.
#[derive(Clone, PartialEq, Message)]
pub struct Interest {
    /// The pools.
    #[prost(string, repeated, tag = "1")]
    pub pools: Vec<String>,
}

/// One record.
#[derive(Clone, PartialEq, Message)]
pub struct RecordPart {
    /// The record.
    #[prost(oneof = "Item", tags = "1, 2, 3")]
    pub item: Option<Item>,
}

/// The classes of records.
#[derive(Clone, PartialEq, Oneof)]
pub enum Item {
    /// A configuration object.
    #[prost(message, tag = "1")]
    Object(ObjectPart),
    /// Deletion of a configuration object; `spec` and `writer` are empty.
    #[prost(message, tag = "2")]
    Deleted(ObjectPart),
    /// A member.
    #[prost(message, tag = "3")]
    Member(MemberPart),
}

/// A configuration object.
#[derive(Clone, PartialEq, Message)]
pub struct ObjectPart {
    /// Kind.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Version.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Mark of the last writer.
    #[prost(string, tag = "4")]
    pub writer: String,
    /// Spec, as JSON.
    #[prost(string, tag = "5")]
    pub spec: String,
}

/// A member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberPart {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// VM.
    #[prost(string, tag = "2")]
    pub vm: String,
    /// Availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Region.
    #[prost(string, tag = "4")]
    pub region: String,
    /// Control address.
    #[prost(string, tag = "5")]
    pub control: String,
    /// Incarnation.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// Sequence number of the announcement.
    #[prost(uint64, tag = "7")]
    pub seq: u64,
    /// Since when it is in its state.
    #[prost(uint64, tag = "8")]
    pub since_ms: u64,
    /// What it is.
    #[prost(oneof = "RolePart", tags = "9, 10")]
    pub role: Option<RolePart>,
}

/// What a member is.
#[derive(Clone, PartialEq, Oneof)]
pub enum RolePart {
    /// An agent.
    #[prost(message, tag = "9")]
    Agent(AgentPart),
    /// A balancer.
    #[prost(message, tag = "10")]
    Balancer(BalancerPart),
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum StatePart {
    /// Not given.
    Unspecified = 0,
    /// Starting.
    Starting = 1,
    /// Ready.
    Ready = 2,
    /// Draining.
    Draining = 3,
    /// Leaving.
    Leaving = 4,
    /// Down.
    Down = 5,
}

/// An agent.
#[derive(Clone, PartialEq, Message)]
pub struct AgentPart {
    /// Pool.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Address for encapsulated packets.
    #[prost(string, tag = "2")]
    pub data: String,
    /// Weight.
    #[prost(double, tag = "3")]
    pub weight: f64,
    /// Slots.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Flows that it takes.
    #[prost(uint32, tag = "5")]
    pub connections: u32,
    /// State.
    #[prost(enumeration = "StatePart", tag = "6")]
    pub state: i32,
    /// Balancers that watch over it.
    #[prost(string, repeated, tag = "7")]
    pub homes: Vec<String>,
}

/// A balancer.
#[derive(Clone, PartialEq, Message)]
pub struct BalancerPart {
    /// State.
    #[prost(enumeration = "StatePart", tag = "1")]
    pub state: i32,
    /// Number of the lease that it holds.
    #[prost(uint32, optional, tag = "2")]
    pub lease: Option<u32>,
}

/// What a balancer reports.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Revision in force at the balancer.
    #[prost(uint64, tag = "1")]
    pub applied: u64,
    /// The agents that it reports about.
    #[prost(message, repeated, tag = "2")]
    pub agents: Vec<AgentReport>,
    /// Events for the timeline, as JSON.
    #[prost(string, repeated, tag = "3")]
    pub events: Vec<String>,
}

/// What a balancer reports about an agent.
#[derive(Clone, PartialEq, Message)]
pub struct AgentReport {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Revision in force at the agent.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// Flows.
    #[prost(uint32, tag = "3")]
    pub flows: u32,
    /// Slots in use.
    #[prost(uint32, tag = "4")]
    pub busy: u32,
    /// Key epochs of its flows, one byte each.
    #[prost(bytes = "vec", tag = "5")]
    pub epochs: Vec<u8>,
}

impl Frame {
    /// A frame with this message in it.
    pub fn new(body: Body) -> Frame {
        Frame { body: Some(body) }
    }

    /// Decodes a frame.
    pub fn parse(bytes: &[u8]) -> Result<Body, MessageError> {
        let frame = Frame::decode(bytes).map_err(|e| MessageError::new("frame", e))?;
        frame.body.ok_or_else(|| MessageError::new("body", "missing or of an unknown kind"))
    }
}

impl From<Mark> for MarkPart {
    fn from(it: Mark) -> MarkPart {
        MarkPart { revision: it.revision, floor: it.floor, sum: it.sum }
    }
}

impl From<MarkPart> for Mark {
    fn from(it: MarkPart) -> Mark {
        Mark { revision: it.revision, floor: it.floor, sum: it.sum }
    }
}

impl Digest {
    /// The hashes, one for each bucket.
    pub fn to_buckets(&self) -> Result<[u64; BUCKETS], MessageError> {
        <[u64; BUCKETS]>::try_from(self.buckets.as_slice())
            .map_err(|_| MessageError::new("digest.buckets", self.buckets.len()))
    }
}

impl From<&view::Summary> for Summary {
    fn from(it: &view::Summary) -> Summary {
        Summary {
            buckets: it.buckets.iter().map(|it| u32::from(*it)).collect(),
            entries: it.entries.iter().map(EntryPart::from).collect(),
            floor: it.floor,
        }
    }
}

impl TryFrom<&Summary> for view::Summary {
    type Error = MessageError;

    fn try_from(it: &Summary) -> Result<view::Summary, MessageError> {
        let mut buckets = Vec::new();
        for bucket in &it.buckets {
            let number = u8::try_from(*bucket).ok().filter(|it| usize::from(*it) < BUCKETS);
            buckets.push(number.ok_or_else(|| MessageError::new("summary.buckets", bucket))?);
        }
        let mut entries = Vec::new();
        for entry in &it.entries {
            entries.push(view::Entry::try_from(entry)?);
        }
        Ok(view::Summary { buckets, entries, floor: it.floor })
    }
}

impl From<&view::Entry> for EntryPart {
    fn from(it: &view::Entry) -> EntryPart {
        let (kind, name) = match &it.key {
            Key::Object(kind, name) => (kind.as_str(), name),
            Key::Member(name) => ("", name),
        };
        EntryPart {
            kind: kind.to_owned(),
            name: name.clone(),
            major: it.version.major,
            minor: it.version.minor,
        }
    }
}

impl TryFrom<&EntryPart> for view::Entry {
    type Error = MessageError;

    fn try_from(it: &EntryPart) -> Result<view::Entry, MessageError> {
        let key = if it.kind.is_empty() {
            Key::Member(it.name.clone())
        } else {
            Key::Object(parse_kind(&it.kind)?, it.name.clone())
        };
        Ok(view::Entry { key, version: Version { major: it.major, minor: it.minor } })
    }
}

fn parse_kind(kind: &str) -> Result<Kind, MessageError> {
    let config = Kind::parse(kind).filter(|it| Kind::CONFIG.contains(it));
    config.ok_or_else(|| MessageError::new("kind", format!("{kind:?} is not distributed")))
}

impl From<&record::Record> for RecordPart {
    fn from(it: &record::Record) -> RecordPart {
        let item = match it {
            record::Record::Object { kind, object } => Item::Object(ObjectPart {
                kind: kind.as_str().to_owned(),
                name: object.name.clone(),
                version: object.version,
                writer: object.writer.clone(),
                spec: object.spec.to_string(),
            }),
            record::Record::Deleted { kind, name, revision } => Item::Deleted(ObjectPart {
                kind: kind.as_str().to_owned(),
                name: name.clone(),
                version: *revision,
                ..ObjectPart::default()
            }),
            record::Record::Member(it) => Item::Member(MemberPart::from(it)),
        };
        RecordPart { item: Some(item) }
    }
}

impl TryFrom<&RecordPart> for record::Record {
    type Error = MessageError;

    fn try_from(it: &RecordPart) -> Result<record::Record, MessageError> {
        match &it.item {
            Some(Item::Object(it)) => {
                let kind = parse_kind(&it.kind)?;
                let spec = serde_json::from_str(&it.spec)
                    .map_err(|e| MessageError::new("object.spec", e))?;
                let object = Object {
                    kind: it.kind.clone(),
                    name: it.name.clone(),
                    version: it.version,
                    writer: it.writer.clone(),
                    spec,
                };
                Ok(record::Record::Object { kind, object })
            }
            Some(Item::Deleted(it)) => Ok(record::Record::Deleted {
                kind: parse_kind(&it.kind)?,
                name: it.name.clone(),
                revision: it.version,
            }),
            Some(Item::Member(it)) => Ok(record::Record::Member(record::Member::try_from(it)?)),
            None => Err(MessageError::new("record", "missing or of an unknown class")),
        }
    }
}

impl From<&record::Member> for MemberPart {
    fn from(it: &record::Member) -> MemberPart {
        let (place, control, role) = match &it.role {
            record::Role::Agent { agent, homes } => {
                let part = AgentPart {
                    pool: agent.pool.clone(),
                    data: agent.data.to_string(),
                    weight: agent.weight,
                    slots: agent.slots,
                    connections: agent.connections,
                    state: agent_state(agent.state) as i32,
                    homes: homes.clone(),
                };
                (&agent.place, agent.control, RolePart::Agent(part))
            }
            record::Role::Balancer { balancer, lease } => {
                let state = balancer_state(balancer.state) as i32;
                let part = BalancerPart { state, lease: lease.map(u32::from) };
                (&balancer.place, balancer.control, RolePart::Balancer(part))
            }
        };
        MemberPart {
            name: it.name().to_owned(),
            vm: place.vm.clone(),
            zone: place.zone.clone(),
            region: place.region.clone(),
            control: control.to_string(),
            incarnation: it.version.major,
            seq: it.version.minor,
            since_ms: it.since_ms,
            role: Some(role),
        }
    }
}

impl TryFrom<&MemberPart> for record::Member {
    type Error = MessageError;

    fn try_from(it: &MemberPart) -> Result<record::Member, MessageError> {
        let place = Place { vm: it.vm.clone(), zone: it.zone.clone(), region: it.region.clone() };
        let control = parse_address("member.control", &it.control)?;
        let role = match &it.role {
            Some(RolePart::Agent(part)) => parse_agent(it, part, place, control)?,
            Some(RolePart::Balancer(part)) => parse_balancer(it, part, place, control)?,
            None => return Err(MessageError::new("member.role", "missing")),
        };
        let version = Version::member(it.incarnation, it.seq);
        Ok(record::Member { version, since_ms: it.since_ms, role })
    }
}

fn parse_agent(
    it: &MemberPart,
    part: &AgentPart,
    place: Place,
    control: SocketAddr,
) -> Result<record::Role, MessageError> {
    if !part.weight.is_finite() || part.weight < 0.0 {
        return Err(MessageError::new("agent.weight", part.weight));
    }
    let state = match part.state() {
        StatePart::Starting => AgentState::Starting,
        StatePart::Ready => AgentState::Ready,
        StatePart::Draining => AgentState::Draining,
        StatePart::Leaving => AgentState::Leaving,
        StatePart::Down => AgentState::Down,
        StatePart::Unspecified => return Err(MessageError::new("agent.state", part.state)),
    };
    let agent = Agent {
        name: it.name.clone(),
        place,
        pool: part.pool.clone(),
        data: parse_address("agent.data", &part.data)?,
        control,
        weight: part.weight,
        slots: part.slots,
        connections: part.connections,
        state,
    };
    Ok(record::Role::Agent { agent, homes: part.homes.clone() })
}

fn parse_balancer(
    it: &MemberPart,
    part: &BalancerPart,
    place: Place,
    control: SocketAddr,
) -> Result<record::Role, MessageError> {
    let state = match part.state() {
        StatePart::Ready => BalancerState::Ready,
        StatePart::Leaving => BalancerState::Leaving,
        StatePart::Down => BalancerState::Down,
        StatePart::Unspecified | StatePart::Starting | StatePart::Draining => {
            return Err(MessageError::new("balancer.state", part.state));
        }
    };
    let lease = match part.lease {
        Some(it) => Some(u8::try_from(it).map_err(|e| MessageError::new("balancer.lease", e))?),
        None => None,
    };
    let balancer = Balancer { name: it.name.clone(), place, control, state };
    Ok(record::Role::Balancer { balancer, lease })
}

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, MessageError> {
    text.parse().map_err(|e| MessageError::new(field, format!("{text:?}: {e}")))
}

fn agent_state(it: AgentState) -> StatePart {
    match it {
        AgentState::Starting => StatePart::Starting,
        AgentState::Ready => StatePart::Ready,
        AgentState::Draining => StatePart::Draining,
        AgentState::Leaving => StatePart::Leaving,
        AgentState::Down => StatePart::Down,
    }
}

fn balancer_state(it: BalancerState) -> StatePart {
    match it {
        BalancerState::Ready => StatePart::Ready,
        BalancerState::Leaving => StatePart::Leaving,
        BalancerState::Down => StatePart::Down,
    }
}
