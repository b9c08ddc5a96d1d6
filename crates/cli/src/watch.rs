//! Watch on the platform's objects that continues after outages and after gaps in the event history.

use std::{collections::BTreeMap, time::Duration};

use camphorwinch_core::object::{Kind, Object};
use http::StatusCode;
use tokio::time::Instant;

use crate::{
    error::Error,
    platform::{
        PlatformClient, RetryableError, WatchEvent, WatchEventType, WatchResponse, is_transient,
    },
};

/// Interval between lists, which find changes that the watch missed.
const RELIST_INTERVAL: Duration = Duration::from_secs(30);

type ObjectKey = (String, String);

enum PollResult {
    Events(Vec<WatchEvent>),
    Retry(RetryableError),
}

/// Watch on objects of some kinds. It never returns an older state of an object after a newer one.
#[derive(Debug)]
pub struct Watcher<'a> {
    platform: &'a PlatformClient,
    kinds: &'a [Kind],
    since: u64,
    known: BTreeMap<ObjectKey, Object>,
    last_list: Instant,
}

impl<'a> Watcher<'a> {
    /// Lists the objects of the kinds and starts to watch from there. The listed objects are returned as put events.
    pub async fn new(
        platform: &'a PlatformClient,
        kinds: &'a [Kind],
    ) -> Result<(Watcher<'a>, Vec<WatchEvent>), Error> {
        let (known, last_list) = (BTreeMap::new(), Instant::now());
        let mut watcher = Watcher { platform, kinds, since: 0, known, last_list };
        let first = watcher.relist().await?;
        Ok((watcher, first))
    }

    /// Waits for the next events. Retries during an outage and reports it once on standard error.
    pub async fn next(&mut self) -> Result<Vec<WatchEvent>, Error> {
        let mut backoff = self.platform.backoff();
        let mut outage_reported = false;
        loop {
            let failure = match self.poll().await {
                Ok(PollResult::Events(events)) if events.is_empty() => {
                    backoff = self.platform.backoff();
                    outage_reported = false;
                    continue;
                }
                Ok(PollResult::Events(events)) => return Ok(events),
                Ok(PollResult::Retry(failure)) => failure,
                Err(Error::Unavailable { reason, .. }) => RetryableError::new(reason),
                Err(error) => return Err(error),
            };
            if !outage_reported {
                let reason = &failure.reason;
                eprintln!("watch: {}: {reason}; retrying", self.platform.authority());
                outage_reported = true;
            }
            if !backoff.wait(failure.retry_after).await {
                backoff = self.platform.backoff();
            }
        }
    }

    async fn poll(&mut self) -> Result<PollResult, Error> {
        if self.last_list.elapsed() >= RELIST_INTERVAL {
            return self.relist().await.map(PollResult::Events);
        }
        match self.platform.poll_watch(self.kinds, self.since).await {
            Ok(it) if it.status == StatusCode::OK => {
                let response: WatchResponse = self.platform.parse_body("watch", &it)?;
                Ok(PollResult::Events(self.apply_events(response)))
            }
            Ok(it) if it.status == StatusCode::GONE => self.relist().await.map(PollResult::Events),
            Ok(it) if is_transient(it.status) => Ok(PollResult::Retry(RetryableError::from(&it))),
            Ok(it) => Err(self.platform.rejected_error("watch", &it)),
            Err(error) => Ok(PollResult::Retry(RetryableError::new(error.reason()))),
        }
    }

    async fn relist(&mut self) -> Result<Vec<WatchEvent>, Error> {
        let mut since = u64::MAX;
        let mut current = BTreeMap::new();
        for &kind in self.kinds {
            let list = self.platform.list(kind).await?;
            since = since.min(list.revision);
            for object in list.items {
                current.insert(key(&object), object);
            }
        }
        let mut events = Vec::new();
        for (key, object) in &self.known {
            if !current.contains_key(key) {
                let object = Object { version: since, ..object.clone() };
                events.push(WatchEvent { event_type: WatchEventType::Delete, object });
            }
        }
        for (key, object) in &current {
            if self.known.get(key).is_none_or(|it| it.version < object.version) {
                events.push(WatchEvent { event_type: WatchEventType::Put, object: object.clone() });
            }
        }
        events.sort_by_key(|it| it.object.version);
        self.since = since;
        self.known = current;
        self.last_list = Instant::now();
        Ok(events)
    }

    fn apply_events(&mut self, response: WatchResponse) -> Vec<WatchEvent> {
        let since = self.since;
        let mut new_events = Vec::new();
        for event in response.events {
            let key = key(&event.object);
            let stored = self.known.get(&key).map(|it| it.version);
            if event.object.version <= since.max(stored.unwrap_or(0)) {
                continue;
            }
            match event.event_type {
                WatchEventType::Put => {
                    self.known.insert(key, event.object.clone());
                }
                WatchEventType::Delete if stored.is_none() => continue,
                WatchEventType::Delete => {
                    self.known.remove(&key);
                }
            }
            new_events.push(event);
        }
        self.since = since.max(response.revision);
        new_events
    }
}

fn key(object: &Object) -> ObjectKey {
    (object.kind.clone(), object.name.clone())
}
