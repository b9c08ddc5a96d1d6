//! Following the platform's objects through its watch, across outages and lost history.

use std::{collections::BTreeMap, time::Duration};

use camphorwinch_core::object::{Kind, Object};
use http::StatusCode;
use tokio::time::Instant;

use crate::{
    error::Error,
    platform::{Events, Failure, Platform, Seen, WatchEvent, is_passing},
};

/// Time between lists, which find what the watch left out.
const RELIST: Duration = Duration::from_secs(30);

type Key = (String, String);

/// What one call came to.
enum Step {
    Events(Vec<WatchEvent>),
    Retry(Failure),
}

/// A watch on some kinds. It never returns an older state of an object after a newer one.
#[derive(Debug)]
pub struct Watcher<'a> {
    platform: &'a Platform,
    kinds: &'a [Kind],
    since: u64,
    known: BTreeMap<Key, Object>,
    listed: Instant,
}

impl<'a> Watcher<'a> {
    /// Lists the kinds and starts to watch from there. The listed objects are returned as first events.
    pub async fn new(
        platform: &'a Platform,
        kinds: &'a [Kind],
    ) -> Result<(Watcher<'a>, Vec<WatchEvent>), Error> {
        let (known, listed) = (BTreeMap::new(), Instant::now());
        let mut watcher = Watcher { platform, kinds, since: 0, known, listed };
        let first = watcher.relist().await?;
        Ok((watcher, first))
    }

    /// Waits for the next events; goes on through outages, which are told on the standard error.
    pub async fn next(&mut self) -> Result<Vec<WatchEvent>, Error> {
        let mut retry = self.platform.retry();
        let mut told = false;
        loop {
            let failure = match self.step().await {
                Ok(Step::Events(events)) if events.is_empty() => {
                    retry = self.platform.retry();
                    told = false;
                    continue;
                }
                Ok(Step::Events(events)) => return Ok(events),
                Ok(Step::Retry(failure)) => failure,
                Err(Error::Unavailable { reason, .. }) => Failure::new(reason),
                Err(error) => return Err(error),
            };
            if !told {
                let reason = &failure.reason;
                eprintln!("watch: {}: {reason}; trying again", self.platform.peer());
                told = true;
            }
            if !retry.pause(failure.after).await {
                retry = self.platform.retry();
            }
        }
    }

    async fn step(&mut self) -> Result<Step, Error> {
        if self.listed.elapsed() >= RELIST {
            return self.relist().await.map(Step::Events);
        }
        match self.platform.wait(self.kinds, self.since).await {
            Ok(it) if it.status == StatusCode::OK => {
                let events: Events = self.platform.parse("watch", &it)?;
                Ok(Step::Events(self.take(events)))
            }
            Ok(it) if it.status == StatusCode::GONE => self.relist().await.map(Step::Events),
            Ok(it) if is_passing(it.status) => Ok(Step::Retry(Failure::from(&it))),
            Ok(it) => Err(self.platform.refused("watch", &it)),
            Err(lost) => Ok(Step::Retry(Failure::new(lost.reason()))),
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
                events.push(WatchEvent { seen: Seen::Delete, object });
            }
        }
        for (key, object) in &current {
            if self.known.get(key).is_none_or(|it| it.version < object.version) {
                events.push(WatchEvent { seen: Seen::Put, object: object.clone() });
            }
        }
        events.sort_by_key(|it| it.object.version);
        self.since = since;
        self.known = current;
        self.listed = Instant::now();
        Ok(events)
    }

    fn take(&mut self, answer: Events) -> Vec<WatchEvent> {
        let since = self.since;
        let mut fresh = Vec::new();
        for event in answer.events {
            let key = key(&event.object);
            let stored = self.known.get(&key).map(|it| it.version);
            if event.object.version <= since.max(stored.unwrap_or(0)) {
                continue;
            }
            match event.seen {
                Seen::Put => {
                    self.known.insert(key, event.object.clone());
                }
                Seen::Delete if stored.is_none() => continue,
                Seen::Delete => {
                    self.known.remove(&key);
                }
            }
            fresh.push(event);
        }
        self.since = since.max(answer.revision);
        fresh
    }
}

fn key(object: &Object) -> Key {
    (object.kind.clone(), object.name.clone())
}
