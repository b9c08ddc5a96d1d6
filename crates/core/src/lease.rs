//! Leases stored in the platform: when to acquire, renew and release one, and until when it is held.
//!
//! A lease is one object. Every write is conditional on the version it was based on, so a write by a former holder
//! fails. An observer regards a lease as expired when its version has not changed for [`LEASE_TIMEOUT_MS`], measured by
//! the observer's own clock since it first read that version. The holder uses the shorter [`HOLD_TIMEOUT_MS`], measured
//! from before it sent its last successful write. It therefore stops before another process may acquire the lease, even
//! after a pause.

use std::collections::VecDeque;

use crate::invariant::{Invariant, check};

/// Number of leases per zone.
pub const LEASES_PER_ZONE: u8 = 2;
/// Interval between renewals, in milliseconds.
pub const RENEW_INTERVAL_MS: u64 = 3_000;
/// Time for which a successful write entitles the holder to the lease, in milliseconds.
pub const HOLD_TIMEOUT_MS: u64 = 7_000;
/// Time without a new version after which a lease has expired, in milliseconds.
pub const LEASE_TIMEOUT_MS: u64 = 10_000;
/// Number of former terms remembered per lease.
const MAX_FORMER_TERMS: usize = 8;

/// One term of a holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseTerm {
    /// Name of the holder; empty after a release.
    pub holder: String,
    /// When the holder acquired the lease, in milliseconds since 1970.
    pub acquired_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct LeaseState {
    /// Version last read; 0 if there was no object.
    version: u64,
    /// When this version was first read; `None` before the first read.
    first_seen_ms: Option<u64>,
    term: LeaseTerm,
    former_terms: VecDeque<LeaseTerm>,
    /// When a reset of the platform was detected.
    reset_ms: Option<u64>,
}

impl LeaseState {
    /// Records what was read; false if a former holder wrote again.
    fn observe(&mut self, now_ms: u64, version: u64, term: LeaseTerm) -> bool {
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
pub struct LeaseWrite {
    /// Number of the lease.
    pub number: u8,
    /// Version that must be stored for the write to succeed; 0 creates the object.
    pub expected_version: u64,
    /// The term to write.
    pub term: LeaseTerm,
    /// Start of the write, by the monotonic clock.
    begun_ms: u64,
}

#[derive(Clone, Debug)]
struct Held {
    number: u8,
    term: LeaseTerm,
    until_ms: u64,
}

/// Acquires and holds at most one of a zone's leases for a process.
#[derive(Clone, Debug)]
pub struct LeaseClient {
    name: String,
    leases: [LeaseState; LEASES_PER_ZONE as usize],
    held: Option<Held>,
}

impl LeaseClient {
    /// Creates the client of the process `name`, which holds no lease yet.
    pub fn new(name: &str) -> LeaseClient {
        LeaseClient { name: name.to_owned(), leases: Default::default(), held: None }
    }

    /// Number of the lease that is currently held.
    pub fn holds(&self, now_ms: u64) -> Option<u8> {
        self.held.as_ref().filter(|it| now_ms < it.until_ms).map(|it| it.number)
    }

    /// Number of the lease that is held, or that lapsed without a known new holder.
    pub fn last_held(&self) -> Option<u8> {
        self.held.as_ref().map(|it| it.number)
    }

    /// Records the state read of a lease; version 0 means that the object does not exist. Returns false if a former
    /// holder wrote again.
    pub fn observe(&mut self, now_ms: u64, number: u8, version: u64, term: LeaseTerm) -> bool {
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

    /// Handles a reset of the platform to an older copy, which may lack recent lease writes. A holder may rely on such
    /// a write for up to [`HOLD_TIMEOUT_MS`], so no lease is free before [`LEASE_TIMEOUT_MS`] has passed. Former
    /// holders may reappear.
    pub fn handle_reset(&mut self, now_ms: u64) {
        for lease in &mut self.leases {
            lease.former_terms.clear();
            lease.reset_ms = Some(now_ms);
        }
    }

    /// Returns the write that acquires a free lease; `None` if a lease is held or none is free.
    pub fn try_acquire(&self, now_ms: u64, wall_ms: u64) -> Option<LeaseWrite> {
        if self.holds(now_ms).is_some() {
            return None;
        }
        let free = (0..LEASES_PER_ZONE).find(|it| self.is_free(now_ms, *it))?;
        Some(self.write(
            now_ms,
            free,
            LeaseTerm { holder: self.name.clone(), acquired_ms: wall_ms },
        ))
    }

    fn is_free(&self, now_ms: u64, number: u8) -> bool {
        let lease = &self.leases[usize::from(number)];
        let Some(first_seen) = lease.first_seen_ms else {
            return false;
        };
        if lease.reset_ms.is_some_and(|it| now_ms.saturating_sub(it) < LEASE_TIMEOUT_MS) {
            return false;
        }
        let own = self.held.as_ref().is_some_and(|it| it.number == number);
        own || lease.term.holder.is_empty() || now_ms.saturating_sub(first_seen) >= LEASE_TIMEOUT_MS
    }

    /// Returns the write that renews the held lease; `None` after it lapsed, so that it must be acquired again.
    pub fn renew(&self, now_ms: u64) -> Option<LeaseWrite> {
        let number = self.holds(now_ms)?;
        let held = self.held.as_ref()?;
        Some(self.write(now_ms, number, held.term.clone()))
    }

    /// Returns the write that releases the held lease.
    pub fn release(&self, now_ms: u64) -> Option<LeaseWrite> {
        let number = self.holds(now_ms)?;
        Some(self.write(now_ms, number, LeaseTerm::default()))
    }

    fn write(&self, now_ms: u64, number: u8, term: LeaseTerm) -> LeaseWrite {
        let expected_version = self.leases[usize::from(number)].version;
        LeaseWrite { number, expected_version, term, begun_ms: now_ms }
    }

    /// Records that a write succeeded and stored `version`. After a write that failed or whose outcome is unknown, read
    /// the lease and pass the result to [`LeaseClient::observe`].
    pub fn confirm_write(&mut self, now_ms: u64, write: &LeaseWrite, version: u64) -> bool {
        let lease = &mut self.leases[usize::from(write.number)];
        let version_matches = check(Invariant::LeaseHeld, lease.version == write.expected_version);
        let intact = lease.observe(now_ms, version, write.term.clone());
        let released = write.term.holder.is_empty();
        let until_ms = write.begun_ms + HOLD_TIMEOUT_MS;
        let held = Held { number: write.number, term: write.term.clone(), until_ms };
        self.held = (!released).then_some(held);
        version_matches && intact
    }
}
