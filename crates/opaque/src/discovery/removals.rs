//! Watch for members that are removed from the list.
//!
//! A few balancers watch, whatever the size of the fleet. They notify a member that still reports, so that it registers
//! again before a starting process reads a list without it.

#[cfg(test)]
mod tests;

use std::{sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, watch},
    time::sleep,
};

use super::{Backoff, Update, count_call, jitter};
use crate::{
    lists::Lists,
    store::{Store, Watched},
};

/// Mean duration of one watch call without a change.
const WATCH_WAIT: Duration = Duration::from_secs(12);
/// Time between two calls, so that the number of calls does not grow with the number of changes.
const WATCH_GAP: Duration = Duration::from_millis(500);

/// Task that watches the member list for removals.
pub(crate) struct WatchRemovals<S> {
    /// Store client.
    pub(crate) store: S,
    /// Whether this process watches.
    pub(crate) watches: watch::Receiver<bool>,
    /// The list from whose revision the watch continues.
    pub(crate) lists: Arc<Lists>,
    /// Receives the removals.
    pub(crate) out: mpsc::Sender<Update>,
}

impl<S> WatchRemovals<S>
where
    S: Store,
{
    /// Watches until the process ends.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new();
        let mut at = self.lists.first().await;
        while self.watches.wait_for(|&it| it).await.is_ok() {
            let wait = WATCH_WAIT.mul_f64(jitter());
            let watched = self.store.watch_members(at, wait, backoff.call_timeout()).await;
            let removals = match count_call("watch-members", watched) {
                Ok(Watched::Advanced(it)) => it,
                Ok(Watched::Compacted) => {
                    // Removals in the lost part of the history show in a new list only.
                    if self.out.send(Update::RemovalsUnknown).await.is_err() {
                        return;
                    }
                    at = self.lists.refresh().await;
                    sleep(WATCH_GAP.mul_f64(jitter())).await;
                    continue;
                }
                Err(e) => {
                    backoff.wait_after_failure(&e).await;
                    continue;
                }
            };
            backoff.reset();
            at = removals.at;
            if !removals.members.is_empty()
                && self.out.send(Update::Removed(removals.members)).await.is_err()
            {
                return;
            }
            sleep(WATCH_GAP.mul_f64(jitter())).await;
        }
    }
}
