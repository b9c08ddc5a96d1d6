//! Messages on the links between processes.
//!
//! A type with the suffix `Part` is the encoded form of the core type of the same name.

use std::fmt;

use prost::{Enumeration, Message, Oneof};
use thiserror::Error;

/// Protocol version; a process rejects a peer that uses another one.
pub const PROTOCOL_VERSION: u32 = 1;

/// A field that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("field {field}: {reason}")]
pub struct MessageError {
    /// Name of the field.
    pub field: &'static str,
    /// Why the field is rejected.
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
    /// The message.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<Body>,
}

/// Content of a frame.
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// First frame in each direction.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Periodic heartbeat.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Bucket hashes of the sender's records.
    #[prost(message, tag = "3")]
    Digest(Digest),
    /// Record versions in the buckets that differ.
    #[prost(message, tag = "4")]
    Summary(Summary),
    /// New or changed records.
    #[prost(message, tag = "5")]
    Update(Update),
    /// Pools whose agents the sender subscribes to.
    #[prost(message, tag = "6")]
    Subscription(Subscription),
    /// Status report of a balancer to the holder of its zone's lease.
    #[prost(message, tag = "7")]
    Report(Report),
    /// The sender closes a link that it no longer needs; it is still alive.
    #[prost(message, tag = "8")]
    Disconnect(Disconnect),
}

/// Purpose of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum Purpose {
    /// Missing or unknown.
    Unspecified = 0,
    /// Between balancers.
    Mesh = 1,
    /// From an agent to a balancer that monitors it.
    Agent = 2,
    /// Between agents, to forward requests.
    Handover = 3,
}

/// Timestamp of the hybrid logical clock.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Stamp {
    /// Milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub ms: u64,
    /// Orders events within one millisecond.
    #[prost(uint32, tag = "2")]
    pub counter: u32,
}

/// Handshake message that opens a link.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Protocol version of the sender; see [`PROTOCOL_VERSION`].
    #[prost(uint32, tag = "1")]
    pub protocol: u32,
    /// A [`Purpose`].
    #[prost(enumeration = "Purpose", tag = "2")]
    pub purpose: i32,
    /// Name of the sender.
    #[prost(string, tag = "3")]
    pub name: String,
    /// Incarnation of the sender.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Pools whose agents the sender subscribes to, if it is an agent.
    #[prost(string, repeated, tag = "5")]
    pub pools: Vec<String>,
}

/// Heartbeat with the values that change often.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// Hybrid logical clock of the sender.
    #[prost(message, optional, tag = "1")]
    pub stamp: Option<Stamp>,
    /// Configuration revision that the sender has applied.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// Number of open flows, if the sender is an agent.
    #[prost(uint32, tag = "3")]
    pub flows: u32,
    /// Number of slots in use, if the sender is an agent.
    #[prost(uint32, tag = "4")]
    pub busy_slots: u32,
    /// Whether the receiver is the balancer that reports the sender's status.
    #[prost(bool, tag = "5")]
    pub primary: bool,
    /// Timeline events, as JSON.
    #[prost(string, repeated, tag = "6")]
    pub events: Vec<String>,
    /// Key epochs of the sender's flows, one byte each, if the sender is an agent.
    #[prost(bytes = "vec", tag = "7")]
    pub key_epochs: Vec<u8>,
}

/// Revision up to which the sender's configuration is complete; see [`camphorwinch_core::record::Watermark`].
#[derive(Clone, PartialEq, Message)]
pub struct MarkPart {
    /// Revision up to which the sender holds all objects.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Highest revision confirmed by a full list of the platform.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// Sum of the hashes of all objects.
    #[prost(fixed64, tag = "3")]
    pub sum: u64,
    /// Objects deleted after `floor`; `spec` and `writer` are empty.
    #[prost(message, repeated, tag = "4")]
    pub deleted: Vec<ObjectPart>,
}

/// Hashes of the sender's records, to compare the records of two processes.
#[derive(Clone, PartialEq, Message)]
pub struct Digest {
    /// Hash of each bucket.
    #[prost(fixed64, repeated, tag = "1")]
    pub buckets: Vec<u64>,
}

/// Key and version of a record.
#[derive(Clone, PartialEq, Message)]
pub struct EntryPart {
    /// Kind of the object; empty if the record is a member.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Name of the object or member.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Revision of the object, or incarnation of the member.
    #[prost(uint64, tag = "3")]
    pub major: u64,
    /// Sequence number of the member's announcement; 0 for an object.
    #[prost(uint64, tag = "4")]
    pub minor: u64,
}

/// Record versions of the sender in the buckets that differ.
#[derive(Clone, PartialEq, Message)]
pub struct Summary {
    /// Indices of the buckets.
    #[prost(uint32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
    /// All records in these buckets.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<EntryPart>,
    /// Highest revision confirmed by a full list of the platform.
    #[prost(uint64, tag = "3")]
    pub floor: u64,
}

/// Records, with the revision up to which the sender is complete.
#[derive(Clone, PartialEq, Message)]
pub struct Update {
    /// Records to merge.
    #[prost(message, repeated, tag = "1")]
    pub records: Vec<RecordPart>,
    /// Revision up to which the sender is complete.
    #[prost(message, optional, tag = "2")]
    pub mark: Option<MarkPart>,
    /// Hybrid logical clock of the sender.
    #[prost(message, optional, tag = "3")]
    pub stamp: Option<Stamp>,
}

