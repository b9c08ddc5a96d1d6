//! The list of members as this process tells it to others, and what makes it read the store for them.

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

/// Longest wait of a process that asks for a list which has to be read first.
const READ_WAIT: Duration = Duration::from_millis(900);
/// The same for one that was referred here, for the list that was told to this process just then.
const TOLD_WAIT: Duration = Duration::from_millis(200);

/// What is known of the list.
#[derive(Clone, Debug, Default)]
struct Known {
    at: Option<Revision>,
    records: Arc<Vec<Record>>,
    /// Number of the last attempt to get the list that has ended, and of the last one that brought it.
    ended: u64,
    read: u64,
}

/// How a question is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Answer {
    /// With what is known; `met` says that its list is as new as was asked for.
    Tell {
        /// Whether it is.
        met: bool,
    },
    /// With the processes that can tell it.
    Refer(Vec<SocketAddrV4>),
}

/// Shared by those who ask, those who answer, and the task that gets the list.
#[derive(Debug, Default)]
pub(crate) struct Lists {
    listing: Mutex<Listing>,
    /// Attempts to get the list that have begun.
    begun: AtomicU64,
    known: watch::Sender<Known>,
    /// Somebody needs a newer list.
    pub(crate) wanted: Notify,
}

impl Lists {
    /// Begins an attempt to get the list; its number.
    pub(crate) fn begin(&self) -> u64 {
        self.begun.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// An attempt has ended without a list.
    pub(crate) fn failed(&self, attempt: u64) {
        self.known.send_modify(|it| it.ended = it.ended.max(attempt));
    }

    /// The list that an attempt brought can be told from now on.
    pub(crate) fn put(&self, at: Revision, records: Vec<Record>, attempt: u64) {
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

    /// Decides how to answer a question at once; none if the list has to be read first.
    pub(crate) fn answer(&self, ask: &Question) -> Option<Answer> {
        let need = ask.need();
        if need == Need::Any {
            return Some(Answer::Tell { met: true });
        }
        match self.lock().answer(asker(ask), need, now_ms()) {
            Reply::Tell => Some(Answer::Tell { met: true }),
            Reply::Refer(others) => Some(Answer::Refer(others)),
            Reply::Read => None,
        }
    }

    /// Decides it once the list is new enough, or an attempt to get it has ended.
    pub(crate) async fn answer_later(&self, ask: &Question) -> Answer {
        let need = ask.need();
        let next = self.begun.load(Ordering::Relaxed) + 1;
        let wait = if ask.referred {
            TOLD_WAIT
        } else {
            self.wanted.notify_one();
            READ_WAIT
        };
        let mut known = self.known.subscribe();
        let is_met = |it: &Known| it.ended >= next || need.is_met(it.at);
        // If it is not in time, the asker is told what there is.
        let _ = timeout(wait, known.wait_for(is_met)).await;
        let known = known.borrow().clone();
        let met = need.is_met(known.at) || known.read >= next;
        let Some(at) = known.at.filter(|_| met) else {
            return Answer::Tell { met: false };
        };
        match self.lock().answer(asker(ask), Need::Since(at), now_ms()) {
            Reply::Refer(others) => Answer::Refer(others),
            Reply::Tell | Reply::Read => Answer::Tell { met: true },
        }
    }

    /// The revision as of which the list is known.
    pub(crate) fn at(&self) -> Revision {
        self.known.borrow().at.unwrap_or_default()
    }

    /// What is told, with the members that the store lists. Those that left by what this process heard are among them: the asker must not
    /// be surer of that than one that reads the store.
    pub(crate) fn complete(&self, mut snapshot: Snapshot, part: Part) -> Snapshot {
        let known = self.known.borrow().clone();
        let Some(at) = known.at.filter(|_| part != Part::None) else {
            return snapshot;
        };
        (snapshot.list_era, snapshot.list_revision) = (at.era, at.number);
        let listed: BTreeSet<_> = known.records.iter().map(|it| it.listed.address).collect();
        let is_listed = |it: &MemberEntry| it.listed().is_ok_and(|it| listed.contains(&it.address));
        snapshot.members.retain(|it| !is_listed(it));
        let asked = known.records.iter().filter(|it| part == Part::All || it.listed.pool.is_none());
        snapshot.members.extend(asked.map(|it| MemberEntry {
            name: it.name.clone(),
            revision: it.revision.number,
            ..MemberEntry::from(&it.listed)
        }));
        snapshot
    }

    fn lock(&self) -> MutexGuard<'_, Listing> {
        // Nothing panics while it is held.
        self.listing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The asker, if it can tell the list on.
fn asker(ask: &Question) -> Option<SocketAddrV4> {
    ask.asker.and_then(|it| SocketAddrV4::try_from(it).ok())
}
