//! Events out of timeline objects.

use std::collections::{BTreeMap, BTreeSet};

use camphorwinch_core::{
    object::Object,
    timeline::{Event, EventKey, Timeline, merge},
};
use serde::Deserialize as _;

/// Which events to keep.
#[derive(Clone, Copy, Debug, Default)]
pub struct Filter<'a> {
    /// Name of a service.
    pub service: Option<&'a str>,
    /// First digits of a flow's number.
    pub flow: Option<&'a str>,
    /// First digits of a request's number.
    pub request: Option<&'a str>,
    /// Name of an upstream.
    pub upstream: Option<&'a str>,
}

impl Filter<'_> {
    /// The events that pass.
    pub fn keep(&self, events: Vec<Event>) -> Vec<Event> {
        events.into_iter().filter(|it| self.passes(it)).collect()
    }

    fn passes(&self, event: &Event) -> bool {
        let same = |want: Option<&str>, has: &Option<String>| {
            want.is_none_or(|want| has.as_deref() == Some(want))
        };
        let begins = |want: Option<&str>, has: &Option<String>| {
            let want = want.map(str::to_ascii_lowercase);
            want.is_none_or(|want| has.as_deref().is_some_and(|has| has.starts_with(&want)))
        };
        same(self.service, &event.service)
            && same(self.upstream, &event.upstream)
            && begins(self.flow, &event.flow)
            && begins(self.request, &event.request)
    }
}

/// Merges successive states of timeline objects; each event comes out once.
///
/// It remembers only what the objects hold now: an event that has left its object does not come back.
#[derive(Clone, Debug, Default)]
pub struct Merger {
    zones: BTreeMap<String, BTreeSet<EventKey>>,
}

impl Merger {
    /// A merger that has seen nothing.
    pub fn new() -> Merger {
        Merger::default()
    }

    /// Takes in new states of objects and returns the events not seen before, in causal order.
    pub fn take<I>(&mut self, objects: I) -> Vec<Event>
    where
        I: IntoIterator<Item = Object>,
    {
        let mut fresh = Vec::new();
        let mut zones = BTreeMap::new();
        for object in objects {
            let Ok(timeline) = Timeline::deserialize(&object.spec) else { continue };
            let keys = timeline.events.iter().map(Event::key).collect();
            zones.insert(object.name, keys);
            fresh.push(timeline.events.into_iter().filter(|it| !self.has(it)));
        }
        let merged = merge(fresh);
        self.zones.extend(zones);
        merged
    }

    fn has(&self, event: &Event) -> bool {
        let key = event.key();
        self.zones.values().any(|it| it.contains(&key))
    }
}
