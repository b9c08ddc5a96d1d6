//! Rate limit of a cold upstream: a sliding window over its new flows.
//!
//! The agent enforces it, as it sees the flows from all balancers. Excess flows go to the next candidate,
//! or are refused if there is none.

use std::collections::VecDeque;

const WINDOW_MS: u64 = 1_000;

/// Sliding-window rate limiter for new flows.
#[derive(Clone, Debug, Default)]
pub(super) struct WarmupLimiter {
    rate: Option<u32>,
    accepted: VecDeque<u64>,
}

impl WarmupLimiter {
    /// Sets the limit in new flows per second; none is unlimited.
    pub(super) fn set_rate(&mut self, rate: Option<u32>) {
        self.rate = rate;
    }

    /// Whether a cold upstream may get another flow now.
    pub(super) fn has_room(&self, now_ms: u64) -> bool {
        let Some(rate) = self.rate else {
            return true;
        };
        let recent = self.accepted.iter().rev().take_while(|&&it| now_ms <= it + WINDOW_MS);
        recent.count() < rate as usize
    }

    /// Records an accepted flow, also while the upstream is warm, as it may become cold at any time.
    pub(super) fn record_accepted(&mut self, now_ms: u64) {
        let Some(rate) = self.rate else {
            return;
        };
        self.accepted.push_back(now_ms);
        // Only the last `rate` entries matter.
        while self.accepted.len() > rate as usize {
            self.accepted.pop_front();
        }
    }
}
