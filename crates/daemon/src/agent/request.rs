//! Handling of one request, from its head to its final response.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use camphorwinch_core::{
    admit::Availability,
    claims::{ClaimKey, RecordedResponse, RequestId, RequestState},
    dispatch::{Dispatch, DispatchContext, Outcome, Request, Step, StepResult},
    peers::Peer,
};
use h3::{
    error::Code,
    server::{RequestResolver, RequestStream},
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header, request::Parts};
use tokio::time;

use super::{
    body::{BodySource, RequestBody, ResponseTarget, ResponseWriter},
    claim::{self, BadKey, ClaimOutcome},
    handover, local, metrics,
    node::Node,
    quic::{BidiStream, Connection, EndWatcher, EndWatchers},
    service::Service,
    throttled,
};
use crate::{
    clock,
    event::{EventId, EventSubject},
};

const SERVICE: HeaderName = HeaderName::from_static("camphorwinch-service");
const REQUEST: HeaderName = HeaderName::from_static("camphorwinch-request");
const DEADLINE: HeaderName = HeaderName::from_static("camphorwinch-deadline-ms");
const OUTCOME: HeaderName = HeaderName::from_static("camphorwinch-outcome");
const UPSTREAM: HeaderName = HeaderName::from_static("camphorwinch-upstream");
const AGENT: HeaderName = HeaderName::from_static("camphorwinch-agent");
const RESERVED_PREFIX: &str = "camphorwinch-";
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// Time after the deadline in which the upstream can still respond that it was exceeded.
const DEADLINE_GRACE_MS: u64 = 500;
/// Retry delay sent to a caller whose idempotency key is in use.
const KEY_RETRY_MS: u64 = 1_000;
const MAX_TIMEOUT_MS: u64 = 24 * 3_600 * 1_000;

/// Head of a request.
pub(crate) struct RequestHead {
    pub(crate) id: RequestId,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    /// In milliseconds since the Unix epoch.
    pub(crate) deadline: Option<u64>,
    /// Number of agents that forwarded the request before.
    pub(crate) hop: u8,
}

impl RequestHead {
    /// Builds the head of a request that a caller sent.
    fn new(parts: Parts) -> RequestHead {
        let mut headers = parts.headers;
        let timeout_ms = headers.get(DEADLINE).and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
        let deadline = timeout_ms.map(|it| clock::now_ms() + it.min(MAX_TIMEOUT_MS));
        strip_headers(&mut headers);
        if let Some(authority) = parts.uri.authority() {
            if let Ok(host) = HeaderValue::from_str(authority.as_str()) {
                headers.insert(header::HOST, host);
            }
        }
        let path = parts.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
        RequestHead { id: rand::random(), method: parts.method, path, headers, deadline, hop: 0 }
    }

    /// The request ID in hexadecimal.
    pub(crate) fn id_text(&self) -> String {
        format!("{:032x}", self.id)
    }

    /// Whether the method is idempotent.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// Value of `Content-Length`, if present.
    pub(crate) fn length(&self) -> Option<u64> {
        self.headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
    }

    /// Whether the request has a body; without a length, judged by the method.
    fn has_body(&self) -> bool {
        match self.length() {
            Some(len) => len != 0,
            None => matches!(self.method, Method::POST | Method::PUT | Method::PATCH),
        }
    }

    /// Headers of the request to the upstream.
    pub(crate) fn upstream_headers(&self, service: &Service) -> HeaderMap {
        let mut headers = self.headers.clone();
        set_header(&mut headers, SERVICE, &service.name);
        set_header(&mut headers, REQUEST, &self.id_text());
        if let Some(deadline) = self.deadline {
            let remaining_ms = deadline.saturating_sub(clock::now_ms());
            set_header(&mut headers, DEADLINE, &remaining_ms.to_string());
        }
        headers
    }
}

/// Completes shortly after the caller's deadline, or never if there is none.
pub(crate) async fn past_deadline(deadline: Option<u64>) {
    match deadline {
        Some(deadline) => {
            let remaining_ms = (deadline + DEADLINE_GRACE_MS).saturating_sub(clock::now_ms());
            time::sleep(Duration::from_millis(remaining_ms)).await;
        }
        None => std::future::pending().await,
    }
}

