//! The rate limit of a cold upstream: so many new flows in any second, however many balancers send them.
//!
//! Only its agent sees them all, so it counts them, without a message to anybody. What is over goes on along its walk to
//! another upstream at once, and is refused at once if there is none: a cold upstream that gets more than it bears serves
//! nobody in time.

use std::collections::VecDeque;

/// The span in which flows are counted, in milliseconds.
const SPAN_MS: u64 = 1_000;

/// New flows of the last second, and how many a cold upstream bears.
#[derive(Clone, Debug, Default)]
pub(super) struct Warmup {
    rate: Option<u32>,
    accepted: VecDeque<u64>,
}

impl Warmup {
    /// Notes how many new flows a second a cold upstream bears; none if that is not bounded.
    pub(super) fn set_rate(&mut self, rate: Option<u32>) {
        self.rate = rate;
    }

    /// Whether a cold upstream may get another flow: fewer than it bears came in the second that ends now.
    pub(super) fn has_room(&self, now_ms: u64) -> bool {
        let Some(rate) = self.rate else {
            return true;
        };
        let recent = self.accepted.iter().rev().take_while(|&&it| now_ms <= it + SPAN_MS);
        recent.count() < rate as usize
    }

    /// The upstream got a flow. They are counted also while it is warm: it may say at any time that it is cold.
    pub(super) fn accepted(&mut self, now_ms: u64) {
        let Some(rate) = self.rate else {
            return;
        };
        self.accepted.push_back(now_ms);
        // The last ones decide; older ones need not be kept.
        while self.accepted.len() > rate as usize {
            self.accepted.pop_front();
        }
    }
}
