//! The entry of this process in the member list.
//!
//! A call without an answer may take effect seconds later: after later calls of its sender, after its end, or beside
//! its next run. So each write names the revision of the entry that it replaces or removes, and each registration
//! writes a new revision. Whatever was sent before a registration has no effect after it.

#[cfg(test)]
mod tests;

use std::time::Duration;

use camphorwinch_core::opaque::revision::Revision;

use super::count_call;
use crate::{
    event::Id,
    store::{Member, Store, StoreError},
};

/// Writes tried against concurrent changes. Other processes only remove the entry, so one or two suffice.
const MAX_WRITES: usize = 4;

/// Result of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Registered {
    /// Revision of the entry, if the store reported it.
    pub(crate) revision: Option<Revision>,
    /// Revision of the earlier entry that this one replaced.
    pub(crate) replaced: Option<Revision>,
}

/// Registers this process under a new revision of its entry.
pub(crate) async fn register<S>(
    store: &S,
    own: &Member,
    call_timeout: Duration,
) -> Result<Registered, StoreError>
where
    S: Store,
{
    let registration = rand::random();
    let mut replaced = None;
    let mut writes = 0;
    loop {
        let (step, result) = match replaced {
            None => ("create", store.create(own, registration, call_timeout).await),
            Some(it) => ("replace", store.replace(own, registration, it, call_timeout).await),
        };
        writes += 1;
        let error = match count_call(step, result) {
            Ok(revision) => {
                let entry = Registered { revision, replaced };
                log_registered(&entry);
                return Ok(entry);
            }
            Err(e) => e,
        };
        if writes == MAX_WRITES {
            return Err(error);
        }
        replaced = match error {
            StoreError::Conflict { current, .. } => {
                Some(current.unwrap_or_else(|| unmatched_revision(store)))
            }
            // The entry was removed since the last write.
            StoreError::NotFound { .. } => None,
            e => return Err(e),
        };
    }
}

/// Withdraws this process's entry, whatever its revision is; `known` is that of the last registration.
pub(crate) async fn withdraw_own<S>(
    store: &S,
    name: &str,
    known: Option<Revision>,
    call_timeout: Duration,
) -> Result<(), StoreError>
where
    S: Store,
{
    let mut revision = known.unwrap_or_else(|| unmatched_revision(store));
    let mut writes = 0;
    let result = loop {
        let result = store.withdraw(name, revision, call_timeout).await;
        writes += 1;
        match count_call("withdraw", result) {
            Err(StoreError::Conflict { current, .. }) if writes < MAX_WRITES => {
                revision = current.unwrap_or_else(|| unmatched_revision(store));
            }
            it => break it,
        }
    };
    log_withdrawn(revision, &result);
    result
}

/// A revision that no entry has. A write under it fails, and the store's answer contains the revision of the entry.
fn unmatched_revision<S>(store: &S) -> Revision
where
    S: Store,
{
    Revision::new(store.era().borrow().unwrap_or_default(), 0)
}

fn log_registered(entry: &Registered) {
    let id = Id::Announced;
    let (revision, replaced) =
        (entry.revision.map(|it| it.number), entry.replaced.map(|it| it.number));
    let created = replaced.is_none();
    tracing::info!(id = id as u16, name = id.name(), revision, created, replaced);
}

fn log_withdrawn(revision: Revision, result: &Result<(), StoreError>) {
    let id = Id::Withdrawn;
    let (revision, error) = (revision.number, result.as_ref().err().map(ToString::to_string));
    tracing::info!(id = id as u16, name = id.name(), revision, error);
}
