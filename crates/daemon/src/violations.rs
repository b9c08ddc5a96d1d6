//! Tells of violated invariants in the log and the timeline.

use std::time::Duration;

use camphorwinch_core::invariant::{self, Invariant};
use tokio::time::{MissedTickBehavior, interval};

use crate::event::{self, About, Id};

/// Time between two looks at the counts.
const LOOK: Duration = Duration::from_secs(1);

/// Counts that have been told of.
#[derive(Debug, Default)]
struct Told {
    counts: [u64; Invariant::ALL.len()],
}

impl Told {
    /// Invariants violated since the last call, with how often.
    fn news<F>(&mut self, count: F) -> Vec<(Invariant, u64)>
    where
        F: Fn(Invariant) -> u64,
    {
        let mut news = Vec::new();
        for (invariant, told) in Invariant::ALL.into_iter().zip(&mut self.counts) {
            let now = count(invariant);
            if now > *told {
                news.push((invariant, now - *told));
                *told = now;
            }
        }
        news
    }
}

/// Emits an event for each invariant that is violated, until this future is dropped.
pub(crate) async fn follow() {
    let mut told = Told::default();
    let mut ticks = interval(LOOK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for (invariant, times) in told.news(invariant::violations) {
            event::emit(
                Id::InvariantViolated,
                About::new(),
                &format!("{invariant}, {times} times"),
            );
        }
    }
}

#[cfg(test)]
mod tests;
