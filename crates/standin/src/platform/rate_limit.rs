//! Rate limit of API calls.

use std::time::Instant;

/// Token bucket with a burst of one second of calls.
#[derive(Clone, Debug)]
pub(super) struct RateLimiter {
    tokens: Option<f64>,
    refilled_at: Instant,
}

impl RateLimiter {
    pub(super) fn new(now: Instant) -> RateLimiter {
        RateLimiter { tokens: None, refilled_at: now }
    }

    /// Takes a token if one is available; no rate means no limit.
    pub(super) fn try_acquire(&mut self, now: Instant, rate_per_s: Option<f64>) -> bool {
        let Some(rate) = rate_per_s else {
            self.tokens = None;
            return true;
        };
        let capacity = rate.max(1.0);
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        let tokens = self.tokens.map_or(capacity, |it| (it + elapsed_s * rate).min(capacity));
        self.refilled_at = now;
        let allowed = tokens >= 1.0;
        self.tokens = Some(if allowed { tokens - 1.0 } else { tokens });
        allowed
    }
}
