//! When the watchers of a topic in the store begin new calls.
//!
//! A call that waits on a connection that has gone silent looks like one without news. The first watcher therefore makes
//! short calls and notifies the others of each answer. The others make long calls, and begin new ones on new connections
//! once no watcher has had an answer for too long.

/// Interval between two answers of the store to the watchers of a topic.
const ANSWER_INTERVAL_MS: u64 = 2_000;
/// Duration of a call without news, while another watcher gets answers.
const LONG_CALL_MS: u64 = 20_000;
/// Time for an answer and the notification of it to arrive.
const NOTIFICATION_MS: u64 = 300;
/// Time without an answer to another watcher after which none is to be expected.
const PEER_TIMEOUT_MS: u64 = ANSWER_INTERVAL_MS + NOTIFICATION_MS;
/// Additional time for each preceding watcher, so that not all begin new calls at once.
const RANK_DELAY_MS: u64 = 100;

/// A watch call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchCall {
    /// Time at which it began.
    pub begun_ms: u64,
    /// Time after which the store answers even without news.
    pub wait_ms: u64,
    /// Position of its watcher among the watchers.
    pub rank: usize,
}

/// The latest answers of the store to the watchers of a topic, as known to one of them. Times are in milliseconds, on
/// any clock that never jumps.
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchSchedule {
    /// Latest answer to any watcher.
    answered_ms: Option<u64>,
    /// Latest answer to another watcher.
    peer_answered_ms: Option<u64>,
}

impl WatchSchedule {
    /// Records an answer to this watcher.
    pub fn record_answer(&mut self, at_ms: u64) {
        self.answered_ms = self.answered_ms.max(Some(at_ms));
    }

    /// Records an answer to another watcher, which has notified this one.
    pub fn record_peer_answer(&mut self, at_ms: u64) {
        self.peer_answered_ms = self.peer_answered_ms.max(Some(at_ms));
        self.record_answer(at_ms);
    }

    /// Returns the next call of the watcher of this rank; the first watcher has rank 0.
    pub fn next_call(&self, rank: usize, now_ms: u64) -> WatchCall {
        let peers_answered =
            self.peer_answered_ms.is_some_and(|it| now_ms.saturating_sub(it) <= PEER_TIMEOUT_MS);
        let wait_ms = if rank > 0 && peers_answered { LONG_CALL_MS } else { ANSWER_INTERVAL_MS };
        WatchCall { begun_ms: now_ms, wait_ms, rank }
    }

    /// Time at which a new call replaces this one, unless a watcher gets an answer before; `None` for a short call, whose
    /// own time-out comes soon enough.
    pub fn renewal_ms(&self, call: &WatchCall) -> Option<u64> {
        let since_ms = self.answered_ms.unwrap_or_default().max(call.begun_ms);
        let allowed_ms = PEER_TIMEOUT_MS + call.rank as u64 * RANK_DELAY_MS;
        (call.wait_ms > ANSWER_INTERVAL_MS).then_some(since_ms + allowed_ms)
    }

    /// Time since the latest answer to any watcher; `None` if there was none.
    pub fn unanswered_ms(&self, now_ms: u64) -> Option<u64> {
        self.answered_ms.map(|it| now_ms.saturating_sub(it))
    }
}
