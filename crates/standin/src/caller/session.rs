//! A caller's session: opens flows on demand, sends requests and retries them.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use quinn::{ClientConfig, Endpoint};
use rand::{Rng, rngs::StdRng};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use super::{
    Target,
    flow::{Flow, FlowState, OpenError, RequestResult},
    outcome::{Outcome, UnknownReason},
    request::CallerRequest,
    stats::LoadStats,
};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const OPEN_TIMEOUT: Duration = Duration::from_secs(30);
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
const MAX_ATTEMPTS: u32 = 5;
/// No retries after this time; well below the services' key window.
const RETRY_LIMIT: Duration = Duration::from_secs(15);
/// Chance that a request of unknown outcome is retried on a new flow.
const NEW_FLOW_CHANCE: f64 = 0.5;

/// State shared by all sessions of a run.
#[derive(Debug)]
pub struct RunContext {
    /// TLS and QUIC settings.
    pub config: ClientConfig,
    /// Statistics of the run.
    pub stats: Arc<LoadStats>,
    /// Number of the next flow.
    pub next_flow_id: std::sync::atomic::AtomicU64,
}

/// A session of one caller with one service.
pub struct Session {
    context: Arc<RunContext>,
    target: Target,
    endpoint: Endpoint,
    rng: StdRng,
    flow: Option<Arc<Flow>>,
}

impl Session {
    /// Creates a session without a flow.
    pub fn new(
        context: Arc<RunContext>,
        target: Target,
        endpoint: Endpoint,
        rng: StdRng,
    ) -> Session {
        Session { context, target, endpoint, rng, flow: None }
    }

    /// Random number generator of the session.
    pub fn rng(&mut self) -> &mut StdRng {
        &mut self.rng
    }

    /// Closes the flow, if any.
    pub fn close(&mut self) {
        if let Some(flow) = self.flow.take() {
            flow.close();
        }
    }

    /// Returns a flow that accepts requests, opening one if needed; fails after [`OPEN_TIMEOUT`].
    pub async fn ensure_flow(&mut self) -> Result<Arc<Flow>, OpenError> {
        let start = Instant::now();
        let mut backoff = FIRST_BACKOFF;
        loop {
            if let Some(flow) = self.usable_flow() {
                return Ok(flow);
            }
            let error = match self.open().await {
                Ok(flow) => return Ok(flow),
                Err(error) => error,
            };
            if start.elapsed() > OPEN_TIMEOUT {
                return Err(error);
            }
            time::sleep(backoff.mul_f64(self.rng.random_range(0.5..1.5))).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Sends a request and retries it while allowed; returns the last result, or `None` if no flow could be opened.
    pub async fn send(&mut self, first: CallerRequest) -> Option<RequestResult> {
        let start = Instant::now();
        let mut request = first;
        let mut attempt = 0;
        loop {
            let started_at = self.context.stats.now();
            let flow = match self.ensure_flow().await {
                Ok(flow) => flow,
                Err(e) => {
                    let text = e.to_string();
                    self.context.stats.request_without_flow(
                        &request,
                        &self.target.name,
                        started_at,
                        &text,
                    );
                    return None;
                }
            };
            let result = send_once(&flow, &request, &self.context.stats).await;
            if result.outcome == Outcome::NotSent {
                continue;
            }
            attempt += 1;
            let exhausted = attempt >= MAX_ATTEMPTS || start.elapsed() >= RETRY_LIMIT;
            if exhausted || !retryable(&request, &result) {
                return Some(result);
            }
            self.back_off(&result).await;
            if result.outcome != Outcome::NotRun && self.rng.random_bool(NEW_FLOW_CHANCE) {
                self.close();
            }
            request = request.retry(&mut self.rng);
        }
    }

    /// Sends several requests at once on one flow, without retries.
    pub async fn send_burst(&mut self, requests: Vec<CallerRequest>) {
        let Ok(flow) = self.ensure_flow().await else {
            return;
        };
        let runs = requests.iter().map(|request| send_once(&flow, request, &self.context.stats));
        join_all(runs).await;
    }

    /// Waits until the deadline, or until the flow is going away or closed.
    pub async fn idle(&mut self, deadline: Instant) {
        let Some(flow) = self.usable_flow() else {
            time::sleep_until(deadline).await;
            return;
        };
        let mut state = flow.subscribe();
        let changed = state.wait_for(|it| *it != FlowState::Open);
        let _ = time::timeout_at(deadline, changed).await;
    }

    fn usable_flow(&mut self) -> Option<Arc<Flow>> {
        let flow = self.flow.as_ref()?;
        if flow.state() == FlowState::Open {
            return Some(flow.clone());
        }
        flow.close();
        self.flow = None;
        None
    }

    async fn open(&mut self) -> Result<Arc<Flow>, OpenError> {
        let id = self.context.next_flow_id.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let opened = Flow::open(id, &self.endpoint, &self.context.config, &self.target).await;
        let stats = &self.context.stats;
        match &opened {
            Ok(_) => stats.flow_opened(),
            Err(OpenError::Refused) => stats.flow_refused(),
            Err(OpenError::Handshake(_) | OpenError::Timeout) => stats.flow_open_failed(),
        }
        let flow = Arc::new(opened?);
        tokio::spawn(record_flow_end(flow.subscribe(), flow.clone(), stats.clone()));
        self.flow = Some(flow.clone());
        Ok(flow)
    }

    async fn back_off(&mut self, result: &RequestResult) {
        let delay = result.retry_after.unwrap_or(FIRST_BACKOFF).min(MAX_RETRY_AFTER);
        time::sleep(delay.mul_f64(self.rng.random_range(1.0..1.5))).await;
    }
}

async fn send_once(flow: &Flow, request: &CallerRequest, stats: &LoadStats) -> RequestResult {
    let started_at = stats.now();
    let result = flow.send(request, REQUEST_TIMEOUT + request.expected_duration).await;
    stats.request_finished(flow, request, &result, started_at);
    result
}

/// Whether the request may be retried: if it was not run, or if running it twice is harmless.
fn retryable(request: &CallerRequest, result: &RequestResult) -> bool {
    match result.outcome {
        Outcome::NotRun => true,
        Outcome::Unknown(UnknownReason::Reported | UnknownReason::FlowLost) => {
            request.kind.idempotent() || request.key.is_some()
        }
        Outcome::Complete | Outcome::Failed(_) | Outcome::NotSent => false,
    }
}

async fn record_flow_end(
    mut state: watch::Receiver<FlowState>,
    flow: Arc<Flow>,
    stats: Arc<LoadStats>,
) {
    let started_at = stats.now();
    let ended = state.wait_for(|it| matches!(it, FlowState::Ended(_))).await;
    if let Ok(FlowState::Ended(end)) = ended.as_deref() {
        stats.flow_ended(&flow, started_at, end);
    }
}
