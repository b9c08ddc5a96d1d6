//! Metrics of the agent.

use std::sync::LazyLock;

use prometheus::{Histogram, IntCounterVec, IntGauge};

use crate::metrics;

/// Encapsulated datagrams by outcome.
pub(crate) static DATAGRAMS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counter("agent_datagrams_total", "Encapsulated datagrams by outcome", "outcome")
});

/// Flows by outcome.
pub(crate) static FLOWS: LazyLock<IntCounterVec> =
    LazyLock::new(|| metrics::counter("agent_flows_total", "Flows by outcome", "outcome"));

/// Requests by outcome.
pub(crate) static REQUESTS: LazyLock<IntCounterVec> =
    LazyLock::new(|| metrics::counter("agent_requests_total", "Requests by outcome", "outcome"));

/// Attempts to run a request at the upstream or another agent, by outcome.
pub(crate) static ATTEMPTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counter("agent_attempts_total", "Attempts to run a request by outcome", "outcome")
});

/// Number of open flows.
pub(crate) static OPEN_FLOWS: LazyLock<IntGauge> =
    LazyLock::new(|| metrics::gauge("agent_flows", "Flows held"));

/// Number of slots in use.
pub(crate) static BUSY_SLOTS: LazyLock<IntGauge> =
    LazyLock::new(|| metrics::gauge("agent_busy", "Requests that run or wait for a slot"));

/// Time from the head of a request to the head of its response.
pub(crate) static RESPONSE_SECONDS: LazyLock<Histogram> = LazyLock::new(|| {
    metrics::histogram("agent_answer_seconds", "Time from a request's head to the answer's head")
});

/// Increments the counter of `outcome`.
pub(crate) fn count(counter: &IntCounterVec, outcome: &str) {
    counter.with_label_values(&[outcome]).inc();
}
