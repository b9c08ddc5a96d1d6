//! Statistics of a load run.

use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::{
    flow::{Flow, FlowEnd, RequestResult},
    outcome::{FailureReason, Outcome, UnknownReason},
    request::{CallerRequest, RequestKind},
};

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_INCIDENTS: usize = 20_000;

/// Counts of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests sent, counting each attempt.
    pub requests: u64,
    /// Complete responses.
    pub whole: u64,
    /// Requests rejected as not run.
    pub refused: u64,
    /// Requests of unknown outcome.
    pub unknown: u64,
    /// Failed requests.
    pub failed: u64,
    /// Failed requests with a response from another service.
    pub strays: u64,
    /// Failed requests with a response to another request.
    pub crossed: u64,
}

/// One attempt of a request that is not idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Idempotency key.
    pub key: String,
    /// Token of the attempt.
    pub token: String,
    /// Service called.
    pub service: String,
    /// Outcome reported to the caller.
    pub outcome: Outcome,
}

/// A broken flow or failed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incident {
    /// Time of the incident, since the start of the run.
    pub at: Duration,
    /// Time at which the flow or request started.
    pub started_at: Duration,
    /// Kind of the incident.
    pub kind: IncidentKind,
    /// Service.
    pub service: String,
    /// Flow number, 0 if there was none.
    pub flow: u64,
    /// Agent that held the flow, if known.
    pub agent: Option<String>,
    /// Agent whose upstream ran the request, if known.
    pub upstream: Option<String>,
    /// Details.
    pub text: String,
}

/// Kind of an incident.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IncidentKind {
    /// A flow broke.
    BrokenFlow,
    /// A request failed.
    Failed(RequestKind, FailureReason),
}

#[derive(Debug, Default)]
struct Inner {
    counts: BTreeMap<RequestKind, Counts>,
    latency: BTreeMap<RequestKind, Option<Histogram<u64>>>,
    attempts: Vec<Attempt>,
    incidents: Vec<Incident>,
    flows: u64,
    refused: u64,
    unopened: u64,
    graceful: u64,
    broken: u64,
    held: u64,
    peak: u64,
}

/// Statistics of a run, shared by all its callers.
#[derive(Debug)]
pub struct LoadStats {
    start: Instant,
    inner: Mutex<Inner>,
}

/// Counts of flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowCounts {
    /// Flows established.
    pub flows: u64,
    /// Flows refused by the peer.
    pub refused: u64,
    /// Flows that failed to open for another reason.
    pub unopened: u64,
    /// Flows closed gracefully by the peer.
    pub graceful: u64,
    /// Flows that broke.
    pub broken: u64,
    /// Flows open now.
    pub held: u64,
    /// Maximum number of open flows.
    pub peak: u64,
}

/// Latency of complete responses in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

impl Default for LoadStats {
    fn default() -> LoadStats {
        LoadStats::new()
    }
}

