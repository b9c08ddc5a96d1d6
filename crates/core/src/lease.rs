//! Leases stored in the platform: when to acquire, renew and release one, and until when it is held.
//!
//! A lease is one object. Every write is conditional on the version it was based on, so a write by a former holder
//! fails. An observer regards a lease as expired when its version has not changed for [`EXPIRE_MS`], measured by the
//! observer's own clock since it first read that version. The holder uses the shorter [`HOLD_MS`], measured from before
//! it sent its last successful write. It therefore stops before another process may acquire the lease, even after a
//! pause.

use std::collections::VecDeque;

use crate::invariant::{Invariant, check};

/// Number of leases per zone.
pub const LEASES: u8 = 2;
/// Interval between renewals, in milliseconds.
pub const RENEW_MS: u64 = 3_000;
/// Time for which a successful write entitles the holder to the lease, in milliseconds.
pub const HOLD_MS: u64 = 7_000;
/// Time without a new version after which a lease has expired, in milliseconds.
pub const EXPIRE_MS: u64 = 10_000;
/// Number of former terms remembered per lease.
const MAX_FORMER_TERMS: usize = 8;

/// One term of a holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Term {
    /// Name of the holder; empty after a release.
    pub holder: String,
    /// When the holder acquired the lease, in milliseconds since 1970.
    pub taken_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct LeaseState {
    /// Version last read; 0 if there was no object.
    version: u64,
    /// When this version was first read; `None` before the first read.
    first_seen_ms: Option<u64>,
    term: Term,
    former_terms: VecDeque<Term>,
    /// When a restore of the platform from a backup was detected.
    reset_ms: Option<u64>,
}

impl LeaseState {
    /// Records what was read; false if a former holder wrote again.
    fn observe(&mut self, now_ms: u64, version: u64, term: Term) -> bool {
        let deleted = version == 0 && self.version != 0;
        if self.first_seen_ms.is_some() && version <= self.version && !deleted {
            return true;
        }
        let by_former_holder = self.former_terms.contains(&term);
        if self.term != term && !self.term.holder.is_empty() {
            self.former_terms.push_back(std::mem::take(&mut self.term));
            let excess = self.former_terms.len().saturating_sub(MAX_FORMER_TERMS);
            self.former_terms.drain(..excess);
        }
        self.version = version;
        self.first_seen_ms = Some(now_ms);
        self.term = term;
        check(Invariant::LeaseHeld, !by_former_holder)
    }
}

/// A conditional write to a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the lease.
    pub number: u8,
    /// Version that must be stored for the write to succeed; 0 creates the object.
    pub base: u64,
    /// The term to write.
    pub term: Term,
    /// Start of the write, by the monotonic clock.
    begun_ms: u64,
}

#[derive(Clone, Debug)]
struct Held {
    number: u8,
    term: Term,
    until_ms: u64,
}

/// Acquires and holds at most one of a zone's leases for a process.
#[derive(Clone, Debug)]
pub struct Keeper {
    name: String,
    leases: [LeaseState; LEASES as usize],
    held: Option<Held>,
}

impl Keeper {
    /// Creates the keeper of the process `name`, which holds no lease yet.
    pub fn new(name: &str) -> Keeper {
        Keeper { name: name.to_owned(), leases: Default::default(), held: None }
    }

    /// Number of the lease that is currently held.
    pub fn holds(&self, now_ms: u64) -> Option<u8> {
        self.held.as_ref().filter(|it| now_ms < it.until_ms).map(|it| it.number)
    }

    /// Number of the lease that is held, or that lapsed without a known new holder.
    pub fn last(&self) -> Option<u8> {
        self.held.as_ref().map(|it| it.number)
    }

    /// Records the state read of a lease; version 0 means that the object does not exist. Returns false if a former
    /// holder wrote again.
    pub fn observe(&mut self, now_ms: u64, number: u8, version: u64, term: Term) -> bool {
        let Some(lease) = self.leases.get_mut(usize::from(number)) else {
            return true;
        };
        let intact = lease.observe(now_ms, version, term);
        let lost = |it: &Held| it.number == number && it.term != lease.term;
        if self.held.as_ref().is_some_and(lost) {
            self.held = None;
        }
        intact
    }

    /// Handles a restore of the platform from a backup, which may lack recent lease writes. A holder may rely on such a
    /// write for up to [`HOLD_MS`], so no lease is free before [`EXPIRE_MS`] has passed. Former holders may reappear.
    pub fn reset(&mut self, now_ms: u64) {
        for lease in &mut self.leases {
            lease.former_terms.clear();
            lease.reset_ms = Some(now_ms);
        }
    }

    /// Returns the write that acquires a free lease; `None` if a lease is held or none is free.
    pub fn take(&self, now_ms: u64, wall_ms: u64) -> Option<Attempt> {
        if self.holds(now_ms).is_some() {
            return None;
        }
        let free = (0..LEASES).find(|it| self.is_free(now_ms, *it))?;
        Some(self.attempt(now_ms, free, Term { holder: self.name.clone(), taken_ms: wall_ms }))
    }

    fn is_free(&self, now_ms: u64, number: u8) -> bool {
        let lease = &self.leases[usize::from(number)];
        let Some(first_seen) = lease.first_seen_ms else {
            return false;
        };
        if lease.reset_ms.is_some_and(|it| now_ms.saturating_sub(it) < EXPIRE_MS) {
            return false;
        }
        let own = self.held.as_ref().is_some_and(|it| it.number == number);
        own || lease.term.holder.is_empty() || now_ms.saturating_sub(first_seen) >= EXPIRE_MS
    }

    /// Returns the write that renews the held lease; `None` after it lapsed, so that it must be acquired again.
    pub fn renew(&self, now_ms: u64) -> Option<Attempt> {
        let number = self.holds(now_ms)?;
        let held = self.held.as_ref()?;
        Some(self.attempt(now_ms, number, held.term.clone()))
    }

    /// Returns the write that releases the held lease.
    pub fn release(&self, now_ms: u64) -> Option<Attempt> {
        let number = self.holds(now_ms)?;
        Some(self.attempt(now_ms, number, Term::default()))
    }

    fn attempt(&self, now_ms: u64, number: u8, term: Term) -> Attempt {
        let base = self.leases[usize::from(number)].version;
        Attempt { number, base, term, begun_ms: now_ms }
    }

    /// Records that a write succeeded and stored `version`. After a write that failed or whose outcome is unknown, read
    /// the lease and pass the result to [`Keeper::observe`].
    pub fn written(&mut self, now_ms: u64, attempt: &Attempt, version: u64) -> bool {
        let lease = &mut self.leases[usize::from(attempt.number)];
        let version_matches = check(Invariant::LeaseHeld, lease.version == attempt.base);
        let intact = lease.observe(now_ms, version, attempt.term.clone());
        let released = attempt.term.holder.is_empty();
        let until_ms = attempt.begun_ms + HOLD_MS;
        let held = Held { number: attempt.number, term: attempt.term.clone(), until_ms };
        self.held = (!released).then_some(held);
        version_matches && intact
    }
}
