//! Circuit breaker for an upstream that resets requests.
//!
//! An upstream that accepts flows but resets their requests has a low load, so it would attract more flows. While its
//! breaker is open, new flows go to other candidates if any accepts them. Trial flows are let through with exponential
//! backoff to check whether requests are answered again. Trials prefer flows with idempotent requests, which the caller
//! can retry. With a tenth of the upstreams resetting, one in eight single requests failed in a simulation without the
//! breaker and one in two hundred with it.

/// Weight of the newest request in the moving average of resets: some ten requests settle it.
const RESET_WEIGHT: f64 = 0.2;
/// Share of resets at which the breaker opens: three resets in a row reach it, one in five does not. An upstream that
/// resets half of its requests is found within some ten of them.
const OPEN_RESET_SHARE: f64 = 0.4;
/// Successful trials in a row after which the breaker closes: an upstream that resets every second request rarely
/// passes them.
const REQUIRED_TRIALS: u32 = 3;
/// Share of resets after closing: one more reset opens the breaker again.
const RESET_SHARE_AFTER_CLOSE: f64 = 0.25;
/// Delay before the first trial: a process that ends and starts again takes about as long.
const INITIAL_BACKOFF_MS: u64 = 500;
/// Longest delay between two trials, and extra delay for flows whose requests are not idempotent. Each trial may cost a
/// caller a request, and an upstream that has recovered is missed for this long at most.
const MAX_BACKOFF_MS: u64 = 8_000;

/// State change of the breaker caused by the outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    None,
    Opened,
    Closed,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Breaker {
    /// Moving average of the share of reset requests.
    reset_share: f64,
    open: bool,
    /// Successful trials in a row.
    successful_trials: u32,
    backoff_ms: u64,
    next_trial_ms: u64,
}

impl Breaker {
    pub(super) fn record_answer(&mut self, now_ms: u64) -> Transition {
        self.reset_share -= self.reset_share * RESET_WEIGHT;
        if !self.open {
            return Transition::None;
        }
        self.backoff_ms = INITIAL_BACKOFF_MS;
        self.next_trial_ms = now_ms;
        self.successful_trials += 1;
        if self.successful_trials < REQUIRED_TRIALS {
            return Transition::None;
        }
        self.open = false;
        self.reset_share = RESET_SHARE_AFTER_CLOSE;
        Transition::Closed
    }

    /// Records a reset of a flow with a request in progress.
    pub(super) fn record_reset(&mut self, now_ms: u64) -> Transition {
        self.reset_share += (1.0 - self.reset_share) * RESET_WEIGHT;
        self.successful_trials = 0;
        if self.open || self.reset_share < OPEN_RESET_SHARE {
            return Transition::None;
        }
        self.open = true;
        self.backoff_ms = INITIAL_BACKOFF_MS;
        self.next_trial_ms = now_ms + INITIAL_BACKOFF_MS;
        Transition::Opened
    }

    pub(super) fn is_open(&self) -> bool {
        self.open
    }

    /// Whether the upstream may get a new flow: the breaker is closed or a trial is due. `idempotent`: callers may
    /// retry the flow's requests.
    pub(super) fn allows(&self, idempotent: bool, now_ms: u64) -> bool {
        let due_ms =
            if idempotent { self.next_trial_ms } else { self.next_trial_ms + MAX_BACKOFF_MS };
        !self.open || now_ms >= due_ms
    }

    /// Records an accepted flow. While the breaker is open it is a trial, and the delay to the next one doubles.
    pub(super) fn record_accepted(&mut self, now_ms: u64) {
        if !self.open {
            return;
        }
        self.next_trial_ms = self.next_trial_ms.max(now_ms + self.backoff_ms);
        self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
}
