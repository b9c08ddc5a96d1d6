//! Watches the configuration in the platform and distributes it to the fleet. Runs on lease holders.

use std::{sync::Arc, time::Duration};

use camphorwinch_core::{
    object::Kind,
    record::Record,
    revision::{RESET_GRACE_MS, Revision},
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock::now_ms,
    control::Inner,
    platform::{List, PlatformError, WatchEvent, WatchEventKind},
};

const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);
const MIN_LIST_INTERVAL_MS: u64 = 10_000;
const MAX_LIST_INTERVAL_MS: u64 = 1_800_000;
/// Average bandwidth budget for lists.
const LIST_BYTES_PER_S: u64 = 1_000;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Runs until `stop` is cancelled. Lists everything and then watches; lists again periodically in case a watch skipped
/// an event.
pub(crate) async fn run(inner: Arc<Inner>, stop: CancellationToken) {
    tokio::select! {
        () = list_and_watch(&inner) => {}
        () = stop.cancelled() => {}
    }
}

/// Current era of the platform, and when its first list was received.
#[derive(Clone, Copy, Debug, Default)]
struct CurrentEra {
    number: u64,
    since_ms: u64,
}

impl CurrentEra {
    /// Updates the era from a list.
    fn observe(&mut self, number: u64) {
        if number > self.number {
            *self = CurrentEra { number, since_ms: now_ms() };
        }
    }

    /// Remaining time in which lists may lack objects that were lost in a reset and that their writers are still
    /// rewriting; 0 in the first era.
    fn unsettled_ms(&self) -> u64 {
        if self.number == 0 {
            return 0;
        }
        (self.since_ms + RESET_GRACE_MS).saturating_sub(now_ms())
    }
}

async fn list_and_watch(inner: &Inner) {
    let mut wait = MIN_RETRY_DELAY;
    let mut era = CurrentEra::default();
    loop {
        match sync_once(inner, &mut era).await {
            Ok(()) => wait = MIN_RETRY_DELAY,
            Err(e) => {
                inner.platform_failed(&e);
                sleep(wait).await;
                wait = (wait * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Lists once, then watches until the next list is due.
async fn sync_once(inner: &Inner, era: &mut CurrentEra) -> Result<(), PlatformError> {
    let (mut since, bytes) = list(inner, era).await?;
    inner.platform_recovered();
    let interval_ms =
        (bytes as u64 * 1_000 / LIST_BYTES_PER_S).clamp(MIN_LIST_INTERVAL_MS, MAX_LIST_INTERVAL_MS);
    let next_list_ms =
        now_ms() + if era.unsettled_ms() > 0 { MIN_LIST_INTERVAL_MS } else { interval_ms };
    loop {
        let remaining_s = next_list_ms.saturating_sub(now_ms()) / 1_000;
        if remaining_s == 0 {
            return Ok(());
        }
        let wait = MAX_WATCH_WAIT.min(Duration::from_secs(remaining_s));
        let response = match inner.platform.watch(since, wait).await {
            Ok(it) => it,
            Err(PlatformError::TooOld { .. }) => return Ok(()),
            Err(e) => return Err(e),
        };
        apply_events(inner, &response.events);
        since = since.max(response.revision);
    }
}

async fn list(inner: &Inner, era: &mut CurrentEra) -> Result<(u64, usize), PlatformError> {
    let mut lists = list_all(inner).await?;
    while !same_era(&lists) {
        lists = list_all(inner).await?;
    }
    let revision = lists.iter().map(|(_, it)| it.revision).min().unwrap_or(0);
    let bytes = lists.iter().map(|(_, it)| it.bytes).sum();
    era.observe(Revision::unpacked(revision).era);
    if era.unsettled_ms() > 0 {
        apply_restored_lists(inner, &lists, revision);
        return Ok((revision, bytes));
    }
    let mut state = inner.state.lock();
    let mut changed = Vec::new();
    for (kind, list) in &lists {
        changed.extend(state.view.merge_list(*kind, &list.items, list.revision));
    }
    let advanced = match changed.is_empty() && state.view.synced() {
        // No changes: raise the floor without sending it to peers.
        true => {
            let revision = state.view.revision().min(revision);
            state.view.confirm_revision(revision)
        }
        false => state.view.confirm_revision(revision),
    };
    if advanced || !changed.is_empty() {
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

/// Whether all lists are of one era. After a reset between them they would be inconsistent.
fn same_era(lists: &[(Kind, List)]) -> bool {
    let mut eras = lists.iter().map(|(_, it)| Revision::unpacked(it.revision).era);
    let first = eras.next();
    eras.all(|it| Some(it) == first)
}

/// Applies the lists of a platform that may just have been reset to an older copy.
fn apply_restored_lists(inner: &Inner, lists: &[(Kind, List)], revision: u64) {
    let mut state = inner.state.lock();
    let known = Revision::unpacked(state.view.revision()).era;
    let previous = Revision::unpacked(revision).era.saturating_sub(1);
    let previous = if state.view.synced() { previous.min(known) } else { previous };
    let mut changed = Vec::new();
    for (kind, list) in lists {
        changed.extend(state.view.merge_reset_list(*kind, &list.items, previous));
    }
    let advanced = state.view.advance_revision(revision);
    if advanced || !changed.is_empty() {
        state.flood(&changed, None);
        drop(state);
        inner.request_publish();
    }
}

fn apply_events(inner: &Inner, events: &[WatchEvent]) {
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
