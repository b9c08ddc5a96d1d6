//! Times of the watch calls of this process, which depend on the store's answers to other watchers.

use std::time::Duration;

use camphorwinch_core::opaque::watch_schedule::{WatchCall, WatchSchedule};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

use crate::{event::Id, metrics};

/// When this process makes its watch calls.
pub(super) struct WatchTimer {
    schedule: WatchSchedule,
    /// Time of the store's latest answer to another watcher.
    peer_answers: watch::Receiver<Option<Instant>>,
    origin: Instant,
}

impl WatchTimer {
    pub(super) fn new(peer_answers: watch::Receiver<Option<Instant>>) -> WatchTimer {
        let (schedule, origin) = (WatchSchedule::default(), Instant::now());
        WatchTimer { schedule, peer_answers, origin }
    }

    fn elapsed_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    pub(super) fn record_answer(&mut self) {
        self.schedule.record_answer(self.elapsed_ms());
    }

    fn record_peer_answer(&mut self) {
        let answered = *self.peer_answers.borrow_and_update();
        if let Some(since) = answered.map(|it| it.saturating_duration_since(self.origin)) {
            self.schedule.record_peer_answer(since.as_millis() as u64);
        }
    }

    pub(super) fn next_call(&mut self, rank: usize) -> WatchCall {
        self.record_peer_answer();
        self.schedule.next_call(rank, self.elapsed_ms())
    }

    /// Returns once a new call has to replace this one.
    pub(super) async fn renewal_due(&mut self, call: &WatchCall) {
        loop {
            let Some(due_ms) = self.schedule.renewal_ms(call) else {
                return std::future::pending().await;
            };
            let due = self.origin + Duration::from_millis(due_ms);
            tokio::select! {
                () = sleep_until(due) => return,
                Ok(()) = self.peer_answers.changed() => self.record_peer_answer(),
            }
        }
    }

    /// Logs that a new call replaces this one.
    pub(super) fn log_renewal(&self, step: &'static str, call: &WatchCall) {
        let now_ms = self.elapsed_ms();
        let id = Id::WatchRenewed;
        tracing::warn!(
            id = id as u16,
            name = id.name(),
            step,
            rank = call.rank,
            waited_ms = now_ms.saturating_sub(call.begun_ms),
            unanswered_ms = self.schedule.unanswered_ms(now_ms),
        );
        metrics::STORE_CALLS.with_label_values(&[step, "renewed"]).inc();
    }
}
