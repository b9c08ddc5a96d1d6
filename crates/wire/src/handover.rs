//! Messages between agents: forwarded requests, and claims on idempotency keys.
//!
//! One connection carries one exchange at a time. A request is forwarded in two phases: the receiver of an offer
//! reserves a slot, and starts the request only on the start message. If the connection breaks before that is sent, the
//! request was not started.

use std::sync::Arc;

use camphorwinch_core::{
    claims::{Claim, ClaimKey, RecordedResponse, RequestState},
    object::ServiceId,
};
use prost::{Message, Oneof};
use thiserror::Error;

/// Unexpected or malformed message, with the name of the invalid part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("invalid or missing {0} in message")]
pub struct HandoverError(pub &'static str);

/// HTTP header field.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeaderField {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// Offers a request to another agent.
#[derive(Clone, PartialEq, Message)]
pub struct Offer {
    /// Service ID.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Request ID, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub request: Vec<u8>,
    /// Number of agents that have handled the request, including the sender.
    #[prost(uint32, tag = "3")]
    pub hop: u32,
    /// Milliseconds until the caller's deadline; 0 without a deadline.
    #[prost(uint64, tag = "4")]
    pub remaining_ms: u64,
    /// HTTP method.
    #[prost(string, tag = "5")]
    pub method: String,
    /// Request path and query.
    #[prost(string, tag = "6")]
    pub path: String,
    /// Header fields.
    #[prost(message, repeated, tag = "7")]
    pub fields: Vec<HeaderField>,
    /// Whether a request body follows the start message.
    #[prost(bool, tag = "8")]
    pub body: bool,
}

/// The agent has reserved a slot for the request and waits for the start message.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Accepted {
    /// Fraction of its slots in use.
    #[prost(double, tag = "1")]
    pub load: f64,
}

/// The offer is rejected; the request was not started and won't be.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Rejected {
    /// Time after which the request may be offered again, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub retry_ms: u64,
}

/// Starts the offered request.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Start {}

/// The upstream requests the body (100 Continue): the sender need not buffer it for another attempt.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Continue {}

/// Part of a request or response body.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Chunk {
    /// Content.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: bytes::Bytes,
    /// Whether the body ends here.
    #[prost(bool, tag = "2")]
    pub last: bool,
}

/// Head of a response.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Head {
    /// HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Header fields.
    #[prost(message, repeated, tag = "2")]
    pub fields: Vec<HeaderField>,
    /// Name of the agent whose upstream responded.
    #[prost(string, tag = "3")]
    pub upstream: String,
}

/// The attempt was aborted; the request may have been started.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Aborted {}

/// Claim of a request on an idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimRecord {
    /// Service ID.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Idempotency key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Request ID, 16 bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub request: Vec<u8>,
    /// Digest of the request content.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    /// Name of the agent that made the claim.
    #[prost(string, tag = "5")]
    pub agent: String,
    /// A [`ClaimState`].
    #[prost(enumeration = "ClaimState", tag = "6")]
    pub state: i32,
    /// Response, in state `Done` only.
    #[prost(message, optional, tag = "7")]
    pub response: Option<StoredResponse>,
    /// Retention time of the key, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub window_ms: u64,
}

/// State of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    /// The request may be running.
    Running = 0,
    /// The request may have run; its response is lost.
    Unknown = 1,
    /// The request was answered.
    Done = 2,
    /// The request did not run; the claim is released.
    Released = 3,
}

/// Complete response, stored to be repeated.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct StoredResponse {
    /// HTTP status code.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Header fields.
    #[prost(message, repeated, tag = "2")]
    pub fields: Vec<HeaderField>,
    /// Body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// Reply to a claim message.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimReply {
    /// A [`ClaimVerdict`].
    #[prost(enumeration = "ClaimVerdict", tag = "1")]
    pub verdict: i32,
    /// The claim that holds the key, if it is taken.
    #[prost(message, optional, tag = "2")]
    pub holder: Option<ClaimRecord>,
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimVerdict {
    /// The agent has no room for more claims, or is leaving.
    Full = 0,
    /// The claim is recorded.
    Granted = 1,
    /// Another request holds the key.
    Conflict = 2,
    /// The key was used for a request with different content.
    Mismatch = 3,
    /// An earlier claim on the key may have been lost.
    Uncertain = 4,
    /// The membership changed recently, or differs at the queried agent: all members must be queried.
    MembershipChanging = 5,
}

/// Claim message.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimCall {
    /// The claim that the message is about.
    #[prost(message, optional, tag = "1")]
    pub record: Option<ClaimRecord>,
    /// A [`ClaimPurpose`].
    #[prost(enumeration = "ClaimPurpose", tag = "2")]
    pub purpose: i32,
    /// Digest of the membership, if all members are queried.
    #[prost(fixed64, optional, tag = "3")]
    pub members: Option<u64>,
    /// Members that failed recently, for purpose `FailedMembers`.
    #[prost(message, repeated, tag = "4")]
    pub failed_members: Vec<FailedMember>,
}

impl ClaimCall {
    /// Creates a message about one claim.
    pub fn new(purpose: ClaimPurpose, record: ClaimRecord) -> ClaimCall {
        ClaimCall { record: Some(record), purpose: purpose as i32, ..ClaimCall::default() }
    }
}