/// Removes hop-by-hop headers and those reserved for the load balancer.
pub(crate) fn strip_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    let reserved: Vec<HeaderName> =
        headers.keys().filter(|it| it.as_str().starts_with(RESERVED_PREFIX)).cloned().collect();
    for name in reserved {
        headers.remove(name);
    }
}

pub(crate) fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// A request in progress.
pub(crate) struct RequestContext {
    pub(crate) node: Arc<Node>,
    pub(crate) service: Arc<Service>,
    pub(crate) head: RequestHead,
    dispatch: Dispatch,
    started: Instant,
}

impl RequestContext {
    /// Starts the handling of a request that has just arrived.
    pub(crate) fn new(node: Arc<Node>, service: Arc<Service>, head: RequestHead) -> RequestContext {
        let request =
            Request { idempotent: head.is_idempotent(), hop: head.hop, deadline: head.deadline };
        let dispatch = Dispatch::new(request);
        RequestContext { node, service, head, dispatch, started: Instant::now() }
    }

    fn start(&mut self) -> Step {
        self.decide(None)
    }

    fn next(&mut self, report: StepResult) -> Step {
        self.decide(Some(report))
    }

    /// Records that the head of a response arrived. False if the request was answered already.
    pub(crate) fn on_response_head(&mut self) -> bool {
        if self.head.hop == 0 {
            metrics::RESPONSE_SECONDS.observe(self.started.elapsed().as_secs_f64());
        }
        self.next(StepResult::ResponseStarted) == Step::Finish(Outcome::Response)
    }

    fn decide(&mut self, report: Option<StepResult>) -> Step {
        let snapshot = self.node.snapshot();
        let local = self.node.availability() == Availability::Open
            && self.service.is_local(&snapshot, &self.node);
        let no_failure = matches!(
            report,
            None | Some(
                StepResult::SlotAcquired | StepResult::ResponseStarted | StepResult::Cancelled
            )
        );
        let now = clock::now_ms();
        let policy = self.service.read_spec(&snapshot, |it| it.policy);
        let peers = if no_failure && local {
            Vec::new()
        } else {
            let own = &self.node.settings;
            let peer = |it: &&camphorwinch_core::member::Agent| it.name != own.name;
            let candidates = snapshot.candidates(self.service.id);
            let peers: Vec<Peer<'_>> = candidates
                .into_iter()
                .filter(peer)
                .map(|it| Peer {
                    name: &it.name,
                    same_zone: it.place.zone == own.zone,
                    weight: snapshot.weight(self.service.id, it),
                })
                .collect();
            self.node.peer_loads.lock().select(&peers, policy, self.head.id as u64 ^ now, now)
        };
        let mut budget = self.service.budget.lock();
        let mut view = DispatchContext { now, local, peers: &peers, budget: &mut budget, policy };
        match report {
            None => self.dispatch.start(&mut view),
            Some(report) => self.dispatch.next(report, &mut view),
        }
    }

    /// Whether an upstream may have started the request.
    fn may_have_begun(&self) -> bool {
        self.dispatch.may_have_started()
    }

    /// Adds the load balancer's headers to a response.
    pub(crate) fn add_response_headers(&self, headers: &mut HeaderMap, upstream: Option<&str>) {
        set_header(headers, SERVICE, &self.service.name);
        set_header(headers, REQUEST, &self.head.id_text());
        set_header(headers, AGENT, &self.node.settings.name);
        if let Some(upstream) = upstream {
            set_header(headers, UPSTREAM, upstream);
        }
    }
}

