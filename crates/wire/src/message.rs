//! Messages between processes.

use std::fmt;

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
    pub(crate) fn new<R>(field: &'static str, reason: R) -> MessageError
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
#[derive(Clone, PartialEq, Message)]
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
    /// Deletions after the floor; `spec` and `writer` are empty.
    #[prost(message, repeated, tag = "4")]
    pub deleted: Vec<ObjectPart>,
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
    /// Silent.
    Silent = 6,
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