/// Last message on a link that is no longer needed.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Disconnect {}

/// Pools whose agents the sender subscribes to.
#[derive(Clone, PartialEq, Message)]
pub struct Subscription {
    /// Names of the pools.
    #[prost(string, repeated, tag = "1")]
    pub pools: Vec<String>,
}

/// A configuration object, its deletion, or a member.
#[derive(Clone, PartialEq, Message)]
pub struct RecordPart {
    /// Content of the record.
    #[prost(oneof = "Item", tags = "1, 2, 3")]
    pub item: Option<Item>,
}

/// Content of a record.
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

/// Configuration object.
#[derive(Clone, PartialEq, Message)]
pub struct ObjectPart {
    /// Object kind.
    #[prost(string, tag = "1")]
    pub kind: String,
    /// Name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Platform revision of the last write, or of the deletion.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Identifier of the last writer.
    #[prost(string, tag = "4")]
    pub writer: String,
    /// Spec, as JSON.
    #[prost(string, tag = "5")]
    pub spec: String,
}

/// Announcement of a member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberPart {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// VM that the member runs on.
    #[prost(string, tag = "2")]
    pub vm: String,
    /// Availability zone.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Region.
    #[prost(string, tag = "4")]
    pub region: String,
    /// Address for control links.
    #[prost(string, tag = "5")]
    pub control: String,
    /// Start time of the process, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// Sequence number of the announcement.
    #[prost(uint64, tag = "7")]
    pub seq: u64,
    /// Time of the last state change, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "8")]
    pub since_ms: u64,
    /// Agent or balancer.
    #[prost(oneof = "RolePart", tags = "9, 10")]
    pub role: Option<RolePart>,
}

/// Role of a member.
#[derive(Clone, PartialEq, Oneof)]
pub enum RolePart {
    /// An agent.
    #[prost(message, tag = "9")]
    Agent(AgentPart),
    /// A balancer.
    #[prost(message, tag = "10")]
    Balancer(BalancerPart),
}

/// State of an agent or balancer; see [`camphorwinch_core::member::AgentState`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum StatePart {
    /// Missing or unknown.
    Unspecified = 0,
    /// Starting.
    Starting = 1,
    /// Ready.
    Ready = 2,
    /// Draining.
    Draining = 3,
    /// Leaving.
    Leaving = 4,
    /// Confirmed down.
    Down = 5,
    /// Not heard from, but not confirmed down.
    Silent = 6,
}

/// Fields of an agent.
#[derive(Clone, PartialEq, Message)]
pub struct AgentPart {
    /// Pool of its upstream.
    #[prost(string, tag = "1")]
    pub pool: String,
    /// Address for encapsulated packets.
    #[prost(string, tag = "2")]
    pub data: String,
    /// Relative share of new flows; at least 0.
    #[prost(double, tag = "3")]
    pub weight: f64,
    /// Number of requests that its upstream processes at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Maximum number of flows.
    #[prost(uint32, tag = "5")]
    pub connections: u32,
    /// A [`StatePart`].
    #[prost(enumeration = "StatePart", tag = "6")]
    pub state: i32,
    /// Names of the balancers that monitor it.
    #[prost(string, repeated, tag = "7")]
    pub balancers: Vec<String>,
}

/// Fields of a balancer.
#[derive(Clone, PartialEq, Message)]
pub struct BalancerPart {
    /// A [`StatePart`].
    #[prost(enumeration = "StatePart", tag = "1")]
    pub state: i32,
    /// Number of the zone lease that it holds.
    #[prost(uint32, optional, tag = "2")]
    pub lease: Option<u32>,
}

/// Status report of a balancer.
#[derive(Clone, PartialEq, Message)]
pub struct Report {
    /// Configuration revision that the balancer has applied.
    #[prost(uint64, tag = "1")]
    pub applied: u64,
    /// Status of the agents that it is responsible for.
    #[prost(message, repeated, tag = "2")]
    pub agents: Vec<AgentReport>,
    /// Timeline events, as JSON.
    #[prost(string, repeated, tag = "3")]
    pub events: Vec<String>,
}

/// Status of an agent.
#[derive(Clone, PartialEq, Message)]
pub struct AgentReport {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Configuration revision that the agent has applied.
    #[prost(uint64, tag = "2")]
    pub applied: u64,
    /// Number of open flows.
    #[prost(uint32, tag = "3")]
    pub flows: u32,
    /// Number of slots in use.
    #[prost(uint32, tag = "4")]
    pub busy_slots: u32,
    /// Key epochs of its flows, one byte each.
    #[prost(bytes = "vec", tag = "5")]
    pub key_epochs: Vec<u8>,
}

impl Frame {
    /// Creates a frame with this message.
    pub fn new(body: Body) -> Frame {
        Frame { body: Some(body) }
    }

    /// Decodes a frame; fails if it is malformed or its message type is unknown.
    pub fn parse(bytes: &[u8]) -> Result<Body, MessageError> {
        let frame = Frame::decode(bytes).map_err(|e| MessageError::new("frame", e))?;
        frame.body.ok_or_else(|| MessageError::new("body", "missing or of an unknown type"))
    }
}
