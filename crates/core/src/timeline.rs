//! Events of all processes and the hybrid logical clock that orders them.
//!
//! The clock follows Kulkarni et al., "Logical Physical Clocks" (2014): a stamp stays near the wall clock, and an event
//! that depends on a message has a higher stamp than the sending of that message, however far the wall clocks differ.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Furthest that a received stamp may run ahead of the local wall clock, in milliseconds.
///
/// Without a bound, one process with a broken wall clock would carry every other clock into the future.
pub const MAX_AHEAD_MS: u64 = 60_000;

/// A point in time of the hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Milliseconds since 1970, never behind those of any event that this one depends on.
    pub ms: u64,
    /// Orders events of the same millisecond.
    pub counter: u32,
}

impl Stamp {
    fn next(self) -> Stamp {
        match self.counter.checked_add(1) {
            Some(counter) => Stamp { ms: self.ms, counter },
            None => Stamp { ms: self.ms.saturating_add(1), counter: 0 },
        }
    }
}

/// Hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct Hlc {
    last: Stamp,
}

impl Hlc {
    /// A clock that has seen nothing.
    pub const fn new() -> Hlc {
        Hlc { last: Stamp { ms: 0, counter: 0 } }
    }

    /// Stamp for a local event or for a message about to be sent. Each call returns a higher stamp than the one before.
    pub fn tick(&mut self, now_ms: u64) -> Stamp {
        let wall = Stamp { ms: now_ms, counter: 0 };
        self.last = if wall > self.last { wall } else { self.last.next() };
        self.last
    }

    /// Takes in the stamp of a received message; later ticks are higher than it.
    ///
    /// A stamp more than [`MAX_AHEAD_MS`] ahead of `now_ms` is not taken in, and the answer is false.
    pub fn observe(&mut self, now_ms: u64, seen: Stamp) -> bool {
        if seen.ms > now_ms.saturating_add(MAX_AHEAD_MS) {
            return false;
        }
        self.last = self.last.max(seen);
        true
    }
}

/// One event of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// When it happened, by the process's hybrid logical clock.
    #[serde(flatten)]
    pub stamp: Stamp,
    /// Name of the process.
    pub process: String,
    /// Number of the event within the process, from 0 at its start.
    pub seq: u64,
    /// Number of the kind of event in the catalogue.
    pub id: u16,
    /// Name of the kind of event, such as `drain-started`.
    pub name: String,
    /// Service concerned.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Flow concerned, in hexadecimal digits.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flow: Option<String>,
    /// Request concerned, in hexadecimal digits.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Upstream concerned, by the name of its agent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<String>,
    /// What happened, for people.
    pub text: String,
}

/// Identity of an event and its place in causal order.
///
/// The stamp belongs to it because a process that starts again counts from 0 again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventKey {
    stamp: Stamp,
    process: String,
    seq: u64,
}

impl Event {
    /// The event's identity, ordered so that no event comes before one that it depends on.
    pub fn key(&self) -> EventKey {
        EventKey { stamp: self.stamp, process: self.process.clone(), seq: self.seq }
    }
}

/// Spec of a timeline object: the newest events of a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Timeline {
    /// The events.
    pub events: Vec<Event>,
}

/// Merges lists of events into causal order; an event that stands in several lists appears once.
pub fn merge<I>(lists: I) -> Vec<Event>
where
    I: IntoIterator,
    I::Item: IntoIterator<Item = Event>,
{
    let mut merged: BTreeMap<EventKey, Event> = BTreeMap::new();
    for event in lists.into_iter().flatten() {
        merged.entry(event.key()).or_insert(event);
    }
    merged.into_values().collect()
}
