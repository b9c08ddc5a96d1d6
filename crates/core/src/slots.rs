//! Lookup table from a hash to a few members of a pool, in constant time whatever the size of the pool.
//!
//! The table is filled as Maglev does it (Eisenbud et al., NSDI 2016): every member has a permutation of the slots of
//! its own and takes its next free slot when it is its turn. Shares are exact to one slot, a change of membership moves
//! few slots, and equal members and weights give the same table on every machine, as no transcendental function is
//! used.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::{candidates::MAX_CANDIDATES, split_mix::mix};

const SLOTS_PER_MEMBER: usize = 128;
const MIN_SLOTS: usize = 1_024;
const MAX_SLOTS: usize = 1 << 20;
/// Most members of one table; further ones get no slot.
const MAX_MEMBERS: usize = u16::MAX as usize;
/// Turns in which members take their shares, so that nobody has all of its slots before others begin.
const ROUNDS: usize = 64;
/// Lookups before the search for a further distinct member goes on in order.
const PROBES: usize = 8;
const FREE: u16 = u16::MAX;

/// A member of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member<'a> {
    /// Name, from which its permutation is derived.
    pub name: &'a str,
    /// Share relative to the other members.
    pub weight: f64,
}

/// The table. Members are numbered by their position in the list it was built from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slots {
    slots: Box<[u16]>,
    count: usize,
}

/// Distinct members picked for a hash, best first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Picks {
    members: [u16; MAX_CANDIDATES],
    len: usize,
}

impl Picks {
    /// The members' numbers, best first.
    #[inline]
    pub fn as_slice(&self) -> &[u16] {
        &self.members[..self.len]
    }

    #[inline]
    fn push(&mut self, member: u16) {
        if !self.as_slice().contains(&member) {
            self.members[self.len] = member;
            self.len += 1;
        }
    }
}

impl Slots {
    /// Fills a table for `members`. Weights must be finite and not negative; a member without weight gets no slot.
    pub fn new(members: &[Member<'_>]) -> Slots {
        let members = &members[..members.len().min(MAX_MEMBERS)];
        let weights: Vec<f64> = members.iter().map(|it| it.weight).collect();
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return Slots { slots: Box::default(), count: 0 };
        }
        let size = (members.len() * SLOTS_PER_MEMBER).clamp(MIN_SLOTS, MAX_SLOTS);
        let size = size.next_power_of_two();
        let shares = shares(&weights, total, size);
        let mut walks: Vec<Walk> = members.iter().map(|it| Walk::new(it.name, size)).collect();
        let mut slots = vec![FREE; size].into_boxed_slice();
        for round in 1..=ROUNDS {
            for (at, walk) in walks.iter_mut().enumerate() {
                let due = (shares[at] * round).div_ceil(ROUNDS);
                while walk.taken < due {
                    walk.take(at as u16, &mut slots);
                }
            }
        }
        Slots { slots, count: members.len() }
    }

    /// Whether no member can be picked.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Bytes that the table takes.
    pub fn bytes(&self) -> usize {
        size_of_val(&*self.slots)
    }

    /// Slots of each member.
    pub fn counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.count];
        for &member in &self.slots {
            counts[usize::from(member)] += 1;
        }
        counts
    }

    /// The member that has slot number `at`, counted round.
    #[inline]
    pub fn member(&self, at: u64) -> Option<u16> {
        let mask = (self.slots.len() as u64).wrapping_sub(1);
        self.slots.get((at & mask) as usize).copied()
    }

    /// Picks up to three distinct members for `hash`. The second and third don't depend on the first, so flows that a
    /// full member passes on spread over all others.
    #[inline]
    pub fn pick(&self, hash: u64) -> Picks {
        let mut picks = Picks::default();
        let want = self.count.min(MAX_CANDIDATES);
        let mut at = hash;
        for _ in 0..PROBES {
            let Some(member) = self.member(at) else {
                return picks;
            };
            picks.push(member);
            if picks.len == want {
                return picks;
            }
            at = mix(at);
        }
        self.fill(&mut picks, want);
        picks
    }

    // For few members or very unequal weights: goes on with the members in order.
    #[cold]
    fn fill(&self, picks: &mut Picks, want: usize) {
        let first = usize::from(picks.members[0]);
        for step in 1..self.count {
            if picks.len == want {
                return;
            }
            picks.push(((first + step) % self.count) as u16);
        }
    }
}

/// Number of slots of each member: in proportion to the weights, rounded by largest remainder.
fn shares(weights: &[f64], total: f64, size: usize) -> Vec<usize> {
    let exact: Vec<f64> = weights.iter().map(|it| it / total * size as f64).collect();
    let mut shares: Vec<usize> = exact.iter().map(|it| it.floor() as usize).collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    let rest = |at: &usize| exact[*at] - exact[*at].floor();
    order.sort_by(|a, b| rest(b).total_cmp(&rest(a)));
    let left = size.saturating_sub(shares.iter().sum());
    for &at in order.iter().cycle().take(left) {
        shares[at] += 1;
    }
    shares
}

/// A member's way through the slots: an odd step visits each slot of a power of two once.
struct Walk {
    next: usize,
    step: usize,
    taken: usize,
}

impl Walk {
    fn new(name: &str, size: usize) -> Walk {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        let hash = hasher.finish();
        let step = (mix(hash) as usize) | 1;
        Walk { next: hash as usize & (size - 1), step: step & (size - 1), taken: 0 }
    }

    fn take(&mut self, member: u16, slots: &mut [u16]) {
        let mask = slots.len() - 1;
        while slots[self.next] != FREE {
            self.next = (self.next + self.step) & mask;
        }
        slots[self.next] = member;
        self.taken += 1;
    }
}
