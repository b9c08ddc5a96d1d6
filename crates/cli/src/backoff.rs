//! Exponential backoff with jitter between retries, up to a deadline.

use std::time::Duration;

use rand::Rng as _;
use tokio::time::{Instant, sleep};

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry schedule of one operation.
#[derive(Clone, Debug)]
pub struct Backoff {
    deadline: Instant,
    delay: Duration,
}

impl Backoff {
    /// A schedule that ends after `timeout`.
    pub fn new(timeout: Duration) -> Backoff {
        Backoff { deadline: Instant::now() + timeout, delay: INITIAL_BACKOFF }
    }

    /// Timeout of the next attempt: half of the remaining time, which leaves time to retry one that hangs.
    pub fn attempt_timeout(&self) -> Duration {
        let remaining = self.remaining();
        remaining.min(MIN_ATTEMPT_TIMEOUT).max(remaining / 2)
    }

    /// Waits before the next attempt, at least for `retry_after`. Returns false when the deadline would pass first.
    pub async fn wait(&mut self, retry_after: Option<Duration>) -> bool {
        let jitter = rand::rng().random_range(0.5..1.0);
        let delay = self.delay.mul_f64(jitter).max(retry_after.unwrap_or_default());
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
        if delay >= self.remaining() {
            return false;
        }
        sleep(delay).await;
        true
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
