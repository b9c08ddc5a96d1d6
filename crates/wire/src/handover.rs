//! Messages between agents: requests handed over, and claims on idempotency keys.
//!
//! One connection carries one exchange at a time. A request is handed over in two steps: after the offer the other
//! agent says whether it has a slot, and only at `Go` does it begin. If the connection breaks before `Go` is sent, the
//! request was not begun.

use std::sync::Arc;

use camphorwinch_core::{
    claims::{Answer, Claim, ClaimKey, State},
    object::ServiceId,
};
use prost::{Message, Oneof};
use thiserror::Error;

/// A message is not what the exchange allows, or does not hold what it must.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("message holds no valid {0}")]
pub struct HandoverError(pub &'static str);

/// A header field.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Field {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// Offers a request.
#[derive(Clone, PartialEq, Message)]
pub struct Offer {
    /// Number of the service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Number of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub request: Vec<u8>,
    /// Agents that it has passed through, the one that offers included.
    #[prost(uint32, tag = "3")]
    pub hop: u32,
    /// Milliseconds left until the caller's deadline; 0 without one.
    #[prost(uint64, tag = "4")]
    pub left_ms: u64,
    /// Method.
    #[prost(string, tag = "5")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "6")]
    pub path: String,
    /// Header fields.
    #[prost(message, repeated, tag = "7")]
    pub fields: Vec<Field>,
    /// Whether a body follows `Go`.
    #[prost(bool, tag = "8")]
    pub body: bool,
}

/// The agent has taken a slot for the request and waits for `Go`.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Taken {
    /// Share of its slots in use.
    #[prost(double, tag = "1")]
    pub load: f64,
}

/// The request was not begun and will not be.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Refused {
    /// Time after which it may be asked again.
    #[prost(uint64, tag = "1")]
    pub retry_ms: u64,
}

/// The request may begin.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Go {}

/// The upstream wants the body: from here on it need not be kept for another attempt.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Resume {}

/// Part of a body.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Chunk {
    /// Bytes.
    #[prost(bytes = "bytes", tag = "1")]
    pub data: bytes::Bytes,
    /// Whether it is the last part.
    #[prost(bool, tag = "2")]
    pub last: bool,
}

/// Head of the answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Head {
    /// Status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Header fields.
    #[prost(message, repeated, tag = "2")]
    pub fields: Vec<Field>,
    /// Name of the agent whose upstream answered.
    #[prost(string, tag = "3")]
    pub upstream: String,
}

/// The attempt broke off; the request may have been begun.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Lost {}

/// A claim on an idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimRecord {
    /// Number of the service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// The key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Number of the request, 16 bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub request: Vec<u8>,
    /// Digest of what was asked for.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
    /// Agent that claimed.
    #[prost(string, tag = "5")]
    pub by: String,
    /// State.
    #[prost(enumeration = "ClaimState", tag = "6")]
    pub state: i32,
    /// Answer, in state `Done`.
    #[prost(message, optional, tag = "7")]
    pub answer: Option<KeptAnswer>,
    /// For how long the key is remembered, in milliseconds.
    #[prost(uint64, tag = "8")]
    pub window_ms: u64,
}

/// State of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimState {
    /// The request may be running.
    Running = 0,
    /// It may have run; its answer is lost.
    Unknown = 1,
    /// It was answered.
    Done = 2,
    /// It was proven not to have run: the claim is given up.
    Released = 3,
}

/// A whole answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct KeptAnswer {
    /// Status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Header fields.
    #[prost(message, repeated, tag = "2")]
    pub fields: Vec<Field>,
    /// Body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
}

/// Reply to a claim.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimReply {
    /// Verdict.
    #[prost(enumeration = "ClaimVerdict", tag = "1")]
    pub verdict: i32,
    /// The claim that has the key, if it is taken.
    #[prost(message, optional, tag = "2")]
    pub holder: Option<ClaimRecord>,
}

/// Verdict on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimVerdict {
    /// No more claims are taken.
    Full = 0,
    /// Recorded.
    Granted = 1,
    /// Another request has the key.
    Taken = 2,
    /// The key was used for something else.
    Mismatch = 3,
    /// An earlier claim on the key may have been forgotten.
    Doubtful = 4,
    /// The members changed lately, or are others by what the asked agent knows: all of them must be asked.
    Unsettled = 5,
}

/// What a claim message asks for.
#[derive(Clone, PartialEq, Message)]
pub struct ClaimCall {
    /// The claim.
    #[prost(message, optional, tag = "1")]
    pub record: Option<ClaimRecord>,
    /// Purpose.
    #[prost(enumeration = "ClaimPurpose", tag = "2")]
    pub purpose: i32,
    /// Digest of the members, if all of them are asked.
    #[prost(fixed64, optional, tag = "3")]
    pub members: Option<u64>,
    /// Members that died lately, for purpose `Losses`.
    #[prost(message, repeated, tag = "4")]
    pub losses: Vec<Loss>,
}

impl ClaimCall {
    /// A message about one claim.
    pub fn new(purpose: ClaimPurpose, record: ClaimRecord) -> ClaimCall {
        ClaimCall { record: Some(record), purpose: purpose as i32, ..ClaimCall::default() }
    }
}

