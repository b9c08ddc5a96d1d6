//! Counts of what callers saw.

use std::{
    collections::BTreeMap,
    fmt,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::{
    ask::{Ask, Kind},
    flow::{End, Flow, Reply},
    outcome::{Doubt, Flaw, Outcome},
};

const MAX_LATENCY_US: u64 = 600_000_000;
const DIGITS: u8 = 3;
const MAX_INCIDENTS: usize = 20_000;

/// Counts of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests sent, each attempt counted.
    pub requests: u64,
    /// Whole answers.
    pub whole: u64,
    /// Refusals that said "not run".
    pub refused: u64,
    /// Requests whose outcome nobody knows.
    pub unknown: u64,
    /// Everything else.
    pub failed: u64,
    /// Of the failed: answers from another service.
    pub strays: u64,
    /// Of the failed: answers to another request.
    pub crossed: u64,
}

/// One attempt of a request that is not idempotent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Idempotency key.
    pub key: String,
    /// Token of the attempt.
    pub token: String,
    /// Service asked.
    pub service: String,
    /// What the caller was told.
    pub outcome: Outcome,
}

/// Something that should not happen unless a fault explains it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incident {
    /// Time since the start of the run.
    pub at: Duration,
    /// When what it befell had begun.
    pub since: Duration,
    /// What happened.
    pub what: What,
    /// Service.
    pub service: String,
    /// Flow.
    pub flow: u64,
    /// Agent that held the flow, if it is known.
    pub agent: Option<String>,
    /// Agent whose upstream ran the request, if it is known.
    pub upstream: Option<String>,
    /// Details.
    pub text: String,
}

/// Kind of an incident.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// A flow broke.
    BrokenFlow,
    /// A request failed.
    Failed(Kind, Flaw),
}

#[derive(Debug, Default)]
struct Inner {
    counts: BTreeMap<Kind, Counts>,
    latency: BTreeMap<Kind, Option<Histogram<u64>>>,
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

/// Counts of a run, shared by all its callers.
#[derive(Debug)]
pub struct Tally {
    start: Instant,
    inner: Mutex<Inner>,
}

/// Counts of flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowCounts {
    /// Flows established.
    pub flows: u64,
    /// Attempts to open one that were refused.
    pub refused: u64,
    /// Attempts to open one that failed otherwise.
    pub unopened: u64,
    /// Flows that the far side closed gracefully.
    pub graceful: u64,
    /// Flows that broke.
    pub broken: u64,
    /// Flows held now.
    pub held: u64,
    /// Most flows held at once.
    pub peak: u64,
}

/// Latency of whole answers in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
}

impl Default for Tally {
    fn default() -> Tally {
        Tally::new()
    }
}

