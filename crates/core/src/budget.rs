//! Retry budget: limits retries to a share of the requests, so that they can't amplify an overload.

/// Burst size; lets a service with few requests retry.
const MAX_TOKENS: f64 = 10.0;
const REFILL_PER_S: f64 = 1.0;

/// A token bucket: each request adds `share` tokens, each retry takes one.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    share: f64,
    updated_ms: u64,
}

impl RetryBudget {
    /// Creates a full budget; `share` is the number of retries allowed per request.
    pub fn new(share: f64, now: u64) -> RetryBudget {
        RetryBudget { tokens: MAX_TOKENS, share, updated_ms: now }
    }

    /// Sets the number of retries allowed per request.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Adds the share of one request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes one retry from the budget; false if it is exhausted.
    pub fn withdraw(&mut self, now: u64) -> bool {
        let elapsed_s = now.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.updated_ms = self.updated_ms.max(now);
        if self.share > 0.0 {
            self.tokens = (self.tokens + elapsed_s * REFILL_PER_S).min(MAX_TOKENS);
        }
        if self.share <= 0.0 || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
