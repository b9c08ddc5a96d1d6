//! One request of a flow, from its head to its final answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use camphorwinch_core::{
    admit::Intake,
    claims::{Answer, ClaimKey, RequestId, State},
    dispatch::{Dispatch, Outcome, Report, Request, Step, View},
    peers::Peer,
};
use h3::{
    error::Code,
    server::{RequestResolver, RequestStream},
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header, request::Parts};
use tokio::time;

use super::{
    body::{Body, Inlet, Outlet, Way},
    claim::{self, BadKey, Verdict},
    handover, local, meter,
    node::Node,
    notice,
    quic::{BidiStream, Connection, Ended, Ends},
    service::Service,
};
use crate::{
    clock,
    event::{About, Id},
};

const SERVICE: HeaderName = HeaderName::from_static("camphorwinch-service");
const REQUEST: HeaderName = HeaderName::from_static("camphorwinch-request");
const DEADLINE: HeaderName = HeaderName::from_static("camphorwinch-deadline-ms");
const OUTCOME: HeaderName = HeaderName::from_static("camphorwinch-outcome");
const UPSTREAM: HeaderName = HeaderName::from_static("camphorwinch-upstream");
const AGENT: HeaderName = HeaderName::from_static("camphorwinch-agent");
const OWN_PREFIX: &str = "camphorwinch-";
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
/// Time after the deadline in which an upstream may still say that it passed.
const OVERDUE_MS: u64 = 500;
/// Time after which a request may be asked again whose key is in use.
const REPEAT_MS: u64 = 1_000;
const MAX_DEADLINE_MS: u64 = 24 * 3_600 * 1_000;

/// What is asked for.
pub(crate) struct Ask {
    pub(crate) id: RequestId,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) deadline: Option<u64>,
    pub(crate) hop: u8,
}

impl Ask {
    /// Reads the head of a caller's request.
    fn new(parts: Parts) -> Ask {
        let mut headers = parts.headers;
        let given = headers.get(DEADLINE).and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
        let deadline = given.map(|it| clock::now_ms() + it.min(MAX_DEADLINE_MS));
        strip(&mut headers);
        if let Some(authority) = parts.uri.authority() {
            if let Ok(host) = HeaderValue::from_str(authority.as_str()) {
                headers.insert(header::HOST, host);
            }
        }
        let path = parts.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
        Ask { id: rand::random(), method: parts.method, path, headers, deadline, hop: 0 }
    }

    /// The request's number as text.
    pub(crate) fn id_text(&self) -> String {
        format!("{:032x}", self.id)
    }

    /// Whether running it twice has the same effect as once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// Length of the body, if the head tells.
    pub(crate) fn length(&self) -> Option<u64> {
        self.headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
    }

    /// Whether a body follows the head.
    fn has_body(&self) -> bool {
        match self.length() {
            Some(len) => len != 0,
            None => matches!(self.method, Method::POST | Method::PUT | Method::PATCH),
        }
    }

    /// Header fields for the upstream.
    pub(crate) fn upstream_headers(&self, service: &Service) -> HeaderMap {
        let mut headers = self.headers.clone();
        put(&mut headers, SERVICE, &service.name);
        put(&mut headers, REQUEST, &self.id_text());
        if let Some(deadline) = self.deadline {
            let left = deadline.saturating_sub(clock::now_ms());
            put(&mut headers, DEADLINE, &left.to_string());
        }
        headers
    }
}

/// Completes when no answer is worth waiting for: some time after the caller's deadline.
pub(crate) async fn overdue(deadline: Option<u64>) {
    match deadline {
        Some(deadline) => {
            let left = (deadline + OVERDUE_MS).saturating_sub(clock::now_ms());
            time::sleep(Duration::from_millis(left)).await;
        }
        None => std::future::pending().await,
    }
}

/// Removes fields that concern one connection only, and those that only the system may set.
pub(crate) fn strip(headers: &mut HeaderMap) {
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
    let own: Vec<HeaderName> =
        headers.keys().filter(|it| it.as_str().starts_with(OWN_PREFIX)).cloned().collect();
    for name in own {
        headers.remove(name);
    }
}

