//! Counters and gauges of an upstream since its start.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Run counts of a non-idempotent request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Number of runs started.
    pub started: u64,
    /// Number of runs completed.
    pub finished: u64,
}

/// Counters and gauges, as returned by `GET /record`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// Name of the upstream.
    pub name: String,
    /// Pool of the upstream.
    pub pool: String,
    /// Runs of non-idempotent requests by idempotency key.
    pub keys: BTreeMap<String, Runs>,
    /// Runs of non-idempotent requests by the agent's request id.
    pub requests: BTreeMap<String, Runs>,
    /// Requests by the service that the agent named, including rejected ones.
    pub services: BTreeMap<String, u64>,
    /// Requests for a service that this upstream does not allow.
    pub foreign: u64,
    /// Requests started.
    pub started: u64,
    /// Requests completed.
    pub finished: u64,
    /// Requests whose connection was closed before completion.
    pub cancelled: u64,
    /// Requests whose deadline passed before completion.
    pub expired: u64,
    /// Requests rejected without being run, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Injected faults: requests that ran and got a closed connection instead of a response.
    pub lost: u64,
    /// Injected faults: truncated responses.
    pub cut: u64,
    /// Injected faults: delayed responses.
    pub late: u64,
    /// Busy slots.
    pub busy: Gauge,
    /// Requests waiting for a slot.
    pub waiting: Gauge,
    /// Open feeds.
    pub feeds: Gauge,
    /// Open connections.
    pub connections: Gauge,
    /// Milliseconds since the start.
    pub uptime_ms: u64,
}

/// A gauge with its peak and its integral over time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gauge {
    /// Current value.
    pub now: u64,
    /// Highest value.
    pub peak: u64,
    /// Integral over time, in units times milliseconds.
    pub sum_ms: f64,
    #[serde(skip)]
    updated: Option<Instant>,
}

impl Gauge {
    pub(super) fn increment(&mut self, now: Instant) {
        self.advance(now);
        self.now += 1;
        self.peak = self.peak.max(self.now);
    }

    pub(super) fn decrement(&mut self, now: Instant) {
        self.advance(now);
        self.now -= 1;
    }

    /// Updates the integral up to `now`.
    pub(super) fn advance(&mut self, now: Instant) {
        if let Some(updated) = self.updated {
            let since_ms = now.duration_since(updated).as_secs_f64() * 1e3;
            self.sum_ms += self.now as f64 * since_ms;
        }
        self.updated = Some(now);
    }
}

impl Record {
    pub(super) fn advance(&mut self, now: Instant) {
        for gauge in [&mut self.busy, &mut self.waiting, &mut self.feeds, &mut self.connections] {
            gauge.advance(now);
        }
    }

    pub(super) fn count_rejected(&mut self, reason: &str) {
        *self.refused.entry(reason.to_owned()).or_default() += 1;
    }
}