/// Handles a request of a flow. One that is not `accepted` because of GOAWAY is rejected.
pub(crate) async fn serve(
    node: Arc<Node>,
    service: Arc<Service>,
    resolver: RequestResolver<Connection, Bytes>,
    ends: EndWatchers,
    accepted: bool,
) {
    let (request, mut stream) = match resolver.resolve_request().await {
        Ok(it) => it,
        Err(e) => {
            metrics::count(&metrics::REQUESTS, "malformed");
            tracing::debug!("read a request head on a flow of service {}: {e}", service.name);
            return;
        }
    };
    let Some(mut end_watcher) = ends.take(stream.id()) else {
        return;
    };
    if !accepted {
        metrics::count(&metrics::REQUESTS, "rejected");
        stream.stop_sending(Code::H3_REQUEST_REJECTED);
        stream.stop_stream(Code::H3_REQUEST_REJECTED);
        return;
    }
    let head = RequestHead::new(request.into_parts().0);
    run(RequestContext::new(node, service, head), stream, &ends, &mut end_watcher).await;
}

async fn run(
    mut context: RequestContext,
    stream: RequestStream<BidiStream<Bytes>, Bytes>,
    ends: &EndWatchers,
    end_watcher: &mut EndWatcher,
) {
    let (send, recv) = stream.split();
    let mut writer = ResponseWriter::new(ResponseTarget::Flow(Box::new(send)));
    let mut body = RequestBody::new(BodySource::Flow(recv), context.head.has_body());
    match claim::idempotency_key(&context.head, context.service.id) {
        Ok(None) => {
            let outcome = execute(&mut context, &mut body, &mut writer, end_watcher).await;
            send_outcome(&context, &mut writer, outcome.unwrap_or(Outcome::Response)).await;
        }
        Err(BadKey) => send_claim_outcome(&context, &mut writer, ClaimOutcome::BadKey).await,
        Ok(Some(key)) => run_once(&mut context, key, &mut body, &mut writer).await,
    }
    body.close();
    if writer.is_finished() {
        // The flow may be closed only after the caller has acknowledged the response.
        let _guard = ends.track_unacknowledged();
        end_watcher.wait().await;
    }
}

/// Runs a request with an idempotency key at most once. A caller that disconnects doesn't cancel it, since it may retry
/// with the same key.
async fn run_once(
    context: &mut RequestContext,
    key: ClaimKey,
    body: &mut RequestBody,
    writer: &mut ResponseWriter,
) {
    let held = match claim::claim(context, key).await {
        ClaimOutcome::Run(held) => held,
        other => {
            send_claim_outcome(context, writer, other).await;
            return;
        }
    };
    writer.record();
    let outcome = execute(context, body, writer, &mut EndWatcher::never()).await;
    let state = match outcome {
        Some(Outcome::NotRun { .. }) => None,
        Some(Outcome::Cancelled) if !context.may_have_begun() => None,
        Some(_) => Some(RequestState::Unknown),
        None => Some(
            writer
                .take_recorded()
                .map_or(RequestState::Unknown, |it| RequestState::Done(Arc::new(it))),
        ),
    };
    held.resolve(&context.node, state);
    send_outcome(context, writer, outcome.unwrap_or(Outcome::Response)).await;
}

/// Responds to a request that is not run because of its idempotency key.
async fn send_claim_outcome(
    context: &RequestContext,
    writer: &mut ResponseWriter,
    outcome: ClaimOutcome,
) {
    let about = || {
        EventSubject::new()
            .with_service(&context.service.name)
            .with_request(&context.head.id_text())
    };
    let mut headers = HeaderMap::new();
    let (status, body) = match outcome {
        ClaimOutcome::Replay(response) => {
            throttled::emit(EventId::ClaimRepeated, about(), "sent the stored response");
            metrics::count(&metrics::REQUESTS, "repeated");
            headers = stored_headers(&response);
            set_header(&mut headers, AGENT, &context.node.settings.name);
            (StatusCode::from_u16(response.status), response.body.clone())
        }
        ClaimOutcome::Mismatch => {
            throttled::emit(
                EventId::ClaimRepeated,
                about(),
                "the key was used for a different request",
            );
            metrics::count(&metrics::REQUESTS, "key-mismatch");
            context.add_response_headers(&mut headers, None);
            set_header(&mut headers, OUTCOME, "not-run");
            (Ok(StatusCode::UNPROCESSABLE_ENTITY), Vec::new())
        }
        ClaimOutcome::BadKey => {
            metrics::count(&metrics::REQUESTS, "bad-key");
            context.add_response_headers(&mut headers, None);
            set_header(&mut headers, OUTCOME, "not-run");
            (Ok(StatusCode::BAD_REQUEST), Vec::new())
        }
        ClaimOutcome::Unknown => {
            throttled::emit(
                EventId::ClaimRepeated,
                about(),
                "an earlier request with this key may have run",
            );
            return send_outcome(context, writer, Outcome::Unknown { retry_ms: KEY_RETRY_MS })
                .await;
        }
        // Not "not-run": the earlier request may still run, and the caller could retry with another key.
        ClaimOutcome::InProgress => {
            return send_outcome(context, writer, Outcome::Unknown { retry_ms: KEY_RETRY_MS })
                .await;
        }
        ClaimOutcome::Run(_) | ClaimOutcome::Unavailable => {
            return send_outcome(context, writer, Outcome::NotRun { retry_ms: KEY_RETRY_MS }).await;
        }
    };
    set_header(&mut headers, header::CONTENT_LENGTH, &body.len().to_string());
    let status = status.unwrap_or(StatusCode::OK);
    // Errors mean that the caller has disconnected.
    if writer.send_head(status, &headers, "").await.is_ok()
        && writer.send_data(body.into()).await.is_ok()
    {
        let _ = writer.finish().await;
    }
}

