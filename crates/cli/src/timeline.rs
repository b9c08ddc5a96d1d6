//! Events from timeline objects.

use std::collections::{BTreeMap, BTreeSet};

use camphorwinch_core::{
    object::Object,
    timeline::{Event, EventKey, Timeline, merge},
};
use serde::Deserialize as _;

/// Filter for events; a field that is not set matches every event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Filter<'a> {
    /// Name of a service.
    pub service: Option<&'a str>,
    /// Prefix of a flow ID, in hexadecimal digits.
    pub flow: Option<&'a str>,
    /// Prefix of a request ID, in hexadecimal digits.
    pub request: Option<&'a str>,
    /// Name of an upstream.
    pub upstream: Option<&'a str>,
}

impl Filter<'_> {
    /// Returns the events that match.
    pub fn apply(&self, events: Vec<Event>) -> Vec<Event> {
        events.into_iter().filter(|it| self.matches(it)).collect()
    }

    fn matches(&self, event: &Event) -> bool {
        let equals = |wanted: Option<&str>, actual: &Option<String>| {
            wanted.is_none_or(|wanted| actual.as_deref() == Some(wanted))
        };
        let has_prefix = |wanted: Option<&str>, actual: &Option<String>| {
            let wanted = wanted.map(str::to_ascii_lowercase);
            wanted.is_none_or(|wanted| {
                actual.as_deref().is_some_and(|actual| actual.starts_with(&wanted))
            })
        };
        equals(self.service, &event.service)
            && equals(self.upstream, &event.upstream)
            && has_prefix(self.flow, &event.flow)
            && has_prefix(self.request, &event.request)
    }
}

/// Merges successive versions of timeline objects and returns each event once.
///
/// Keeps the keys only of events in the current versions; an event does not return to an object that has dropped it.
#[derive(Clone, Debug, Default)]
pub struct Merger {
    seen: BTreeMap<String, BTreeSet<EventKey>>,
}

impl Merger {
    /// Creates an empty merger.
    pub fn new() -> Merger {
        Merger::default()
    }

    /// Adds new versions of objects and returns the events that are not in the previous versions, in causal order.
    pub fn merge_new<I>(&mut self, objects: I) -> Vec<Event>
    where
        I: IntoIterator<Item = Object>,
    {
        let mut new_events = Vec::new();
        let mut seen = BTreeMap::new();
        for object in objects {
            let Ok(timeline) = Timeline::deserialize(&object.spec) else { continue };
            let keys = timeline.events.iter().map(Event::key).collect();
            seen.insert(object.name, keys);
            new_events.push(timeline.events.into_iter().filter(|it| !self.contains(it)));
        }
        let merged = merge(new_events);
        self.seen.extend(seen);
        merged
    }

    fn contains(&self, event: &Event) -> bool {
        let key = event.key();
        self.seen.values().any(|it| it.contains(&key))
    }
}
