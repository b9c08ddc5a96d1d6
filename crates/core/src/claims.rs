//! Claims on idempotency keys: which request runs under a key, and what it was answered.
//!
//! Before a keyed request runs, the agents that the [`Roster`](crate::roster::Roster) names must have recorded its
//! claim; a second request under the key then finds it. Claims live in the agents' memory. An agent that leaves hands
//! its claims over.

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

/// Largest answer kept for a repeat.
pub const MAX_ANSWER: usize = 64 << 10;
/// Longest idempotency key.
pub const MAX_KEY: usize = 255;

/// Most claims that one agent keeps.
const MAX_CLAIMS: usize = 200_000;
/// Most bytes of answers that one agent keeps.
const MAX_BYTES: usize = 64 << 20;
/// A claim whose request never reported is kept this many times the key's window.
const UNSETTLED_FACTOR: u64 = 4;

/// Number of a caller's request; the same on every attempt.
pub type RequestId = u128;

/// An idempotency key within a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// The service.
    pub service: ServiceId,
    /// The key as the caller gave it.
    pub key: String,
}

impl ClaimKey {
    /// The names of `members` by rendezvous, the key's arbiter first.
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

/// A whole answer, kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status.
    pub status: u16,
    /// Header fields, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// What is known of the request that claimed a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// It may be running.
    Running,
    /// It may have run, and its answer is lost.
    Unknown,
    /// It ran and was answered so.
    Done(Arc<Answer>),
}

impl State {
    fn rank(&self) -> u8 {
        match self {
            State::Running => 0,
            State::Unknown => 1,
            State::Done(_) => 2,
        }
    }
}

/// A claim on a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The request that claimed the key.
    pub request: RequestId,
    /// Digest of what the caller asked for, so that a key used for something else is noticed.
    pub digest: u64,
    /// Name of the agent that claimed.
    pub by: String,
    /// State.
    pub state: State,
    /// For how long the key is remembered, in milliseconds.
    pub window: u64,
}

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claimed {
    /// The key was free, or is claimed by this same request: it may run.
    Granted,
    /// Another request has the key.
    Taken(Claim),
    /// The key was used for a request that asked for something else.
    Mismatch,
    /// An earlier claim on the key may have been forgotten; said by whoever asks the roster too.
    Doubtful,
    /// The members changed lately, or are others by what the asked agent knows; said by whoever asks the roster too.
    Unsettled,
    /// No room for another claim, or the agent leaves.
    Full,
}

#[derive(Clone, Debug)]
struct Entry {
    claim: Claim,
    expires: u64,
}

/// The claims that one agent remembers.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    entries: BTreeMap<ClaimKey, Entry>,
    expiry: BTreeSet<(u64, ClaimKey)>,
    bytes: usize,
    closed: bool,
}

impl Claims {
    /// No claims.
    pub fn new() -> Claims {
        Claims::default()
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Claims `key` for a request that has not run.
    pub fn claim(&mut self, key: &ClaimKey, claim: Claim, now: u64) -> Claimed {
        self.expire(now);
        if let Some(old) = self.entries.get(key) {
            return match &old.claim {
                it if it.request == claim.request && it.state == State::Running => Claimed::Granted,
                it if it.digest != claim.digest => Claimed::Mismatch,
                it => Claimed::Taken(it.clone()),
            };
        }
        if self.closed || self.entries.len() >= MAX_CLAIMS {
            return Claimed::Full;
        }
        self.insert(key, claim, now);
        Claimed::Granted
    }

    /// Records what came of the request that claimed `key`.
    pub fn settle(&mut self, key: &ClaimKey, request: RequestId, state: State, now: u64) {
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

    /// Gives `key` free: the request that claimed it was proven not to have run.
    pub fn release(&mut self, key: &ClaimKey, request: RequestId) {
        let mine = |it: &Entry| it.claim.request == request && it.claim.state == State::Running;
        if self.entries.get(key).is_some_and(mine) {
            self.remove(key);
        }
    }

    /// Takes in a claim that a leaving agent hands over. What is known more surely stays.
    pub fn adopt(&mut self, key: &ClaimKey, claim: Claim, now: u64) {
        self.expire(now);
        if let Some(old) = self.entries.get(key) {
            // Two requests that both ran under one key: their claims did not meet.
            let both = old.claim.request != claim.request
                && matches!((&old.claim.state, &claim.state), (State::Done(_), State::Done(_)));
            if !invariant::check(Invariant::RunOnce, !both) {
                return;
            }
            if old.claim.state.rank() >= claim.state.rank() {
                return;
            }
        }
        self.insert(key, claim, now);
    }

    /// Drops claims whose time is over.
    pub fn expire(&mut self, now: u64) {
        while let Some((at, key)) = self.expiry.first() {
            if *at > now {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
    }

    /// Takes no further claims, and returns those it holds, to be handed over.
    pub fn close(&mut self) -> Vec<(ClaimKey, Claim)> {
        self.closed = true;
        self.entries.iter().map(|(key, it)| (key.clone(), it.claim.clone())).collect()
    }

    fn insert(&mut self, key: &ClaimKey, mut claim: Claim, now: u64) {
        self.remove(key);
        let size = answer_size(&claim);
        if size > 0 && (size > MAX_ANSWER || self.bytes + size > MAX_BYTES) {
            claim.state = State::Unknown;
        }
        let kept = match claim.state {
            State::Running => claim.window.saturating_mul(UNSETTLED_FACTOR),
            State::Unknown | State::Done(_) => claim.window,
        };
        let expires = now.saturating_add(kept);
        self.bytes += answer_size(&claim);
        self.expiry.insert((expires, key.clone()));
        self.entries.insert(key.clone(), Entry { claim, expires });
    }

    fn remove(&mut self, key: &ClaimKey) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        self.expiry.remove(&(entry.expires, key.clone()));
        self.bytes -= answer_size(&entry.claim);
    }
}

fn answer_size(claim: &Claim) -> usize {
    match &claim.state {
        State::Done(answer) => answer.size(),
        State::Running | State::Unknown => 0,
    }
}
