//! What an upstream got and ran, since its start.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// How often a non-idempotent request ran.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runs {
    /// Starts.
    pub started: u64,
    /// Runs whose work was done.
    pub finished: u64,
}

/// The record, as `GET /record` tells it.
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
    /// Requests by the service that the agent named, refused ones too.
    pub services: BTreeMap<String, u64>,
    /// Requests of a service that is not allowed here.
    pub foreign: u64,
    /// Requests started.
    pub started: u64,
    /// Requests whose work was done.
    pub finished: u64,
    /// Requests whose connection was closed before the work was done.
    pub cancelled: u64,
    /// Requests whose deadline passed before the work was done.
    pub expired: u64,
    /// Requests refused as not run, by reason.
    pub refused: BTreeMap<String, u64>,
    /// Requests that ran and whose connection was closed on purpose instead of an answer.
    pub lost: u64,
    /// Answers that broke off on purpose.
    pub cut: u64,
    /// Answers held back on purpose.
    pub late: u64,
    /// Busy slots over time.
    pub busy: Gauge,
    /// Requests waiting for a slot over time.
    pub waiting: Gauge,
    /// Open feeds over time.
    pub feeds: Gauge,
    /// Connections over time.
    pub connections: Gauge,
    /// Milliseconds since the start.
    pub uptime_ms: u64,
}

/// A number that goes up and down, with its integral over time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Gauge {
    /// The number now.
    pub now: u64,
    /// Its highest value.
    pub peak: u64,
    /// Its integral over the milliseconds since the start.
    pub sum_ms: f64,
    #[serde(skip)]
    changed: Option<Instant>,
}

impl Gauge {
    /// Adds one.
    pub(super) fn enter(&mut self, now: Instant) {
        self.advance(now);
        self.now += 1;
        self.peak = self.peak.max(self.now);
    }

    /// Takes one away.
    pub(super) fn leave(&mut self, now: Instant) {
        self.advance(now);
        self.now -= 1;
    }

    /// Brings the integral up to now.
    pub(super) fn advance(&mut self, now: Instant) {
        if let Some(changed) = self.changed {
            let since_ms = now.duration_since(changed).as_secs_f64() * 1e3;
            self.sum_ms += self.now as f64 * since_ms;
        }
        self.changed = Some(now);
    }
}

impl Record {
    pub(super) fn advance(&mut self, now: Instant) {
        for gauge in [&mut self.busy, &mut self.waiting, &mut self.feeds, &mut self.connections] {
            gauge.advance(now);
        }
    }

    pub(super) fn refuse(&mut self, reason: &str) {
        *self.refused.entry(reason.to_owned()).or_default() += 1;
    }
}
