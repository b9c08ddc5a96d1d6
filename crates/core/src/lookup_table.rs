//! Maglev lookup table from a hash to a few members of a pool, with constant lookup time.
//!
//! The table is filled as in Maglev (Eisenbud et al., NSDI 2016): every member has its own permutation of the entries
//! and in each turn takes the next free ones. Shares are exact to one entry, and a membership change moves few entries.
//! Equal members and weights give the same table on every machine, as no transcendental function is used.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::{candidates::MAX_CANDIDATES, split_mix::mix};

const ENTRIES_PER_MEMBER: usize = 128;
const MIN_ENTRIES: usize = 1_024;
const MAX_ENTRIES: usize = 1 << 20;
/// Members beyond this number get no entry.
const MAX_MEMBERS: usize = u16::MAX as usize;
/// Number of turns in which members take their shares, so that they fill the table in parallel.
const FILL_ROUNDS: usize = 64;
/// Number of hashed lookups before distinct members are searched in order.
const MAX_LOOKUPS: usize = 8;
const FREE_ENTRY: u16 = u16::MAX;

/// A member of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member<'a> {
    /// Name; determines the member's permutation.
    pub name: &'a str,
    /// Weight relative to the other members.
    pub weight: f64,
}

/// The lookup table. Members are numbered by their position in the input list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupTable {
    entries: Box<[u16]>,
    count: usize,
}

/// Distinct members picked for a hash, best first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Picks {
    members: [u16; MAX_CANDIDATES],
    len: usize,
}

impl Picks {
    /// Numbers of the members, best first.
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

impl LookupTable {
    /// Builds the table for `members`. Weights must be finite and not negative; a member with weight 0 gets no entry.
    pub fn new(members: &[Member<'_>]) -> LookupTable {
        let members = &members[..members.len().min(MAX_MEMBERS)];
        let weights: Vec<f64> = members.iter().map(|it| it.weight).collect();
        let total: f64 = weights.iter().sum();
        if total <= 0.0 {
            return LookupTable { entries: Box::default(), count: 0 };
        }
        let size = (members.len() * ENTRIES_PER_MEMBER).clamp(MIN_ENTRIES, MAX_ENTRIES);
        let size = size.next_power_of_two();
        let shares = shares(&weights, total, size);
        let mut permutations: Vec<Permutation> =
            members.iter().map(|it| Permutation::new(it.name, size)).collect();
        let mut entries = vec![FREE_ENTRY; size].into_boxed_slice();
        for round in 1..=FILL_ROUNDS {
            for (at, permutation) in permutations.iter_mut().enumerate() {
                let target = (shares[at] * round).div_ceil(FILL_ROUNDS);
                while permutation.taken < target {
                    permutation.take(at as u16, &mut entries);
                }
            }
        }
        LookupTable { entries, count: members.len() }
    }

    /// Whether the table has no members.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Size of the table in bytes.
    pub fn bytes(&self) -> usize {
        size_of_val(&*self.entries)
    }

    /// Number of entries of each member.
    pub fn counts(&self) -> Vec<usize> {
        let mut counts = vec![0; self.count];
        for &member in &self.entries {
            counts[usize::from(member)] += 1;
        }
        counts
    }

    /// The member at entry `at`, modulo the table size.
    #[inline]
    pub fn member(&self, at: u64) -> Option<u16> {
        let mask = (self.entries.len() as u64).wrapping_sub(1);
        self.entries.get((at & mask) as usize).copied()
    }

    /// Picks up to three distinct members for `hash`. The second and third are independent of the first, so flows that
    /// a full member forwards spread over all others.
    #[inline]
    pub fn pick(&self, hash: u64) -> Picks {
        let mut picks = Picks::default();
        let want = self.count.min(MAX_CANDIDATES);
        let mut at = hash;
        for _ in 0..MAX_LOOKUPS {
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

    // Adds members in order if hashed lookups find too few, as with few members or very unequal weights.
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

/// Number of entries of each member, proportional to its weight; rounded by the largest remainder method.
fn shares(weights: &[f64], total: f64, size: usize) -> Vec<usize> {
    let exact: Vec<f64> = weights.iter().map(|it| it / total * size as f64).collect();
    let mut shares: Vec<usize> = exact.iter().map(|it| it.floor() as usize).collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    let remainder = |at: &usize| exact[*at] - exact[*at].floor();
    order.sort_by(|a, b| remainder(b).total_cmp(&remainder(a)));
    let remaining = size.saturating_sub(shares.iter().sum());
    for &at in order.iter().cycle().take(remaining) {
        shares[at] += 1;
    }
    shares
}

/// A member's permutation of the entries: an odd step visits each entry of a power-of-two table once.
struct Permutation {
    next: usize,
    step: usize,
    taken: usize,
}

impl Permutation {
    fn new(name: &str, size: usize) -> Permutation {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        let hash = hasher.finish();
        let step = (mix(hash) as usize) | 1;
        Permutation { next: hash as usize & (size - 1), step: step & (size - 1), taken: 0 }
    }

    fn take(&mut self, member: u16, entries: &mut [u16]) {
        let mask = entries.len() - 1;
        while entries[self.next] != FREE_ENTRY {
            self.next = (self.next + self.step) & mask;
        }
        entries[self.next] = member;
        self.taken += 1;
    }
}