fn stored_headers(response: &RecordedResponse) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in &response.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    headers
}

/// Executes the steps of a request. None if a response was relayed, otherwise the outcome to report.
pub(crate) async fn execute(
    context: &mut RequestContext,
    body: &mut RequestBody,
    writer: &mut ResponseWriter,
    end_watcher: &mut EndWatcher,
) -> Option<Outcome> {
    let mut slot = None;
    let mut step = context.start();
    loop {
        let report = match step {
            Step::Finish(outcome) => return Some(outcome),
            Step::AcquireSlot { wait_ms } => tokio::select! {
                acquired = context.node.slot_limiter.acquire(wait_ms) => {
                    slot = acquired;
                    if slot.is_some() { StepResult::SlotAcquired } else { StepResult::SlotTimeout }
                }
                _ = end_watcher.wait() => StepResult::Cancelled,
            },
            Step::Run => match slot.take() {
                Some(slot) => local::run(context, body, writer, end_watcher, slot).await?,
                None => StepResult::Refused { retry_ms: 0 },
            },
            Step::Offer { to } => handover::offer(context, &to, body, writer, end_watcher).await?,
        };
        if report != StepResult::SlotAcquired {
            slot = None;
        }
        step = context.next(report);
    }
}

/// Sends the response for an outcome other than a relayed response.
async fn send_outcome(context: &RequestContext, writer: &mut ResponseWriter, outcome: Outcome) {
    let about = || {
        EventSubject::new()
            .with_service(&context.service.name)
            .with_request(&context.head.id_text())
    };
    let (status, outcome_name, retry_ms) = match outcome {
        Outcome::Response => return,
        Outcome::NotRun { retry_ms } => {
            metrics::count(&metrics::REQUESTS, "not-run");
            throttled::emit(EventId::RequestRefused, about(), "no upstream accepted it");
            (StatusCode::SERVICE_UNAVAILABLE, "not-run", retry_ms)
        }
        Outcome::Unknown { retry_ms } => {
            metrics::count(&metrics::REQUESTS, "unknown");
            throttled::emit(EventId::RequestUnknown, about(), "an upstream may have run it");
            (StatusCode::BAD_GATEWAY, "unknown", retry_ms)
        }
        Outcome::Cancelled => {
            metrics::count(&metrics::REQUESTS, "cancelled");
            writer.reset(Code::H3_REQUEST_CANCELLED);
            return;
        }
    };
    let mut headers = HeaderMap::new();
    context.add_response_headers(&mut headers, None);
    set_header(&mut headers, OUTCOME, outcome_name);
    set_header(&mut headers, header::RETRY_AFTER, &retry_ms.div_ceil(1_000).to_string());
    set_header(&mut headers, header::CONTENT_LENGTH, "0");
    // Errors mean that the caller has disconnected.
    if writer.send_head(status, &headers, "").await.is_ok() {
        let _ = writer.finish().await;
    }
}
