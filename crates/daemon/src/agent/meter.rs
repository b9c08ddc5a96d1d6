//! Metrics of the agent.

use std::sync::LazyLock;

use prometheus::{Histogram, IntCounterVec, IntGauge};

use crate::metrics;

/// Encapsulated datagrams by what became of them.
pub(crate) static DATAGRAMS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counter("agent_datagrams_total", "Encapsulated datagrams by outcome", "outcome")
});

/// Flows by what became of them.
pub(crate) static FLOWS: LazyLock<IntCounterVec> =
    LazyLock::new(|| metrics::counter("agent_flows_total", "Flows by outcome", "outcome"));

/// Requests by outcome.
pub(crate) static REQUESTS: LazyLock<IntCounterVec> =
    LazyLock::new(|| metrics::counter("agent_requests_total", "Requests by outcome", "outcome"));

/// Requests sent to the upstream or to another agent, by what became of the attempt.
pub(crate) static ATTEMPTS: LazyLock<IntCounterVec> = LazyLock::new(|| {
    metrics::counter("agent_attempts_total", "Attempts to run a request by outcome", "outcome")
});

/// Flows held.
pub(crate) static HELD: LazyLock<IntGauge> =
    LazyLock::new(|| metrics::gauge("agent_flows", "Flows held"));

/// Requests that run or wait for a slot.
pub(crate) static BUSY: LazyLock<IntGauge> =
    LazyLock::new(|| metrics::gauge("agent_busy", "Requests that run or wait for a slot"));

/// Time from a request's head to the answer's head.
pub(crate) static ANSWERED: LazyLock<Histogram> = LazyLock::new(|| {
    metrics::seconds("agent_answer_seconds", "Time from a request's head to the answer's head")
});

/// Counts one of `outcome`.
pub(crate) fn count(counter: &IntCounterVec, outcome: &str) {
    counter.with_label_values(&[outcome]).inc();
}