pub(crate) fn put(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// A request on its course.
pub(crate) struct Course {
    pub(crate) node: Arc<Node>,
    pub(crate) service: Arc<Service>,
    pub(crate) ask: Ask,
    dispatch: Dispatch,
    since: Instant,
}

impl Course {
    /// A request that has just arrived.
    pub(crate) fn new(node: Arc<Node>, service: Arc<Service>, ask: Ask) -> Course {
        let request =
            Request { idempotent: ask.is_idempotent(), hop: ask.hop, deadline: ask.deadline };
        let dispatch = Dispatch::new(request);
        Course { node, service, ask, dispatch, since: Instant::now() }
    }

    fn start(&mut self) -> Step {
        self.decide(None)
    }

    fn next(&mut self, report: Report) -> Step {
        self.decide(Some(report))
    }

    /// The answer's head came: from here on the answer is passed on. False if the request had its answer already.
    pub(crate) fn head(&mut self) -> bool {
        if self.ask.hop == 0 {
            meter::ANSWERED.observe(self.since.elapsed().as_secs_f64());
        }
        self.next(Report::Head) == Step::Answer(Outcome::Relay)
    }

    fn decide(&mut self, report: Option<Report>) -> Step {
        let local = self.node.intake() == Intake::Open && self.service.is_here(&self.node);
        let calm = matches!(report, None | Some(Report::Slot | Report::Head | Report::Cancelled));
        let snapshot = self.node.snapshot();
        let now = clock::now_ms();
        let policy = self.service.entry().spec.policy;
        let peers = if calm && local {
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
                    near: it.place.zone == own.zone,
                    weight: snapshot.weight(self.service.id, it),
                })
                .collect();
            self.node.hints.lock().draw(&peers, policy, self.ask.id as u64 ^ now, now)
        };
        let mut budget = self.service.budget.lock();
        let mut view = View { now, local, peers: &peers, budget: &mut budget, policy };
        match report {
            None => self.dispatch.start(&mut view),
            Some(report) => self.dispatch.next(report, &mut view),
        }
    }

    /// Whether an upstream may have begun the request.
    fn may_have_begun(&self) -> bool {
        self.dispatch.may_have_begun()
    }

    /// Header fields of an answer to the caller.
    pub(crate) fn answer_headers(&self, headers: &mut HeaderMap, upstream: Option<&str>) {
        put(headers, SERVICE, &self.service.name);
        put(headers, REQUEST, &self.ask.id_text());
        put(headers, AGENT, &self.node.settings.name);
        if let Some(upstream) = upstream {
            put(headers, UPSTREAM, upstream);
        }
    }
}

/// Serves a request of a flow. It is rejected if the flow has told its caller so before.
pub(crate) async fn serve(
    node: Arc<Node>,
    service: Arc<Service>,
    resolver: RequestResolver<Connection, Bytes>,
    ends: Ends,
    taken: bool,
) {
    let (request, mut stream) = match resolver.resolve_request().await {
        Ok(it) => it,
        Err(e) => {
            meter::count(&meter::REQUESTS, "malformed");
            tracing::debug!("request head on a flow of {}: {e}", service.name);
            return;
        }
    };
    let Some(mut ended) = ends.take(stream.id()) else {
        return;
    };
    if !taken {
        meter::count(&meter::REQUESTS, "rejected");
        stream.stop_sending(Code::H3_REQUEST_REJECTED);
        stream.stop_stream(Code::H3_REQUEST_REJECTED);
        return;
    }
    let ask = Ask::new(request.into_parts().0);
    run(Course::new(node, service, ask), stream, &ends, &mut ended).await;
}

async fn run(
    mut course: Course,
    stream: RequestStream<BidiStream<Bytes>, Bytes>,
    ends: &Ends,
    ended: &mut Ended,
) {
    let (send, recv) = stream.split();
    let mut outlet = Outlet::new(Way::Flow(Box::new(send)));
    let mut body = Body::new(Inlet::Flow(recv), course.ask.has_body());
    match claim::key(&course.ask, course.service.id) {
        Ok(None) => {
            let outcome = carry(&mut course, &mut body, &mut outlet, ended).await;
            answer(&course, &mut outlet, outcome.unwrap_or(Outcome::Relay)).await;
        }
        Err(BadKey) => repeat(&course, &mut outlet, Verdict::BadKey).await,
        Ok(Some(key)) => run_once(&mut course, key, &mut body, &mut outlet).await,
    }
    body.close();
    if outlet.is_finished() {
        // The flow may be closed only after the caller has the answer.
        let _delivering = ends.delivering();
        ended.wait().await;
    }
}

/// Runs a request under an idempotency key, unless one has run under it before. It runs to its end whatever its caller
/// does, since the caller may ask again.
async fn run_once(course: &mut Course, key: ClaimKey, body: &mut Body, outlet: &mut Outlet) {
    let held = match claim::claim(course, key).await {
        Verdict::Run(held) => held,
        other => {
            repeat(course, outlet, other).await;
            return;
        }
    };
    outlet.keep();
    let outcome = carry(course, body, outlet, &mut Ended::never()).await;
    let state = match outcome {
        Some(Outcome::NotRun { .. }) => None,
        Some(Outcome::Cancelled) if !course.may_have_begun() => None,
        Some(_) => Some(State::Unknown),
        None => Some(outlet.kept().map_or(State::Unknown, |it| State::Done(Arc::new(it)))),
    };
    held.settle(&course.node, state);
    answer(course, outlet, outcome.unwrap_or(Outcome::Relay)).await;
}

