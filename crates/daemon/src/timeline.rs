//! The timeline of a zone: a ring of small objects, so that the cost of a write does not depend on the number of
//! events.

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

/// Objects in the ring of a zone.
const SEGMENTS: usize = 32;
/// Events in one object.
const MAX_SEGMENT_EVENTS: usize = 32;
/// Size limit of an object, unless a single event is larger.
const MAX_SEGMENT_BYTES: usize = 32_768;
const MIN_WRITE_INTERVAL_MS: u64 = 2_000;
/// Average bandwidth budget for writes and their responses.
const WRITE_BYTES_PER_S: u64 = 2_000;
/// Transfers of the object per write: in the request and in the response.
const TRANSFERS_PER_WRITE: u64 = 2;

/// Writes the timeline. The first write after taking the lease changes the version of the current object, which fences
/// writes of the previous holder.
pub(crate) struct TimelineWriter {
    zone: String,
    segment: usize,
    version: u64,
    /// Events in the current object.
    events: Vec<Event>,
    pending: Vec<Event>,
    has_written: bool,
    next_write_ms: u64,
}

impl TimelineWriter {
    /// Reads the ring and continues at the object with the newest event.
    pub(crate) async fn open(inner: &Inner, zone: &str) -> Result<TimelineWriter, PlatformError> {
        let mut writer = TimelineWriter {
            zone: zone.to_owned(),
            segment: 0,
            version: 0,
            events: Vec::new(),
            pending: Vec::new(),
            has_written: false,
            next_write_ms: 0,
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

    /// Writes pending events if a write is due. Returns `None` if the write failed or the lease is not held; the ring
    /// must then be read again.
    pub(crate) async fn write<F>(mut self, inner: &Inner, holds_lease: F) -> Option<TimelineWriter>
    where
        F: Fn() -> bool,
    {
        if now_ms() < self.next_write_ms {
            return Some(self);
        }
        self.pending.extend(event::take_pending());
        self.pending.extend(inner.state.lock().events.drain(..));
        self.pending = timeline::merge([std::mem::take(&mut self.pending)]);
        if self.pending.is_empty() && self.has_written {
            return Some(self);
        }
        if !holds_lease() {
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
        if self.has_written && count_fitting(&self.events, &self.pending) == 0 {
            self.advance_segment(inner).await?;
        }
        let count = count_fitting(&self.events, &self.pending);
        let merged = timeline::merge([self.events.clone(), self.pending[..count].to_vec()]);
        let spec = json!(Timeline { events: merged.clone() });
        let bytes = spec.to_string().len();
        let name = self.name(self.segment);
        match inner.platform.put(Kind::Timeline, &name, self.version, &spec).await? {
            PutOutcome::Done(object) => {
                self.version = object.version;
                self.events = merged;
                self.pending.drain(..count);
                self.has_written = true;
                self.next_write_ms = now_ms() + write_interval_ms(bytes);
            }
            PutOutcome::Conflict(current) => {
                self.version = version(current.as_ref());
                self.events = events(current.as_ref());
            }
        }
        Ok(())
    }

    /// Moves to the next object of the ring, which has the oldest events, and discards them.
    async fn advance_segment(&mut self, inner: &Inner) -> Result<(), PlatformError> {
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

/// Number of pending events that fit into an object with the `held` events; at least one if it is empty.
fn count_fitting(held: &[Event], pending: &[Event]) -> usize {
    let size = |it: &Event| serde_json::to_string(it).map_or(0, |it| it.len() + 1);
    let mut bytes: usize = held.iter().map(size).sum();
    let free = MAX_SEGMENT_EVENTS.saturating_sub(held.len());
    let mut count = 0;
    for event in pending.iter().take(free) {
        bytes += size(event);
        if bytes > MAX_SEGMENT_BYTES && !(held.is_empty() && count == 0) {
            break;
        }
        count += 1;
    }
    count
}

/// Interval until the next write after a write of `bytes`.
fn write_interval_ms(bytes: usize) -> u64 {
    (bytes as u64 * TRANSFERS_PER_WRITE * 1_000 / WRITE_BYTES_PER_S).max(MIN_WRITE_INTERVAL_MS)
}
