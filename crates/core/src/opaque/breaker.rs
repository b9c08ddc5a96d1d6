//! A circuit breaker for an upstream that resets requests.
//!
//! An upstream may say that it is well, take flows and reset each of them at its first request. Its load is then low, so
//! it would draw flows from those that serve. Its agent sees the resets: from three in a row on new flows go elsewhere
//! along their walk, as long as another agent takes them. Now and then one flow is let through to see whether requests
//! are answered again. It is one whose request the caller may send again; others come only after a longer pause.
//!
//! With a tenth of the upstreams resetting, one in eight single requests fails without it and one in two hundred with it
//! (model of a fleet, `callers_are_kept_from_upstreams_that_reset_requests`).

/// Weight of the newest request in the share of those that were reset: some ten requests settle it.
const WEIGHT: f64 = 0.2;
/// Share of resets from which the breaker opens: three in a row do, one in five does not. An upstream that resets half of
/// its requests is found out within some ten of them.
const OPEN_SHARE: f64 = 0.4;
/// Trials in a row that are answered before it closes: an upstream that resets every second request rarely does so.
const TRIALS: u32 = 3;
/// Share of resets that is assumed when it closes: one more at once opens it again.
const CLOSE_SHARE: f64 = 0.25;
/// Pause before the first trial, in milliseconds: a process that ends and starts again takes about as long.
const FIRST_PAUSE_MS: u64 = 500;
/// Longest pause between two trials, in milliseconds: each may cost a caller a request, and an upstream that is well
/// again is missed for this long at the most.
const LONGEST_PAUSE_MS: u64 = 8_000;

/// What a request's end changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// Nothing.
    None,
    /// New flows go elsewhere from now on.
    Opened,
    /// New flows are taken again.
    Closed,
}

/// State of the breaker.
#[derive(Clone, Debug, Default)]
pub(super) struct Breaker {
    /// Share of resets among the last requests.
    share: f64,
    open: bool,
    /// Trials in a row that were answered.
    trials: u32,
    pause_ms: u64,
    trial_ms: u64,
}

impl Breaker {
    /// The upstream answered a request.
    pub(super) fn answered(&mut self, now_ms: u64) -> Turn {
        self.share -= self.share * WEIGHT;
        if !self.open {
            return Turn::None;
        }
        self.pause_ms = FIRST_PAUSE_MS;
        self.trial_ms = now_ms;
        self.trials += 1;
        if self.trials < TRIALS {
            return Turn::None;
        }
        self.open = false;
        self.share = CLOSE_SHARE;
        Turn::Closed
    }

    /// The upstream reset a flow with a request in progress.
    pub(super) fn reset(&mut self, now_ms: u64) -> Turn {
        self.share += (1.0 - self.share) * WEIGHT;
        self.trials = 0;
        if self.open || self.share < OPEN_SHARE {
            return Turn::None;
        }
        self.open = true;
        self.pause_ms = FIRST_PAUSE_MS;
        self.trial_ms = now_ms + FIRST_PAUSE_MS;
        Turn::Opened
    }

    /// Whether the upstream may get a new flow as others do; `idempotent` says whether callers may send the flow's
    /// requests again.
    pub(super) fn lets_through(&self, idempotent: bool, now_ms: u64) -> bool {
        let due_ms = if idempotent { self.trial_ms } else { self.trial_ms + LONGEST_PAUSE_MS };
        !self.open || now_ms >= due_ms
    }

    /// A flow went to the upstream. While the breaker is open that is a trial, and the next one comes later.
    pub(super) fn accepted(&mut self, now_ms: u64) {
        if !self.open {
            return;
        }
        self.trial_ms = self.trial_ms.max(now_ms + self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(LONGEST_PAUSE_MS);
    }
}