/// A member of a service's pool that died, and its claims with it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Loss {
    /// Number of the service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Number of the process under the name.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Availability zone.
    #[prost(string, tag = "4")]
    pub zone: String,
    /// For how long it has been missed, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// Whether it was a member when the members were last settled.
    #[prost(bool, tag = "6")]
    pub old: bool,
}

/// Purpose of a claim message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ClaimPurpose {
    /// Claim a key.
    Claim = 0,
    /// Record what came of a claim.
    Settle = 1,
    /// Take over a claim from an agent that leaves.
    Adopt = 2,
    /// Take in what an agent that leaves knows of members that died.
    Losses = 3,
    /// Say whether the request is still open at the agent that claimed: `Granted` if so, `Mismatch` if not.
    Probe = 4,
}

/// One message.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Its kind.
    #[prost(oneof = "Kind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<Kind>,
}

/// Kind of a message.
#[derive(Clone, PartialEq, Oneof)]
pub enum Kind {
    /// An offer.
    #[prost(message, tag = "1")]
    Offer(Offer),
    /// A slot was taken.
    #[prost(message, tag = "2")]
    Taken(Taken),
    /// A refusal.
    #[prost(message, tag = "3")]
    Refused(Refused),
    /// Begin.
    #[prost(message, tag = "4")]
    Go(Go),
    /// Part of a body.
    #[prost(message, tag = "5")]
    Chunk(Chunk),
    /// Head of an answer.
    #[prost(message, tag = "6")]
    Head(Head),
    /// Broken off.
    #[prost(message, tag = "7")]
    Lost(Lost),
    /// A claim.
    #[prost(message, tag = "8")]
    Claim(ClaimCall),
    /// A reply to a claim.
    #[prost(message, tag = "9")]
    Reply(ClaimReply),
    /// The body is wanted.
    #[prost(message, tag = "10")]
    Resume(Resume),
}

impl Packet {
    /// Encodes a message.
    pub fn encoded(kind: Kind) -> bytes::Bytes {
        Packet { kind: Some(kind) }.encode_to_vec().into()
    }

    /// Decodes a message.
    pub fn decoded(frame: &[u8]) -> Result<Kind, HandoverError> {
        let packet = Packet::decode(frame).map_err(|_| HandoverError("packet"))?;
        packet.kind.ok_or(HandoverError("kind of packet"))
    }
}

/// Reads a request's number.
pub fn request_id(bytes: &[u8]) -> Result<u128, HandoverError> {
    let bytes: [u8; 16] = bytes.try_into().map_err(|_| HandoverError("request number"))?;
    Ok(u128::from_be_bytes(bytes))
}

impl ClaimRecord {
    /// Writes a claim.
    pub fn new(key: &ClaimKey, claim: &Claim) -> ClaimRecord {
        let (state, answer) = match &claim.state {
            State::Running => (ClaimState::Running, None),
            State::Unknown => (ClaimState::Unknown, None),
            State::Done(it) => (ClaimState::Done, Some(KeptAnswer::new(it))),
        };
        ClaimRecord {
            service: key.service.0,
            key: key.key.clone(),
            request: claim.request.to_be_bytes().to_vec(),
            digest: claim.digest,
            by: claim.by.clone(),
            state: state as i32,
            answer,
            window_ms: claim.window,
        }
    }

    /// The same claim, given up.
    pub fn with_release(mut self) -> ClaimRecord {
        self.state = ClaimState::Released as i32;
        self.answer = None;
        self
    }

    /// Reads the key.
    pub fn claim_key(&self) -> ClaimKey {
        ClaimKey { service: ServiceId(self.service), key: self.key.clone() }
    }

    /// Reads the claim; none if it is given up.
    pub fn claim(&self) -> Result<Option<Claim>, HandoverError> {
        let state = match ClaimState::try_from(self.state) {
            Ok(ClaimState::Released) => return Ok(None),
            Ok(ClaimState::Running) => State::Running,
            Ok(ClaimState::Unknown) => State::Unknown,
            Ok(ClaimState::Done) => {
                let answer = self.answer.as_ref().ok_or(HandoverError("answer of a claim"))?;
                State::Done(Arc::new(answer.answer()?))
            }
            Err(_) => return Err(HandoverError("state of a claim")),
        };
        Ok(Some(Claim {
            request: request_id(&self.request)?,
            digest: self.digest,
            by: self.by.clone(),
            state,
            window: self.window_ms,
        }))
    }
}

impl KeptAnswer {
    fn new(it: &Answer) -> KeptAnswer {
        let field =
            |(name, value): &(String, Vec<u8>)| Field { name: name.clone(), value: value.clone() };
        KeptAnswer {
            status: u32::from(it.status),
            fields: it.headers.iter().map(field).collect(),
            body: it.body.clone(),
        }
    }

    fn answer(&self) -> Result<Answer, HandoverError> {
        Ok(Answer {
            status: u16::try_from(self.status).map_err(|_| HandoverError("status"))?,
            headers: self.fields.iter().map(|it| (it.name.clone(), it.value.clone())).collect(),
            body: self.body.clone(),
        })
    }
}
