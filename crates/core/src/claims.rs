//! Claims on idempotency keys: the request that runs under a key, and its stored response.
//!
//! Before a request with a key runs, its claim must be recorded at the agents selected by the
//! [`Roster`](crate::roster::Roster), so that a second request under the key finds it. Claims are kept in memory only.
//! A leaving agent transfers its claims to the others.

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::Hasher,
    sync::Arc,
};

use siphasher::sip::SipHasher13;

use crate::{
    invariant::{self, Invariant},
    object::ServiceId,
};

/// Maximum size in bytes of a response that is stored for repeated requests.
pub const MAX_RESPONSE_BYTES: usize = 64 << 10;
/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 255;

const MAX_CLAIMS: usize = 200_000;
/// Limit on the total size of stored responses.
const MAX_STORED_BYTES: usize = 64 << 20;
/// A claim whose request was never resolved expires after this many key windows.
const UNSETTLED_WINDOWS: u64 = 4;

/// ID of a caller's request; the same for every attempt.
pub type RequestId = u128;

/// An idempotency key within a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// The service.
    pub service: ServiceId,
    /// The key sent by the caller.
    pub key: String,
}

impl ClaimKey {
    /// Sorts the names of `members` by rendezvous hashing; the first is the key's arbiter.
    pub fn order<'a, I>(&self, members: I) -> Vec<&'a str>
    where
        I: IntoIterator<Item = &'a str>,
    {
        let mut scored: Vec<(u64, &str)> =
            members.into_iter().map(|it| (self.score(it), it)).collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        scored.into_iter().map(|(_, name)| name).collect()
    }

    fn score(&self, member: &str) -> u64 {
        let mut hasher = SipHasher13::new();
        hasher.write_u32(self.service.0);
        hasher.write(self.key.as_bytes());
        hasher.write_u8(0xff);
        hasher.write(member.as_bytes());
        hasher.finish()
    }
}

/// A complete response, stored for repeated requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

impl RecordedResponse {
    fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// State of the request that claimed a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// It may be running.
    Running,
    /// It may have run; its response is not available.
    Unknown,
    /// It ran and returned this response.
    Done(Arc<RecordedResponse>),
}

impl RequestState {
    fn rank(&self) -> u8 {
        match self {
            RequestState::Running => 0,
            RequestState::Unknown => 1,
            RequestState::Done(_) => 2,
        }
    }
}

/// A claim on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The request that claimed the key.
    pub request: RequestId,
    /// Digest of the request content, to detect that a key is reused for a different request.
    pub digest: u64,
    /// Name of the agent that made the claim.
    pub agent: String,
    /// State of the request.
    pub state: RequestState,
    /// Retention time of the key, in milliseconds.
    pub window_ms: u64,
}

/// Result of claiming a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The key was free or is claimed by the same request, which may run.
    Granted,
    /// Another request has claimed the key.
    Conflict(Claim),
    /// The key was used for a request with different content.
    Mismatch,
    /// An earlier claim on the key may have been lost. Returned by agents that also check the roster.
    Uncertain,
    /// The members changed recently or differ from those of the claiming agent. Returned by agents that also check the
    /// roster.
    MembershipChanging,
    /// The claim limit is reached, or the agent is leaving.
    Full,
}

#[derive(Clone, Debug)]
struct Entry {
    claim: Claim,
    expires_ms: u64,
}

/// Claims stored by one agent.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    entries: BTreeMap<ClaimKey, Entry>,
    expiry: BTreeSet<(u64, ClaimKey)>,
    stored_bytes: usize,
    closed: bool,
}

impl Claims {
    /// Creates an empty store.
    pub fn new() -> Claims {
        Claims::default()
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Claims `key` for a request that has not run yet.
    pub fn claim(&mut self, key: &ClaimKey, claim: Claim, now: u64) -> ClaimResult {
        self.expire(now);
        if let Some(old) = self.entries.get(key) {
            return match &old.claim {
                it if it.request == claim.request && it.state == RequestState::Running => {
                    ClaimResult::Granted
                }
                it if it.digest != claim.digest => ClaimResult::Mismatch,
                it => ClaimResult::Conflict(it.clone()),
            };
        }
        if self.closed || self.entries.len() >= MAX_CLAIMS {
            return ClaimResult::Full;
        }
        self.insert(key, claim, now);
        ClaimResult::Granted
    }

    /// Records the final state of the request that claimed `key`.
    pub fn settle(&mut self, key: &ClaimKey, request: RequestId, state: RequestState, now: u64) {
        self.expire(now);
        let Some(old) = self.entries.get(key) else {
            return;
        };
        if old.claim.request != request || old.claim.state.rank() >= state.rank() {
            return;
        }
        let mut claim = old.claim.clone();
        claim.state = state;
        self.insert(key, claim, now);
    }

    /// Releases `key` because the request that claimed it has certainly not run.
    pub fn release(&mut self, key: &ClaimKey, request: RequestId) {
        let is_own =
            |it: &Entry| it.claim.request == request && it.claim.state == RequestState::Running;
        if self.entries.get(key).is_some_and(is_own) {
            self.remove(key);
        }
    }

    /// Imports a claim transferred by a leaving agent; the more definite state wins.
    pub fn import(&mut self, key: &ClaimKey, claim: Claim, now: u64) {
        self.expire(now);
        if let Some(old) = self.entries.get(key) {
            // Both requests ran under one key, so the claims were not checked against each other.
            let both_ran = old.claim.request != claim.request
                && matches!(
                    (&old.claim.state, &claim.state),
                    (RequestState::Done(_), RequestState::Done(_))
                );
            if !invariant::check(Invariant::RunOnce, !both_ran) {
                return;
            }
            if old.claim.state.rank() >= claim.state.rank() {
                return;
            }
        }
        self.insert(key, claim, now);
    }

    /// Removes expired claims.
    pub fn expire(&mut self, now: u64) {
        while let Some((at, key)) = self.expiry.first() {
            if *at > now {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }

    /// Stops accepting claims and returns the stored ones for transfer.
    pub fn close(&mut self) -> Vec<(ClaimKey, Claim)> {
        self.closed = true;
        self.entries.iter().map(|(key, it)| (key.clone(), it.claim.clone())).collect()
    }

    fn insert(&mut self, key: &ClaimKey, mut claim: Claim, now: u64) {
        self.remove(key);
        let size = response_bytes(&claim);
        if size > 0 && (size > MAX_RESPONSE_BYTES || self.stored_bytes + size > MAX_STORED_BYTES) {
            claim.state = RequestState::Unknown;
        }
        let ttl_ms = match claim.state {
            RequestState::Running => claim.window_ms.saturating_mul(UNSETTLED_WINDOWS),
            RequestState::Unknown | RequestState::Done(_) => claim.window_ms,
        };
        let expires_ms = now.saturating_add(ttl_ms);
        self.stored_bytes += response_bytes(&claim);
        self.expiry.insert((expires_ms, key.clone()));
        self.entries.insert(key.clone(), Entry { claim, expires_ms });
    }

    fn remove(&mut self, key: &ClaimKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.expiry.remove(&(entry.expires_ms, key.clone()));
        self.stored_bytes -= response_bytes(&entry.claim);
    }
}

fn response_bytes(claim: &Claim) -> usize {
    match &claim.state {
        RequestState::Done(response) => response.size(),
        RequestState::Running | RequestState::Unknown => 0,
    }
}