impl Tally {
    /// An empty tally; its clock starts now.
    pub fn new() -> Tally {
        Tally { start: Instant::now(), inner: Mutex::default() }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Notes that a flow was established.
    pub fn opened(&self) {
        let mut inner = self.inner.lock();
        inner.flows += 1;
        inner.held += 1;
        inner.peak = inner.peak.max(inner.held);
    }

    /// Notes that a flow was not accepted.
    pub fn refused(&self) {
        self.inner.lock().refused += 1;
    }

    /// Notes that a flow could not be opened.
    pub fn unopened(&self) {
        self.inner.lock().unopened += 1;
    }

    /// Notes how a flow ended that was opened at `since`.
    pub fn ended(&self, flow: &Flow, since: Duration, end: &End) {
        let at = self.now();
        let mut inner = self.inner.lock();
        inner.held -= 1;
        match end {
            End::Caller => {}
            End::Graceful => inner.graceful += 1,
            End::Broken(text) => {
                inner.broken += 1;
                inner.note(Incident {
                    at,
                    since,
                    what: What::BrokenFlow,
                    service: flow.service().to_owned(),
                    flow: flow.id,
                    agent: flow.agent(),
                    upstream: None,
                    text: text.clone(),
                });
            }
        }
    }

    /// Notes what became of a request that was sent at `since`.
    pub fn answered(&self, flow: &Flow, ask: &Ask, reply: &Reply, since: Duration) {
        let at = self.now();
        let mut inner = self.inner.lock();
        if reply.outcome == Outcome::Unsent {
            return;
        }
        inner.count(ask.kind, &reply.outcome);
        if reply.outcome == Outcome::Whole {
            inner.record(ask, reply.latency);
        }
        if let (false, Some(key)) = (ask.kind.idempotent(), &ask.key) {
            inner.attempts.push(Attempt {
                key: key.clone(),
                token: ask.token.clone(),
                service: flow.service().to_owned(),
                outcome: reply.outcome.clone(),
            });
        }
        if let Outcome::Failed(flaw) = &reply.outcome {
            inner.note(Incident {
                at,
                since,
                what: What::Failed(ask.kind, flaw.clone()),
                service: flow.service().to_owned(),
                flow: flow.id,
                agent: flow.agent(),
                upstream: reply.upstream.clone(),
                text: flaw.to_string(),
            });
        }
    }

    /// Notes a request that found no flow at all.
    pub fn stranded(&self, ask: &Ask, service: &str, since: Duration, text: &str) {
        let at = self.now();
        let flaw = Flaw::NoFlow(text.to_owned());
        let mut inner = self.inner.lock();
        inner.count(ask.kind, &Outcome::Failed(flaw.clone()));
        inner.note(Incident {
            at,
            since,
            what: What::Failed(ask.kind, flaw),
            service: service.to_owned(),
            flow: 0,
            agent: None,
            upstream: None,
            text: text.to_owned(),
        });
    }

    /// Counts of all requests.
    pub fn total(&self) -> Counts {
        let inner = self.inner.lock();
        let mut total = Counts::default();
        for counts in inner.counts.values() {
            total.add(counts);
        }
        total
    }

    /// Counts by kind.
    pub fn counts(&self) -> BTreeMap<Kind, Counts> {
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

    /// Latency by kind, what a request takes by its nature left out.
    pub fn latency(&self) -> BTreeMap<Kind, Latency> {
        let inner = self.inner.lock();
        let mut all = BTreeMap::new();
        for (&kind, histogram) in &inner.latency {
            let Some(histogram) = histogram else { continue };
            all.insert(kind, quantiles(histogram));
        }
        all
    }

    /// Latency of requests of all kinds.
    pub fn latency_of_all(&self) -> Latency {
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

    /// What should not have happened, oldest first.
    pub fn incidents(&self) -> Vec<Incident> {
        self.inner.lock().incidents.clone()
    }
}

impl Inner {
    fn count(&mut self, kind: Kind, outcome: &Outcome) {
        let counts = self.counts.entry(kind).or_default();
        counts.requests += 1;
        match outcome {
            Outcome::Whole => counts.whole += 1,
            Outcome::NotRun => counts.refused += 1,
            Outcome::Unknown(Doubt::Told | Doubt::FlowLost) => counts.unknown += 1,
            Outcome::Failed(flaw) => counts.fail(flaw),
            Outcome::Unsent => counts.requests -= 1,
        }
    }

    fn record(&mut self, ask: &Ask, latency: Duration) {
        let histogram = self.latency.entry(ask.kind).or_insert_with(histogram);
        let Some(histogram) = histogram else { return };
        let own = latency.saturating_sub(ask.span);
        histogram.saturating_record(own.as_micros() as u64);
    }

    fn note(&mut self, incident: Incident) {
        if self.incidents.len() < MAX_INCIDENTS {
            self.incidents.push(incident);
        }
    }
}

impl Counts {
    fn fail(&mut self, flaw: &Flaw) {
        self.failed += 1;
        match flaw {
            Flaw::WrongService(_) => self.strays += 1,
            Flaw::Crossed(_) => self.crossed += 1,
            Flaw::Cut(_) | Flaw::Status(_) | Flaw::Late | Flaw::Corrupt(_) | Flaw::NoFlow(_) => {}
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
    Histogram::new_with_max(MAX_LATENCY_US, DIGITS).ok()
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
        match &self.what {
            What::BrokenFlow => write!(f, " broke: {}", self.text),
            What::Failed(kind, _) => {
                let upstream = self.upstream.clone().unwrap_or_else(unknown);
                write!(f, ": {} run by {upstream}: {}", kind.as_str(), self.text)
            }
        }
    }
}