/// Answers a request that does not run, because of its key.
async fn repeat(course: &Course, outlet: &mut Outlet, verdict: Verdict) {
    let about =
        || About::new().with_service(&course.service.name).with_request(&course.ask.id_text());
    let mut headers = HeaderMap::new();
    let (status, body) = match verdict {
        Verdict::Repeat(kept) => {
            notice::emit(Id::ClaimRepeated, about(), "answered as before");
            meter::count(&meter::REQUESTS, "repeated");
            headers = kept_headers(&kept);
            put(&mut headers, AGENT, &course.node.settings.name);
            (StatusCode::from_u16(kept.status), kept.body.clone())
        }
        Verdict::Mismatch => {
            notice::emit(Id::ClaimRepeated, about(), "the key was used for something else");
            meter::count(&meter::REQUESTS, "key-mismatch");
            course.answer_headers(&mut headers, None);
            put(&mut headers, OUTCOME, "not-run");
            (Ok(StatusCode::UNPROCESSABLE_ENTITY), Vec::new())
        }
        Verdict::BadKey => {
            meter::count(&meter::REQUESTS, "bad-key");
            course.answer_headers(&mut headers, None);
            put(&mut headers, OUTCOME, "not-run");
            (Ok(StatusCode::BAD_REQUEST), Vec::new())
        }
        Verdict::Unknown => {
            notice::emit(Id::ClaimRepeated, about(), "an earlier request may have run");
            return answer(course, outlet, Outcome::Unknown { retry_ms: REPEAT_MS }).await;
        }
        // The earlier request may yet run: a caller that took this for "not run" could ask again under another key.
        Verdict::Running => {
            return answer(course, outlet, Outcome::Unknown { retry_ms: REPEAT_MS }).await;
        }
        Verdict::Run(_) | Verdict::Unavailable => {
            return answer(course, outlet, Outcome::NotRun { retry_ms: REPEAT_MS }).await;
        }
    };
    put(&mut headers, header::CONTENT_LENGTH, &body.len().to_string());
    let status = status.unwrap_or(StatusCode::OK);
    // If the caller has gone meanwhile, nobody waits for the answer.
    if outlet.head(status, &headers, "").await.is_ok() && outlet.data(body.into()).await.is_ok() {
        let _ = outlet.finish().await;
    }
}

fn kept_headers(kept: &Answer) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in &kept.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            headers.append(name, value);
        }
    }
    headers
}

/// Carries out steps until the answer is passed on (none) or there is another outcome.
pub(crate) async fn carry(
    course: &mut Course,
    body: &mut Body,
    outlet: &mut Outlet,
    ended: &mut Ended,
) -> Option<Outcome> {
    let mut slot = None;
    let mut step = course.start();
    loop {
        let report = match step {
            Step::Answer(outcome) => return Some(outcome),
            Step::Take { wait_ms } => tokio::select! {
                taken = course.node.work.take(wait_ms) => {
                    slot = taken;
                    if slot.is_some() { Report::Slot } else { Report::Full }
                }
                _ = ended.wait() => Report::Cancelled,
            },
            Step::Run => match slot.take() {
                Some(slot) => local::run(course, body, outlet, ended, slot).await?,
                None => Report::Refused { retry_ms: 0 },
            },
            Step::Offer { to } => handover::offer(course, &to, body, outlet, ended).await?,
        };
        if report != Report::Slot {
            slot = None;
        }
        step = course.next(report);
    }
}

async fn answer(course: &Course, outlet: &mut Outlet, outcome: Outcome) {
    let about =
        || About::new().with_service(&course.service.name).with_request(&course.ask.id_text());
    let (status, told, retry_ms) = match outcome {
        Outcome::Relay => return,
        Outcome::NotRun { retry_ms } => {
            meter::count(&meter::REQUESTS, "not-run");
            notice::emit(Id::RequestRefused, about(), "no upstream took it");
            (StatusCode::SERVICE_UNAVAILABLE, "not-run", retry_ms)
        }
        Outcome::Unknown { retry_ms } => {
            meter::count(&meter::REQUESTS, "unknown");
            notice::emit(Id::RequestUnknown, about(), "an upstream may have run it");
            (StatusCode::BAD_GATEWAY, "unknown", retry_ms)
        }
        Outcome::Cancelled => {
            meter::count(&meter::REQUESTS, "cancelled");
            outlet.reset(Code::H3_REQUEST_CANCELLED);
            return;
        }
    };
    let mut headers = HeaderMap::new();
    course.answer_headers(&mut headers, None);
    put(&mut headers, OUTCOME, told);
    put(&mut headers, header::RETRY_AFTER, &retry_ms.div_ceil(1_000).to_string());
    put(&mut headers, header::CONTENT_LENGTH, "0");
    // If the caller has gone meanwhile, nobody waits for the answer.
    if outlet.head(status, &headers, "").await.is_ok() {
        let _ = outlet.finish().await;
    }
}
