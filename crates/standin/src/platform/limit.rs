//! Limit on the rate of calls.

use std::time::Instant;

/// Token bucket that holds one second's worth of calls.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    tokens: Option<f64>,
    at: Instant,
}

impl Limit {
    pub(super) fn new(now: Instant) -> Limit {
        Limit { tokens: None, at: now }
    }

    /// Whether one more call fits the rate.
    pub(super) fn take(&mut self, now: Instant, rate: Option<f64>) -> bool {
        let Some(rate) = rate else {
            self.tokens = None;
            return true;
        };
        let most = rate.max(1.0);
        let since = now.duration_since(self.at).as_secs_f64();
        let tokens = self.tokens.map_or(most, |it| (it + since * rate).min(most));
        self.at = now;
        let fits = tokens >= 1.0;
        self.tokens = Some(if fits { tokens - 1.0 } else { tokens });
        fits
    }
}
