//! Watching the platform's configuration on behalf of the fleet: what the holder of a lease does.

use std::{sync::Arc, time::Duration};

use camphorwinch_core::{
    object::Kind,
    record::Record,
    revision::{Revision, WRITTEN_AGAIN_MS},
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock::now_ms,
    control::Inner,
    platform::{List, PlatformError, WatchEvent, WatchEventKind},
};

/// Longest wait of one watch.
const WATCH: Duration = Duration::from_secs(20);
/// Least time between two lists, in milliseconds.
const LIST_MIN_MS: u64 = 10_000;
/// Longest time between two lists, in milliseconds.
const LIST_MAX_MS: u64 = 1_800_000;
/// Bytes a second that lists may cost on average.
const LIST_RATE: u64 = 1_000;
/// First wait after a failure.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest wait after a failure.
const RETRY_MAX: Duration = Duration::from_secs(2);

/// Runs until the lease is lost: lists everything, then watches; lists again at times, because a watch may skip an event.
pub(crate) async fn run(inner: Arc<Inner>, stop: CancellationToken) {
    tokio::select! {
        () = follow(&inner) => {}
        () = stop.cancelled() => {}
    }
}

/// The era of the platform in which the first list came, and when.
#[derive(Clone, Copy, Debug, Default)]
struct Era {
    number: u64,
    since_ms: u64,
}

impl Era {
    /// Takes in the era of a list.
    fn observe(&mut self, number: u64) {
        if number > self.number {
            *self = Era { number, since_ms: now_ms() };
        }
    }

    /// Time for which lists may lack what their writers have yet to write again: the platform may just have come back from a copy.
    /// In the first era it has not.
    fn unsettled_ms(&self) -> u64 {
        if self.number == 0 {
            return 0;
        }
        (self.since_ms + WRITTEN_AGAIN_MS).saturating_sub(now_ms())
    }
}

async fn follow(inner: &Inner) {
    let mut wait = RETRY_MIN;
    let mut era = Era::default();
    loop {
        match round(inner, &mut era).await {
            Ok(()) => wait = RETRY_MIN,
            Err(e) => {
                inner.platform_failed(&e);
                sleep(wait).await;
                wait = (wait * 2).min(RETRY_MAX);
            }
        }
    }
}

/// One list, and the watches after it until the next list is due.
async fn round(inner: &Inner, era: &mut Era) -> Result<(), PlatformError> {
    let (mut since, bytes) = list(inner, era).await?;
    inner.platform_recovered();
    let pause = (bytes as u64 * 1_000 / LIST_RATE).clamp(LIST_MIN_MS, LIST_MAX_MS);
    let until = now_ms() + if era.unsettled_ms() > 0 { LIST_MIN_MS } else { pause };
    loop {
        let left = until.saturating_sub(now_ms()) / 1_000;
        if left == 0 {
            return Ok(());
        }
        let wait = WATCH.min(Duration::from_secs(left));
        let response = match inner.platform.watch(since, wait).await {
            Ok(it) => it,
            Err(PlatformError::TooOld { .. }) => return Ok(()),
            Err(e) => return Err(e),
        };
        take_events(inner, &response.events);
        since = since.max(response.revision);
    }
}

async fn list(inner: &Inner, era: &mut Era) -> Result<(u64, usize), PlatformError> {
    let mut lists = list_all(inner).await?;
    while !are_of_one_era(&lists) {
        lists = list_all(inner).await?;
    }
    let revision = lists.iter().map(|(_, it)| it.revision).min().unwrap_or(0);
    let bytes = lists.iter().map(|(_, it)| it.bytes).sum();
    era.observe(Revision::unpacked(revision).era);
    if era.unsettled_ms() > 0 {
        take_copy(inner, &lists, revision);
        return Ok((revision, bytes));
    }
    let mut state = inner.state.lock();
    let mut changed = Vec::new();
    for (kind, list) in &lists {
        changed.extend(state.view.take_list(*kind, &list.items, list.revision));
    }
    let news = match changed.is_empty() && state.view.synced() {
        // Nothing new: the floor rises, but there is no need to tell everybody.
        true => {
            let revision = state.view.revision().min(revision);
            state.view.confirm(revision)
        }
        false => state.view.confirm(revision),
    };
    if news || !changed.is_empty() {
        state.flood(&changed, None);
        drop(state);
        inner.request_publish();
    }
    Ok((revision, bytes))
}

async fn list_all(inner: &Inner) -> Result<Vec<(Kind, List)>, PlatformError> {
    let mut lists = Vec::new();
    for kind in Kind::CONFIG {
        lists.push((kind, inner.platform.list(kind).await?));
    }
    Ok(lists)
}

/// Whether the platform did not come back from a copy between the lists: they would not belong together.
fn are_of_one_era(lists: &[(Kind, List)]) -> bool {
    let mut eras = lists.iter().map(|(_, it)| Revision::unpacked(it.revision).era);
    let first = eras.next();
    eras.all(|it| Some(it) == first)
}

/// Takes in lists of a platform that may have just come back from a copy.
fn take_copy(inner: &Inner, lists: &[(Kind, List)], revision: u64) {
    let mut state = inner.state.lock();
    let known = Revision::unpacked(state.view.revision()).era;
    let former = Revision::unpacked(revision).era.saturating_sub(1);
    let former = if state.view.synced() { former.min(known) } else { former };
    let mut changed = Vec::new();
    for (kind, list) in lists {
        changed.extend(state.view.take_copy(*kind, &list.items, former));
    }
    let news = state.view.advance(revision);
    if news || !changed.is_empty() {
        state.flood(&changed, None);
        drop(state);
        inner.request_publish();
    }
}

fn take_events(inner: &Inner, events: &[WatchEvent]) {
    let mut records = Vec::new();
    let mut newest = 0;
    for event in events {
        let Some(kind) = Kind::parse(&event.object.kind).filter(|it| Kind::CONFIG.contains(it))
        else {
            continue;
        };
        newest = newest.max(event.object.version);
        records.push(match event.kind {
            WatchEventKind::Put => Record::Object { kind, object: event.object.clone() },
            WatchEventKind::Delete => Record::Deleted {
                kind,
                name: event.object.name.clone(),
                revision: event.object.version,
            },
        });
    }
    if records.is_empty() {
        return;
    }
    if inner.state.lock().apply_watch(&records, newest) {
        inner.request_publish();
    }
}
