//! The member list as served to peers, and requests to refresh it.

#[cfg(test)]
mod tests;

use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use camphorwinch_core::opaque::{
    listing::{Listing, Need, Reply},
    revision::Revision,
};
use camphorwinch_wire::opaque::{MemberEntry, Part, Question, Snapshot};
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::{clock::now_ms, store::Record};

/// Longest wait for a refresh before a query is answered.
const REFRESH_WAIT: Duration = Duration::from_millis(900);
/// Longest wait before a referred requester is answered; the list is already on its way to this process.
const REFERRED_WAIT: Duration = Duration::from_millis(200);

/// The latest known member list.
#[derive(Clone, Debug, Default)]
struct KnownList {
    at: Option<Revision>,
    records: Arc<Vec<Record>>,
    /// Numbers of the last finished and of the last successful attempt to read the list.
    ended: u64,
    read: u64,
}

/// How a query for the member list is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// With the known list; `met` says whether it is as new as requested.
    Respond {
        /// Whether the list is as new as requested.
        met: bool,
    },
    /// With processes that have the list.
    Refer(Vec<SocketAddrV4>),
}

/// Member list shared by the snapshot server and the task that reads the list.
#[derive(Debug, Default)]
pub(crate) struct Lists {
    listing: Mutex<Listing>,
    /// Number of attempts begun.
    begun: AtomicU64,
    known: watch::Sender<KnownList>,
    /// Notified when a peer needs a newer list.
    pub(crate) refresh_requested: Notify,
}

impl Lists {
    /// Begins an attempt to read the list and returns its number.
    pub(crate) fn begin_attempt(&self) -> u64 {
        self.begun.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Records that an attempt ended without a list.
    pub(crate) fn fail_attempt(&self, attempt: u64) {
        self.known.send_modify(|it| it.ended = it.ended.max(attempt));
    }

    /// Publishes the list that an attempt read.
    pub(crate) fn publish(&self, at: Revision, records: Vec<Record>, attempt: u64) {
        self.lock().take(at);
        self.known.send_modify(|it| {
            if it.at <= Some(at) {
                it.at = Some(at);
                it.records = Arc::new(records);
            }
            it.ended = it.ended.max(attempt);
            it.read = it.read.max(attempt);
        });
    }

    /// Decides how to answer a query; `None` if the list has to be read first.
    pub(crate) fn answer(&self, query: &Question) -> Option<Answer> {
        let need = query.need();
        if need == Need::Any {
            return Some(Answer::Respond { met: true });
        }
        match self.lock().answer(requester(query), need, now_ms()) {
            Reply::Tell => Some(Answer::Respond { met: true }),
            Reply::Refer(others) => Some(Answer::Refer(others)),
            Reply::Read => None,
        }
    }

    /// Decides how to answer once the list is new enough or a read has ended.
    pub(crate) async fn answer_later(&self, query: &Question) -> Answer {
        let need = query.need();
        let next = self.begun.load(Ordering::Relaxed) + 1;
        let wait = if query.referred {
            REFERRED_WAIT
        } else {
            self.refresh_requested.notify_one();
            REFRESH_WAIT
        };
        let mut known = self.known.subscribe();
        let is_met = |it: &KnownList| it.ended >= next || need.is_met(it.at);
        // After the timeout the known list is sent.
        let _ = timeout(wait, known.wait_for(is_met)).await;
        let known = known.borrow().clone();
        let met = need.is_met(known.at) || known.read >= next;
        let Some(at) = known.at.filter(|_| met) else {
            return Answer::Respond { met: false };
        };
        match self.lock().answer(requester(query), Need::Since(at), now_ms()) {
            Reply::Refer(others) => Answer::Refer(others),
            Reply::Tell | Reply::Read => Answer::Respond { met: true },
        }
    }

    /// Revision of the known list.
    pub(crate) fn at(&self) -> Revision {
        self.known.borrow().at.unwrap_or_default()
    }

    /// Completes a snapshot with the members listed in the store.
    ///
    /// Members known locally to have left are included: the requester must not conclude more than from a read of the
    /// store.
    pub(crate) fn complete(&self, mut snapshot: Snapshot, part: Part) -> Snapshot {
        let known = self.known.borrow().clone();
        let Some(at) = known.at.filter(|_| part != Part::None) else {
            return snapshot;
        };
        (snapshot.list_era, snapshot.list_revision) = (at.era, at.number);
        let listed: BTreeSet<_> = known.records.iter().map(|it| it.listed.address).collect();
        let is_listed = |it: &MemberEntry| it.listed().is_ok_and(|it| listed.contains(&it.address));
        snapshot.members.retain(|it| !is_listed(it));
        let requested =
            known.records.iter().filter(|it| part == Part::All || it.listed.pool.is_none());
        snapshot.members.extend(requested.map(|it| MemberEntry {
            name: it.name.clone(),
            revision: it.revision.number,
            ..MemberEntry::from(&it.listed)
        }));
        snapshot
    }

    fn lock(&self) -> MutexGuard<'_, Listing> {
        // No code panics while holding the lock.
        self.listing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Address of the requester, if it can serve the list to others.
fn requester(query: &Question) -> Option<SocketAddrV4> {
    query.asker.and_then(|it| SocketAddrV4::try_from(it).ok())
}
