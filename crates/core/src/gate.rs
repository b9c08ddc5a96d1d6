//! Back-off towards an upstream that refuses: closed after refusals, tried again by one request at a time.

const FIRST_MS: u64 = 20;
const LONGEST_MS: u64 = 1_000;
/// A probe that has not reported by then no longer holds others back.
const PROBE_MS: u64 = 1_000;

/// Whether requests are sent to an upstream at all. What counts is how it answered requests, not what it says of
/// itself.
#[derive(Clone, Debug, Default)]
pub struct Gate {
    wait: u64,
    until: u64,
    probe: Option<u64>,
    since: Option<u64>,
}

impl Gate {
    /// An open gate.
    pub fn new() -> Gate {
        Gate::default()
    }

    /// Whether a request would be let through, without letting one through.
    pub fn is_open(&self, now: u64) -> bool {
        self.wait == 0 || (now >= self.until && !self.probing(now))
    }

    /// Lets a request through, or not. While the gate opens again only one probes.
    pub fn pass(&mut self, now: u64) -> bool {
        if !self.is_open(now) {
            return false;
        }
        if self.wait > 0 {
            self.probe = Some(now);
        }
        true
    }

    /// The upstream took a request.
    pub fn taken(&mut self) {
        *self = Gate::default();
    }

    /// The upstream refused a request, or could not be reached.
    pub fn refused(&mut self, now: u64) {
        self.probe = None;
        if now < self.until {
            return;
        }
        self.wait = (self.wait * 2).clamp(FIRST_MS, LONGEST_MS);
        self.until = now + self.wait;
        self.since.get_or_insert(now);
    }

    /// A request that was let through ended without telling anything about the upstream.
    pub fn dropped(&mut self) {
        self.probe = None;
    }

    /// For how long the upstream has refused everything, in milliseconds.
    pub fn closed_for(&self, now: u64) -> u64 {
        self.since.map_or(0, |it| now.saturating_sub(it))
    }

    fn probing(&self, now: u64) -> bool {
        self.probe.is_some_and(|it| now < it + PROBE_MS)
    }
}
