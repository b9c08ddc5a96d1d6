//! Queue of requests that wait for a slot, in the order in which they are served.
//!
//! Requests that can still meet their latency objective go first, earliest deadline first. Those that will miss it
//! follow, newest first, as the newest has the longest time left to its timeout.

use std::{cmp::Reverse, collections::BTreeMap, hash::Hash};

use rustc_hash::FxHashMap;

use super::route::Objective;

/// Class of a request; lower ones go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Class {
    /// Whether the request exceeds the usual share of its route.
    pub beyond_share: bool,
    /// Priority of its route; 0 is the highest.
    pub priority: u8,
}

impl Class {
    pub(super) const FIRST: Class = Class { beyond_share: false, priority: 0 };
    pub(super) const LAST: Class = Class { beyond_share: true, priority: u8::MAX };
}

/// Order in which requests are served, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// The request can meet its latency objective.
    InTime {
        /// Its class.
        class: Class,
        /// Time at which its objective ends.
        due_ms: u64,
    },
    /// The request will miss its objective, or has none.
    Late {
        /// Its class.
        class: Class,
        /// Time at which its caller issued it.
        issued_ms: Reverse<u64>,
    },
}

impl Rank {
    /// Whether the request is late, and its class: the rank without the order among similar requests.
    pub fn group(&self) -> (bool, Class) {
        match *self {
            Rank::InTime { class, .. } => (false, class),
            Rank::Late { class, .. } => (true, class),
        }
    }
}

/// What the rank of a request depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Its class.
    pub class: Class,
    /// Time at which its caller issued it.
    pub issued_ms: u64,
    /// Time at which its objective ends; none if it has no objective.
    pub due_ms: Option<u64>,
}

impl Terms {
    /// Terms of a request that its caller issued at `issued_ms`. A request without an objective has the lowest priority.
    pub fn new(objective: Option<Objective>, issued_ms: u64, beyond_share: bool) -> Terms {
        let priority = objective.map_or(u8::MAX, |it| it.priority);
        Terms {
            class: Class { beyond_share, priority },
            issued_ms,
            due_ms: objective.map(|it| issued_ms + u64::from(it.latency_ms)),
        }
    }

    /// Rank of the request, if served now it ends at `end_ms`.
    pub fn rank(&self, end_ms: u64) -> Rank {
        let class = self.class;
        match self.due_ms.filter(|&it| it >= end_ms) {
            Some(due_ms) => Rank::InTime { class, due_ms },
            None => Rank::Late { class, issued_ms: Reverse(self.issued_ms) },
        }
    }
}

#[derive(Clone, Debug)]
struct Group<K> {
    /// Entries that could meet their objective when last checked, by due time and sequence number.
    in_time: BTreeMap<(u64, u64), K>,
    /// The others, by issue time and sequence number.
    late: BTreeMap<(Reverse<u64>, u64), K>,
}

impl<K> Default for Group<K> {
    fn default() -> Group<K> {
        Group { in_time: BTreeMap::new(), late: BTreeMap::new() }
    }
}

/// A queue ordered by [`Rank`]. All operations take logarithmic time.
#[derive(Clone, Debug)]
pub struct RankedQueue<K> {
    groups: BTreeMap<Class, Group<K>>,
    terms: FxHashMap<K, (Terms, u64)>,
    next_seq: u64,
}

impl<K> Default for RankedQueue<K> {
    fn default() -> RankedQueue<K> {
        RankedQueue { groups: BTreeMap::new(), terms: FxHashMap::default(), next_seq: 0 }
    }
}

impl<K> RankedQueue<K>
where
    K: Copy + Eq + Hash,
{
    /// Number of entries.
    pub fn len(&self) -> usize {
        self.terms.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.terms.is_empty()
    }

    /// Whether the queue has this entry.
    pub fn contains(&self, key: &K) -> bool {
        self.terms.contains_key(key)
    }

    /// Adds an entry; replaces one with the same key.
    pub fn insert(&mut self, key: K, terms: Terms) {
        self.remove(&key);
        let seq = self.next_seq;
        self.next_seq += 1;
        self.terms.insert(key, (terms, seq));
        let group = self.groups.entry(terms.class).or_default();
        match terms.due_ms {
            Some(due_ms) => group.in_time.insert((due_ms, seq), key),
            None => group.late.insert((Reverse(terms.issued_ms), seq), key),
        };
    }

    /// Removes an entry and returns its terms.
    pub fn remove(&mut self, key: &K) -> Option<Terms> {
        let (terms, seq) = self.terms.remove(key)?;
        let group = self.groups.get_mut(&terms.class)?;
        let due_ms = terms.due_ms.unwrap_or_default();
        if group.in_time.remove(&(due_ms, seq)).is_none() {
            group.late.remove(&(Reverse(terms.issued_ms), seq));
        }
        if group.in_time.is_empty() && group.late.is_empty() {
            self.groups.remove(&terms.class);
        }
        Some(terms)
    }

    /// The entry to serve next, if an entry served now ends at `end_ms`.
    pub fn first(&mut self, end_ms: u64) -> Option<(Rank, K)> {
        self.demote(end_ms);
        let in_time = self.groups.iter().find_map(|(&class, group)| {
            let (&(due_ms, _), &key) = group.in_time.first_key_value()?;
            Some((Rank::InTime { class, due_ms }, key))
        });
        in_time.or_else(|| {
            self.groups.iter().find_map(|(&class, group)| {
                let (&(issued_ms, _), &key) = group.late.first_key_value()?;
                Some((Rank::Late { class, issued_ms }, key))
            })
        })
    }

    /// The entry to serve last, if an entry served now ends at `end_ms`.
    pub fn last(&mut self, end_ms: u64) -> Option<(Rank, K)> {
        self.demote(end_ms);
        let late = self.groups.iter().rev().find_map(|(&class, group)| {
            let (&(issued_ms, _), &key) = group.late.last_key_value()?;
            Some((Rank::Late { class, issued_ms }, key))
        });
        late.or_else(|| {
            self.groups.iter().rev().find_map(|(&class, group)| {
                let (&(due_ms, _), &key) = group.in_time.last_key_value()?;
                Some((Rank::InTime { class, due_ms }, key))
            })
        })
    }

    /// Moves entries that can no longer meet their objective behind those that can. An entry moves once, so the cost
    /// for each is logarithmic.
    fn demote(&mut self, end_ms: u64) {
        for group in self.groups.values_mut() {
            while let Some(entry) = group.in_time.first_entry() {
                if entry.key().0 >= end_ms {
                    break;
                }
                let ((_, seq), key) = entry.remove_entry();
                if let Some((terms, _)) = self.terms.get(&key) {
                    group.late.insert((Reverse(terms.issued_ms), seq), key);
                }
            }
        }
    }
}
