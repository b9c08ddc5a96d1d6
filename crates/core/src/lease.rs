//! Holding a lease in the platform: when to take it, when to renew it, and when it no longer counts as held.
//!
//! A lease is one object. Every write names the version it was based on, so that a write by a holder that was replaced
//! fails. A lease has expired for an observer when its version has not changed for [`EXPIRE_MS`] by the observer's own
//! clock, from the moment at which it first saw that version. A holder counts the shorter [`HOLD_MS`] from before it
//! sent its last write that took effect: it stops before anybody else may begin, however long it was paused.

use std::collections::VecDeque;

use crate::invariant::{Invariant, check};

/// Leases for each zone.
pub const LEASES: u8 = 2;
/// Time between renewals, in milliseconds.
pub const RENEW_MS: u64 = 3_000;
/// For how long a holder counts on a write, in milliseconds.
pub const HOLD_MS: u64 = 7_000;
/// After how long without a new version a lease has expired, in milliseconds.
pub const EXPIRE_MS: u64 = 10_000;
/// Former holders that are remembered for each lease.
const FORMER: usize = 8;

/// One term of a holder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Term {
    /// Name of the holder; empty when it gave the lease back.
    pub holder: String,
    /// When the holder took it, in milliseconds since 1970.
    pub taken_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Slot {
    /// Version last seen; 0 if there was no object.
    version: u64,
    /// When this version was first seen; `None` if nothing was read yet.
    since_ms: Option<u64>,
    term: Term,
    former: VecDeque<Term>,
    /// When it was seen that the platform had come back from a copy.
    reset_ms: Option<u64>,
}

impl Slot {
    /// Takes in what was read; false if a holder that had been replaced wrote again.
    fn observe(&mut self, now_ms: u64, version: u64, term: Term) -> bool {
        let deleted = version == 0 && self.version != 0;
        if self.since_ms.is_some() && version <= self.version && !deleted {
            return true;
        }
        let stale = self.former.contains(&term);
        if self.term != term && !self.term.holder.is_empty() {
            self.former.push_back(std::mem::take(&mut self.term));
            let excess = self.former.len().saturating_sub(FORMER);
            self.former.drain(..excess);
        }
        self.version = version;
        self.since_ms = Some(now_ms);
        self.term = term;
        check(Invariant::LeaseHeld, !stale)
    }
}

/// A write to a lease that is about to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the lease.
    pub number: u8,
    /// Version that the write is based on; 0 creates the object.
    pub base: u64,
    /// The term that it writes.
    pub term: Term,
    /// When it was begun, by the clock that does not jump.
    begun_ms: u64,
}

#[derive(Clone, Debug)]
struct Held {
    number: u8,
    term: Term,
    until_ms: u64,
}

/// Keeps at most one of a zone's leases for one process.
#[derive(Clone, Debug)]
pub struct Keeper {
    name: String,
    slots: [Slot; LEASES as usize],
    held: Option<Held>,
}

impl Keeper {
    /// A keeper for the process `name`, which holds nothing yet.
    pub fn new(name: &str) -> Keeper {
        Keeper { name: name.to_owned(), slots: Default::default(), held: None }
    }

    /// Number of the lease that is held now.
    pub fn holds(&self, now_ms: u64) -> Option<u8> {
        self.held.as_ref().filter(|it| now_ms < it.until_ms).map(|it| it.number)
    }

    /// Number of the lease that is held, or that lapsed without anybody being known to have taken it.
    pub fn last(&self) -> Option<u8> {
        self.held.as_ref().map(|it| it.number)
    }

    /// Takes in what was read of a lease; version 0 means that there is no such object.
    pub fn observe(&mut self, now_ms: u64, number: u8, version: u64, term: Term) -> bool {
        let Some(slot) = self.slots.get_mut(usize::from(number)) else {
            return true;
        };
        let intact = slot.observe(now_ms, version, term);
        let lost = |it: &Held| it.number == number && it.term != slot.term;
        if self.held.as_ref().is_some_and(lost) {
            self.held = None;
        }
        intact
    }

    /// The platform came back from a copy, which may lack the last writes of leases. Whoever holds one by such a write counts on
    /// it for [`HOLD_MS`] more, so none is free before [`EXPIRE_MS`] passed; and former holders may stand there again.
    pub fn reset(&mut self, now_ms: u64) {
        for slot in &mut self.slots {
            slot.former.clear();
            slot.reset_ms = Some(now_ms);
        }
    }

    /// Whether a lease may be taken now; `None` if a lease is held or none is free.
    pub fn take(&self, now_ms: u64, wall_ms: u64) -> Option<Attempt> {
        if self.holds(now_ms).is_some() {
            return None;
        }
        let free = (0..LEASES).find(|it| self.is_free(now_ms, *it))?;
        Some(self.attempt(now_ms, free, Term { holder: self.name.clone(), taken_ms: wall_ms }))
    }

    fn is_free(&self, now_ms: u64, number: u8) -> bool {
        let slot = &self.slots[usize::from(number)];
        let Some(since) = slot.since_ms else {
            return false;
        };
        if slot.reset_ms.is_some_and(|it| now_ms.saturating_sub(it) < EXPIRE_MS) {
            return false;
        }
        let own = self.held.as_ref().is_some_and(|it| it.number == number);
        own || slot.term.holder.is_empty() || now_ms.saturating_sub(since) >= EXPIRE_MS
    }

    /// The next write of the lease that is held; `None` once it lapsed: then it must be read and taken again.
    pub fn renew(&self, now_ms: u64) -> Option<Attempt> {
        let number = self.holds(now_ms)?;
        let held = self.held.as_ref()?;
        Some(self.attempt(now_ms, number, held.term.clone()))
    }

    /// The write that gives the lease back.
    pub fn release(&self, now_ms: u64) -> Option<Attempt> {
        let number = self.holds(now_ms)?;
        Some(self.attempt(now_ms, number, Term::default()))
    }

    fn attempt(&self, now_ms: u64, number: u8, term: Term) -> Attempt {
        let base = self.slots[usize::from(number)].version;
        Attempt { number, base, term, begun_ms: now_ms }
    }

    /// Takes in that a write took effect, with this version. A write that failed, or whose outcome is not known, is
    /// followed by a read, whose result goes to [`Keeper::observe`].
    pub fn written(&mut self, now_ms: u64, attempt: &Attempt, version: u64) -> bool {
        let slot = &mut self.slots[usize::from(attempt.number)];
        let based = check(Invariant::LeaseHeld, slot.version == attempt.base);
        let intact = slot.observe(now_ms, version, attempt.term.clone());
        let released = attempt.term.holder.is_empty();
        let until_ms = attempt.begun_ms + HOLD_MS;
        let held = Held { number: attempt.number, term: attempt.term.clone(), until_ms };
        self.held = (!released).then_some(held);
        based && intact
    }
}
