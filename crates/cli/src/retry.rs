//! Pauses between attempts, until a deadline.

use std::time::Duration;

use rand::Rng as _;
use tokio::time::{Instant, sleep};

const FIRST_PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE: Duration = Duration::from_secs(2);
const MIN_ATTEMPT: Duration = Duration::from_secs(1);

/// Attempts of one operation.
#[derive(Clone, Debug)]
pub struct Retry {
    deadline: Instant,
    pause: Duration,
}

impl Retry {
    /// Attempts that end after `timeout`.
    pub fn new(timeout: Duration) -> Retry {
        Retry { deadline: Instant::now() + timeout, pause: FIRST_PAUSE }
    }

    /// How long the next attempt may take: half of what is left, so that another can follow one that hangs.
    pub fn limit(&self) -> Duration {
        let left = self.left();
        left.min(MIN_ATTEMPT).max(left / 2)
    }

    /// Waits before the next attempt, at least for `after` when the platform named a time. False when no time is left.
    pub async fn pause(&mut self, after: Option<Duration>) -> bool {
        let jitter = rand::rng().random_range(0.5..1.0);
        let pause = self.pause.mul_f64(jitter).max(after.unwrap_or_default());
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        if pause >= self.left() {
            return false;
        }
        sleep(pause).await;
        true
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
