//! Budget of retries: a share of the requests, so that retries can't multiply an overload.

/// Retries allowed beyond the share, so that a quiet service may retry at all.
const RESERVE: f64 = 10.0;
/// Reserve that comes back per second.
const REFILL_PER_S: f64 = 1.0;

/// A token bucket: each request puts in the service's share, each retry takes out one.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    share: f64,
    at: u64,
}

impl Budget {
    /// A full budget; `share` is the number of retries allowed per request.
    pub fn new(share: f64, now: u64) -> Budget {
        Budget { tokens: RESERVE, share, at: now }
    }

    /// Changes the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Counts a request.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(RESERVE);
    }

    /// Takes out one retry; false if the budget is spent.
    pub fn withdraw(&mut self, now: u64) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1_000.0;
        self.at = self.at.max(now);
        if self.share > 0.0 {
            self.tokens = (self.tokens + passed * REFILL_PER_S).min(RESERVE);
        }
        if self.share <= 0.0 || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
