//! Emits events for violated invariants.

use std::time::Duration;

use camphorwinch_core::invariant::{self, Invariant};
use tokio::time::{MissedTickBehavior, interval};

use crate::event::{self, EventId, EventSubject};

const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Violation counts already reported.
#[derive(Debug, Default)]
struct ReportedCounts {
    counts: [u64; Invariant::ALL.len()],
}

impl ReportedCounts {
    /// Returns the invariants violated since the last call and their number of violations.
    fn take_new<F>(&mut self, count: F) -> Vec<(Invariant, u64)>
    where
        F: Fn(Invariant) -> u64,
    {
        let mut violations = Vec::new();
        for (invariant, reported) in Invariant::ALL.into_iter().zip(&mut self.counts) {
            let now = count(invariant);
            if now > *reported {
                violations.push((invariant, now - *reported));
                *reported = now;
            }
        }
        violations
    }
}

/// Emits an event for each violated invariant until this future is dropped.
pub(crate) async fn run() {
    let mut reported = ReportedCounts::default();
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (invariant, times) in reported.take_new(invariant::violations) {
            event::emit(
                EventId::InvariantViolated,
                EventSubject::new(),
                &format!("{invariant}, {times} times"),
            );
        }
    }
}

#[cfg(test)]
mod tests;