impl LoadStats {
    /// Creates empty statistics; the clock starts now.
    pub fn new() -> LoadStats {
        LoadStats { start: Instant::now(), inner: Mutex::default() }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Records an established flow.
    pub fn flow_opened(&self) {
        let mut inner = self.inner.lock();
        inner.flows += 1;
        inner.held += 1;
        inner.peak = inner.peak.max(inner.held);
    }

    /// Records a refused flow.
    pub fn flow_refused(&self) {
        self.inner.lock().refused += 1;
    }

    /// Records a flow that failed to open.
    pub fn flow_open_failed(&self) {
        self.inner.lock().unopened += 1;
    }

    /// Records the end of a flow that was opened at `started_at`.
    pub fn flow_ended(&self, flow: &Flow, started_at: Duration, end: &FlowEnd) {
        let at = self.now();
        let mut inner = self.inner.lock();
        inner.held -= 1;
        match end {
            FlowEnd::Caller => {}
            FlowEnd::Graceful => inner.graceful += 1,
            FlowEnd::Broken(text) => {
                inner.broken += 1;
                inner.push_incident(Incident {
                    at,
                    started_at,
                    kind: IncidentKind::BrokenFlow,
                    service: flow.service().to_owned(),
                    flow: flow.id,
                    agent: flow.agent(),
                    upstream: None,
                    text: text.clone(),
                });
            }
        }
    }

    /// Records the result of a request that was sent at `started_at`.
    pub fn request_finished(
        &self,
        flow: &Flow,
        request: &CallerRequest,
        result: &RequestResult,
        started_at: Duration,
    ) {
        let at = self.now();
        let mut inner = self.inner.lock();
        if result.outcome == Outcome::NotSent {
            return;
        }
        inner.count(request.kind, &result.outcome);
        if result.outcome == Outcome::Complete {
            inner.record_latency(request, result.latency);
        }
        if let (false, Some(key)) = (request.kind.idempotent(), &request.key) {
            inner.attempts.push(Attempt {
                key: key.clone(),
                token: request.token.clone(),
                service: flow.service().to_owned(),
                outcome: result.outcome.clone(),
            });
        }
        if let Outcome::Failed(reason) = &result.outcome {
            inner.push_incident(Incident {
                at,
                started_at,
                kind: IncidentKind::Failed(request.kind, reason.clone()),
                service: flow.service().to_owned(),
                flow: flow.id,
                agent: flow.agent(),
                upstream: result.upstream.clone(),
                text: reason.to_string(),
            });
        }
    }

    /// Records a request that failed because no flow could be opened.
    pub fn request_without_flow(
        &self,
        request: &CallerRequest,
        service: &str,
        started_at: Duration,
        text: &str,
    ) {
        let at = self.now();
        let reason = FailureReason::NoFlow(text.to_owned());
        let mut inner = self.inner.lock();
        inner.count(request.kind, &Outcome::Failed(reason.clone()));
        inner.push_incident(Incident {
            at,
            started_at,
            kind: IncidentKind::Failed(request.kind, reason),
            service: service.to_owned(),
            flow: 0,
            agent: None,
            upstream: None,
            text: text.to_owned(),
        });
    }

    /// Counts over all request kinds.
    pub fn total(&self) -> Counts {
        let inner = self.inner.lock();
        let mut total = Counts::default();
        for counts in inner.counts.values() {
            total.add(counts);
        }
        total
    }

    /// Counts by request kind.
    pub fn counts_by_kind(&self) -> BTreeMap<RequestKind, Counts> {
        self.inner.lock().counts.clone()
    }

    /// Counts of flows.
    pub fn flows(&self) -> FlowCounts {
        let inner = self.inner.lock();
        FlowCounts {
            flows: inner.flows,
            refused: inner.refused,
            unopened: inner.unopened,
            graceful: inner.graceful,
            broken: inner.broken,
            held: inner.held,
            peak: inner.peak,
        }
    }

    /// Latency by kind, without the expected duration of each request.
    pub fn latency_by_kind(&self) -> BTreeMap<RequestKind, Latency> {
        let inner = self.inner.lock();
        let mut all = BTreeMap::new();
        for (&kind, histogram) in &inner.latency {
            let Some(histogram) = histogram else { continue };
            all.insert(kind, quantiles(histogram));
        }
        all
    }

    /// Latency over all kinds, without the expected duration of each request.
    pub fn overall_latency(&self) -> Latency {
        let inner = self.inner.lock();
        let Some(mut sum) = histogram() else { return Latency::default() };
        for histogram in inner.latency.values().flatten() {
            let _ = sum.add(histogram);
        }
        quantiles(&sum)
    }

    /// Attempts of requests that are not idempotent.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.inner.lock().attempts.clone()
    }

    /// Incidents, oldest first.
    pub fn incidents(&self) -> Vec<Incident> {
        self.inner.lock().incidents.clone()
    }
}

impl Inner {
    fn count(&mut self, kind: RequestKind, outcome: &Outcome) {
        let counts = self.counts.entry(kind).or_default();
        counts.requests += 1;
        match outcome {
            Outcome::Complete => counts.whole += 1,
            Outcome::NotRun => counts.refused += 1,
            Outcome::Unknown(UnknownReason::Reported | UnknownReason::FlowLost) => {
                counts.unknown += 1
            }
            Outcome::Failed(reason) => counts.count_failure(reason),
            Outcome::NotSent => counts.requests -= 1,
        }
    }

    fn record_latency(&mut self, request: &CallerRequest, latency: Duration) {
        let histogram = self.latency.entry(request.kind).or_insert_with(histogram);
        let Some(histogram) = histogram else { return };
        let overhead = latency.saturating_sub(request.expected_duration);
        histogram.saturating_record(overhead.as_micros() as u64);
    }

    fn push_incident(&mut self, incident: Incident) {
        if self.incidents.len() < MAX_INCIDENTS {
            self.incidents.push(incident);
        }
    }
}

impl Counts {
    fn count_failure(&mut self, reason: &FailureReason) {
        self.failed += 1;
        match reason {
            FailureReason::WrongService(_) => self.strays += 1,
            FailureReason::WrongRequest(_) => self.crossed += 1,
            FailureReason::Truncated(_)
            | FailureReason::Status(_)
            | FailureReason::Timeout
            | FailureReason::Corrupt(_)
            | FailureReason::NoFlow(_) => {}
        }
    }

    fn add(&mut self, other: &Counts) {
        self.requests += other.requests;
        self.whole += other.whole;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.failed += other.failed;
        self.strays += other.strays;
        self.crossed += other.crossed;
    }
}

fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok()
}

fn quantiles(histogram: &Histogram<u64>) -> Latency {
    let ms = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    Latency { p50_ms: ms(0.5), p99_ms: ms(0.99) }
}

impl fmt::Display for Incident {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unknown = || "?".to_owned();
        write!(f, "{:.3} s: {} flow {}", self.at.as_secs_f64(), self.service, self.flow)?;
        write!(f, " at agent {}", self.agent.clone().unwrap_or_else(unknown))?;
        match &self.kind {
            IncidentKind::BrokenFlow => write!(f, " broke: {}", self.text),
            IncidentKind::Failed(kind, _) => {
                let upstream = self.upstream.clone().unwrap_or_else(unknown);
                write!(f, ": {} run by {upstream}: {}", kind.as_str(), self.text)
            }
        }
    }
}
