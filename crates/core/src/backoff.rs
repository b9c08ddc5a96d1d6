//! Backoff for an upstream that refuses requests: rejects requests after a refusal until a probe request succeeds.

const MIN_BACKOFF_MS: u64 = 20;
const MAX_BACKOFF_MS: u64 = 1_000;
/// A probe without a result after this time no longer blocks other requests.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Decides whether requests are sent to an upstream, based on the results of earlier requests.
#[derive(Clone, Debug, Default)]
pub struct UpstreamBackoff {
    backoff_ms: u64,
    backoff_until: u64,
    probe_sent: Option<u64>,
    first_refusal: Option<u64>,
}

impl UpstreamBackoff {
    /// Creates the state of an upstream without refusals.
    pub fn new() -> UpstreamBackoff {
        UpstreamBackoff::default()
    }

    /// Whether a request would be admitted; does not count as one.
    pub fn admits(&self, now: u64) -> bool {
        self.backoff_ms == 0 || (now >= self.backoff_until && !self.probing(now))
    }

    /// Admits or rejects a request. After a backoff only one request is admitted, as a probe.
    pub fn admit(&mut self, now: u64) -> bool {
        if !self.admits(now) {
            return false;
        }
        if self.backoff_ms > 0 {
            self.probe_sent = Some(now);
        }
        true
    }

    /// Records that the upstream accepted a request; ends the backoff.
    pub fn record_success(&mut self) {
        *self = UpstreamBackoff::default();
    }

    /// Records that the upstream refused a request or was unreachable.
    pub fn record_refusal(&mut self, now: u64) {
        self.probe_sent = None;
        if now < self.backoff_until {
            return;
        }
        self.backoff_ms = (self.backoff_ms * 2).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        self.backoff_until = now + self.backoff_ms;
        self.first_refusal.get_or_insert(now);
    }

    /// Records that an admitted request ended without a result.
    pub fn record_abandoned(&mut self) {
        self.probe_sent = None;
    }

    /// Time since the first refusal after the last accepted request, in milliseconds.
    pub fn refused_for_ms(&self, now: u64) -> u64 {
        self.first_refusal.map_or(0, |it| now.saturating_sub(it))
    }

    fn probing(&self, now: u64) -> bool {
        self.probe_sent.is_some_and(|it| now < it + PROBE_TIMEOUT_MS)
    }
}
