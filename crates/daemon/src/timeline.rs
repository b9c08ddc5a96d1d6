//! The timeline of a zone: a ring of small objects, so that a write costs the same however many events are kept.

use camphorwinch_core::{
    object::{Kind, Object},
    timeline::{self, Event, Timeline},
};
use futures::future::join_all;
use serde_json::json;

use crate::{
    clock::now_ms,
    control::Inner,
    event,
    platform::{PlatformError, PutOutcome},
};

/// Objects of a zone's ring.
const SEGMENTS: usize = 32;
/// Events of one object.
const SEGMENT_EVENTS: usize = 32;
/// Largest object, in bytes, unless a single event is larger.
const SEGMENT_BYTES: usize = 32_768;
/// Least time between two writes, in milliseconds.
const GAP_MS: u64 = 2_000;
/// Bytes a second that the writes may cost on average, the platform's answers with the object included.
const RATE: u64 = 2_000;
/// How often an object crosses the wire at a write: in the call and in its answer.
const CROSSINGS: u64 = 2;

/// Writes the timeline. The object in use is written once when the lease is taken: from then on a former holder's write,
/// based on an older version, fails.
pub(crate) struct TimelineWriter {
    zone: String,
    segment: usize,
    version: u64,
    /// Events of the object in use.
    events: Vec<Event>,
    pending: Vec<Event>,
    touched: bool,
    after_ms: u64,
}

impl TimelineWriter {
    /// Reads the ring and goes on where it ended.
    pub(crate) async fn open(inner: &Inner, zone: &str) -> Result<TimelineWriter, PlatformError> {
        let mut writer = TimelineWriter {
            zone: zone.to_owned(),
            segment: 0,
            version: 0,
            events: Vec::new(),
            pending: Vec::new(),
            touched: false,
            after_ms: 0,
        };
        let reads = (0..SEGMENTS).map(|segment| {
            let name = writer.name(segment);
            async move { inner.platform.get(Kind::Timeline, &name).await }
        });
        let newest = |it: &[Event]| it.last().map(|it| it.stamp);
        for (segment, object) in join_all(reads).await.into_iter().enumerate() {
            let object = object?;
            let events = events(object.as_ref());
            if segment == 0 || newest(&events) > newest(&writer.events) {
                writer.segment = segment;
                writer.version = version(object.as_ref());
                writer.events = events;
            }
        }
        Ok(writer)
    }

    fn name(&self, segment: usize) -> String {
        format!("events-{}-{segment}", self.zone)
    }

    /// Writes what waits, if it is time; none if the write failed or `held` says that the lease is not held, so that the
    /// ring is to be read again.
    pub(crate) async fn write<F>(mut self, inner: &Inner, held: F) -> Option<TimelineWriter>
    where
        F: Fn() -> bool,
    {
        if now_ms() < self.after_ms {
            return Some(self);
        }
        self.pending.extend(event::take_waiting());
        self.pending.extend(inner.state.lock().events.drain(..));
        self.pending = timeline::merge([std::mem::take(&mut self.pending)]);
        if self.pending.is_empty() && self.touched {
            return Some(self);
        }
        if !held() {
            inner.state.lock().queue_events(self.pending);
            return None;
        }
        match self.put(inner).await {
            Ok(()) => Some(self),
            Err(e) => {
                inner.platform_failed(&e);
                inner.state.lock().queue_events(self.pending);
                None
            }
        }
    }

    async fn put(&mut self, inner: &Inner) -> Result<(), PlatformError> {
        if self.touched && fitting(&self.events, &self.pending) == 0 {
            self.advance(inner).await?;
        }
        let count = fitting(&self.events, &self.pending);
        let merged = timeline::merge([self.events.clone(), self.pending[..count].to_vec()]);
        let spec = json!(Timeline { events: merged.clone() });
        let bytes = spec.to_string().len();
        let name = self.name(self.segment);
        match inner.platform.put(Kind::Timeline, &name, self.version, &spec).await? {
            PutOutcome::Done(object) => {
                self.version = object.version;
                self.events = merged;
                self.pending.drain(..count);
                self.touched = true;
                self.after_ms = now_ms() + gap_ms(bytes);
            }
            PutOutcome::Conflict(current) => {
                self.version = version(current.as_ref());
                self.events = events(current.as_ref());
            }
        }
        Ok(())
    }

    /// Goes on to the next object of the ring, whose events are the oldest.
    async fn advance(&mut self, inner: &Inner) -> Result<(), PlatformError> {
        let next = (self.segment + 1) % SEGMENTS;
        let object = inner.platform.get(Kind::Timeline, &self.name(next)).await?;
        self.segment = next;
        self.version = version(object.as_ref());
        self.events.clear();
        Ok(())
    }
}

fn version(object: Option<&Object>) -> u64 {
    object.map_or(0, |it| it.version)
}

fn events(object: Option<&Object>) -> Vec<Event> {
    let spec = object.map(|it| it.spec.clone()).unwrap_or_default();
    let timeline: Timeline = serde_json::from_value(spec).unwrap_or_default();
    timeline.events
}

/// How many of the pending events go into an object that holds some already; at least one into an empty object.
fn fitting(held: &[Event], pending: &[Event]) -> usize {
    let size = |it: &Event| serde_json::to_string(it).map_or(0, |it| it.len() + 1);
    let mut bytes: usize = held.iter().map(size).sum();
    let room = SEGMENT_EVENTS.saturating_sub(held.len());
    let mut count = 0;
    for event in pending.iter().take(room) {
        bytes += size(event);
        if bytes > SEGMENT_BYTES && !(held.is_empty() && count == 0) {
            break;
        }
        count += 1;
    }
    count
}

/// Time until the next write after one of this many bytes.
fn gap_ms(bytes: usize) -> u64 {
    (bytes as u64 * CROSSINGS * 1_000 / RATE).max(GAP_MS)
}
