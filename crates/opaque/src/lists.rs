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
    member_list::{Freshness, ListReply, MemberListServer},
    revision::Revision,
};
use camphorwinch_wire::opaque::{MemberEntry, Part, Snapshot, SnapshotRequest};
use tokio::{
    sync::{Notify, watch},
    time::timeout,
};

use crate::{clock::now_ms, store::Record};

/// Longest wait for a refresh before a request is answered.
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

/// How a request for the member list is answered.
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
    server: Mutex<MemberListServer>,
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
        self.lock().record(at);
        self.known.send_modify(|it| {
            if it.at <= Some(at) {
                it.at = Some(at);
                it.records = Arc::new(records);
            }
            it.ended = it.ended.max(attempt);
            it.read = it.read.max(attempt);
        });
    }

    /// Decides how to answer a request; `None` if the list has to be read first.
    pub(crate) fn answer(&self, request: &SnapshotRequest) -> Option<Answer> {
        let freshness = request.freshness();
        if freshness == Freshness::Any {
            return Some(Answer::Respond { met: true });
        }
        match self.lock().handle_request(requester(request), freshness, now_ms()) {
            ListReply::Send => Some(Answer::Respond { met: true }),
            ListReply::Refer(others) => Some(Answer::Refer(others)),
            ListReply::ReadStore => None,
        }
    }

    /// Decides how to answer once the list is new enough or a read has ended.
    pub(crate) async fn answer_later(&self, request: &SnapshotRequest) -> Answer {
        let freshness = request.freshness();
        let next = self.begun.load(Ordering::Relaxed) + 1;
        let wait = if request.referred {
            REFERRED_WAIT
        } else {
            self.refresh_requested.notify_one();
            REFRESH_WAIT
        };
        let mut known = self.known.subscribe();
        let is_met = |it: &KnownList| it.ended >= next || freshness.is_met_by(it.at);
        // After the timeout the known list is sent.
        let _ = timeout(wait, known.wait_for(is_met)).await;
        let known = known.borrow().clone();
        let met = freshness.is_met_by(known.at) || known.read >= next;
        let Some(at) = known.at.filter(|_| met) else {
            return Answer::Respond { met: false };
        };
        match self.lock().handle_request(requester(request), Freshness::AtLeast(at), now_ms()) {
            ListReply::Refer(others) => Answer::Refer(others),
            ListReply::Send | ListReply::ReadStore => Answer::Respond { met: true },
        }
    }

    /// Waits for the first list and returns its revision.
    pub(crate) async fn first(&self) -> Revision {
        self.wait_for(|it| it.at.is_some()).await
    }

    /// Requests a new list, waits for it and returns its revision.
    pub(crate) async fn refresh(&self) -> Revision {
        let next = self.begun.load(Ordering::Relaxed) + 1;
        self.refresh_requested.notify_one();
        self.wait_for(|it| it.read >= next).await
    }

    async fn wait_for<P>(&self, is_met: P) -> Revision
    where
        P: FnMut(&KnownList) -> bool,
    {
        let mut known = self.known.subscribe();
        // The sender lives as long as `self`.
        let found = known.wait_for(is_met).await.ok().and_then(|it| it.at);
        found.unwrap_or_default()
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
        let includes_list = matches!(part, Part::Balancers | Part::All);
        let Some(at) = known.at.filter(|_| includes_list) else {
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

    fn lock(&self) -> MutexGuard<'_, MemberListServer> {
        // No code panics while holding the lock.
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Address of the requester, if it can serve the list to others.
fn requester(request: &SnapshotRequest) -> Option<SocketAddrV4> {
    request.requester.and_then(|it| SocketAddrV4::try_from(it).ok())
}