/// A failed member of a service's pool, whose claims are lost.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct FailedMember {
    /// Service ID.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Name of the agent.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Incarnation of the agent.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// Time since the failure, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// Whether it belonged to the last stable membership.
    #[prost(bool, tag = "6")]
    pub was_stable: bool,
}

/// Purpose of a claim message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimPurpose {
    /// Claim a key.
    Claim = 0,
    /// Record the result of a claimed request.
    Resolve = 1,
    /// Transfer a claim from a leaving agent.
    Transfer = 2,
    /// Transfer a leaving agent's list of failed members.
    FailedMembers = 3,
    /// Query whether the request is still open at the agent that made the claim: `Granted` if so, `Mismatch` if not.
    Probe = 4,
}

/// One message between agents.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Content of the message.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<Kind>,
}

/// Content of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Kind {
    /// Offers a request.
    #[prost(message, tag = "1")]
    Offer(Offer),
    /// Accepts an offer.
    #[prost(message, tag = "2")]
    Accepted(Accepted),
    /// Rejects an offer.
    #[prost(message, tag = "3")]
    Rejected(Rejected),
    /// Starts the offered request.
    #[prost(message, tag = "4")]
    Start(Start),
    /// Part of a body.
    #[prost(message, tag = "5")]
    Chunk(Chunk),
    /// Head of a response.
    #[prost(message, tag = "6")]
    Head(Head),
    /// Aborts the attempt.
    #[prost(message, tag = "7")]
    Aborted(Aborted),
    /// Claim message.
    #[prost(message, tag = "8")]
    Claim(ClaimCall),
    /// Reply to a claim message.
    #[prost(message, tag = "9")]
    Reply(ClaimReply),
    /// Requests the body.
    #[prost(message, tag = "10")]
    Continue(Continue),
}

impl Envelope {
    /// Encodes a message into a frame.
    pub fn to_frame(kind: Kind) -> bytes::Bytes {
        Envelope { kind: Some(kind) }.encode_to_vec().into()
    }

    /// Decodes a frame; fails if it is malformed or its kind is unknown.
    pub fn parse(frame: &[u8]) -> Result<Kind, HandoverError> {
        let packet = Envelope::decode(frame).map_err(|_| HandoverError("packet"))?;
        packet.kind.ok_or(HandoverError("message kind"))
    }
}

/// Parses a request ID; fails unless it has 16 bytes.
pub fn request_id(bytes: &[u8]) -> Result<u128, HandoverError> {
    let bytes: [u8; 16] = bytes.try_into().map_err(|_| HandoverError("request ID"))?;
    Ok(u128::from_be_bytes(bytes))
}

impl ClaimRecord {
    /// Converts a claim to its encoded form.
    pub fn new(key: &ClaimKey, claim: &Claim) -> ClaimRecord {
        let (state, answer) = match &claim.state {
            RequestState::Running => (ClaimState::Running, None),
            RequestState::Unknown => (ClaimState::Unknown, None),
            RequestState::Done(it) => (ClaimState::Done, Some(StoredResponse::new(it))),
        };
        ClaimRecord {
            service: key.service.0,
            key: key.key.clone(),
            request: claim.request.to_be_bytes().to_vec(),
            digest: claim.digest,
            agent: claim.agent.clone(),
            state: state as i32,
            response: answer,
            window_ms: claim.window_ms,
        }
    }

    /// Changes the state to `Released` and drops the response.
    pub fn into_released(mut self) -> ClaimRecord {
        self.state = ClaimState::Released as i32;
        self.response = None;
        self
    }

    /// Returns the service and its idempotency key.
    pub fn claim_key(&self) -> ClaimKey {
        ClaimKey { service: ServiceId(self.service), key: self.key.clone() }
    }

    /// Converts back to a claim; `None` if it is released.
    pub fn claim(&self) -> Result<Option<Claim>, HandoverError> {
        let state = match ClaimState::try_from(self.state) {
            Ok(ClaimState::Released) => return Ok(None),
            Ok(ClaimState::Running) => RequestState::Running,
            Ok(ClaimState::Unknown) => RequestState::Unknown,
            Ok(ClaimState::Done) => {
                let answer = self.response.as_ref().ok_or(HandoverError("claim response"))?;
                RequestState::Done(Arc::new(answer.to_answer()?))
            }
            Err(_) => return Err(HandoverError("claim state")),
        };
        Ok(Some(Claim {
            request: request_id(&self.request)?,
            digest: self.digest,
            agent: self.agent.clone(),
            state,
            window_ms: self.window_ms,
        }))
    }
}

impl StoredResponse {
    fn new(it: &RecordedResponse) -> StoredResponse {
        let field = |(name, value): &(String, Vec<u8>)| HeaderField {
            name: name.clone(),
            value: value.clone(),
        };
        StoredResponse {
            status: u32::from(it.status),
            fields: it.headers.iter().map(field).collect(),
            body: it.body.clone(),
        }
    }

    fn to_answer(&self) -> Result<RecordedResponse, HandoverError> {
        Ok(RecordedResponse {
            status: u16::try_from(self.status).map_err(|_| HandoverError("status"))?,
            headers: self.fields.iter().map(|it| (it.name.clone(), it.value.clone())).collect(),
            body: self.body.clone(),
        })
    }
}
