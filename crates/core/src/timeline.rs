//! Events of all processes, ordered by a hybrid logical clock.
//!
//! The clock follows Kulkarni et al., "Logical Physical Clocks" (2014): a stamp is close to the wall clock, and an
//! event caused by a message has a higher stamp than the sending of the message, regardless of clock skew.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum accepted lead of a received stamp over the local wall clock, in milliseconds.
///
/// Keeps one process with a wrong wall clock from advancing all other clocks.
pub const MAX_AHEAD_MS: u64 = 60_000;

/// A timestamp of the hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HlcTimestamp {
    /// Milliseconds since 1970; never lower than in an event that this one depends on.
    pub ms: u64,
    /// Orders stamps of the same millisecond.
    pub counter: u32,
}

impl HlcTimestamp {
    fn next(self) -> HlcTimestamp {
        match self.counter.checked_add(1) {
            Some(counter) => HlcTimestamp { ms: self.ms, counter },
            None => HlcTimestamp { ms: self.ms.saturating_add(1), counter: 0 },
        }
    }
}

/// Hybrid logical clock of one process.
#[derive(Clone, Debug, Default)]
pub struct Hlc {
    last: HlcTimestamp,
}

impl Hlc {
    /// Creates a clock at zero.
    pub const fn new() -> Hlc {
        Hlc { last: HlcTimestamp { ms: 0, counter: 0 } }
    }

    /// Returns the stamp of a local event or an outgoing message. Stamps strictly increase.
    pub fn tick(&mut self, now_ms: u64) -> HlcTimestamp {
        let wall = HlcTimestamp { ms: now_ms, counter: 0 };
        self.last = if wall > self.last { wall } else { self.last.next() };
        self.last
    }

    /// Merges the stamp of a received message; later ticks are higher than it.
    ///
    /// Returns false and ignores a stamp that is more than [`MAX_AHEAD_MS`] ahead of `now_ms`.
    pub fn observe(&mut self, now_ms: u64, seen: HlcTimestamp) -> bool {
        if seen.ms > now_ms.saturating_add(MAX_AHEAD_MS) {
            return false;
        }
        self.last = self.last.max(seen);
        true
    }
}

/// An event of a process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// When it happened, by the process's hybrid logical clock.
    #[serde(flatten)]
    pub stamp: HlcTimestamp,
    /// Name of the process.
    pub process: String,
    /// Sequence number within the process, starting at 0.
    pub seq: u64,
    /// Number of the event kind in the catalogue.
    pub id: u16,
    /// Name of the event kind, such as `drain-started`.
    pub name: String,
    /// Affected service.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Affected flow, in hexadecimal.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flow: Option<String>,
    /// Affected request, in hexadecimal.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Affected upstream, by the name of its agent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub upstream: Option<String>,
    /// Human-readable description.
    pub text: String,
}

/// Identity of an event and its position in causal order.
///
/// Includes the stamp because a restarted process numbers its events from 0 again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventKey {
    stamp: HlcTimestamp,
    process: String,
    seq: u64,
}

impl Event {
    /// Identity of the event; keys are ordered so that an event follows all events it depends on.
    pub fn key(&self) -> EventKey {
        EventKey { stamp: self.stamp, process: self.process.clone(), seq: self.seq }
    }
}

/// Spec of a timeline object: the latest events of a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Timeline {
    /// Events of the zone.
    pub events: Vec<Event>,
}

/// Merges lists of events into causal order and removes duplicates.
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
