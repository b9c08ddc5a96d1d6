//! Running a request at the agent's own upstream.

use std::{io, pin::pin, time::Duration};

use bytes::Bytes;
use camphorwinch_core::dispatch::Report;
use futures::future::{self, Either};
use h3::error::Code;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Empty, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use tokio::{sync::mpsc, time, time::Instant};
use tokio_util::sync::CancellationToken;

use super::{
    body::{Body, GivenUp, KEPT, Outlet},
    meter,
    node::Node,
    quic::Ended,
    request::{self, Course},
    upstream::{AttemptError, Conn, Payload},
    work::Slot,
};
use crate::clock;

const NOT_RUN: &str = "camphorwinch-not-run";
/// A request that still streams its body or its answer after this long is no longer counted against the slots.
const LONG: Duration = Duration::from_millis(100);
const PARTS: usize = 2;

type Parts = mpsc::Sender<Result<Bytes, io::Error>>;

/// Runs the request. None if an answer was passed on, whole or broken off.
pub(crate) async fn run(
    course: &mut Course,
    body: &mut Body,
    outlet: &mut Outlet,
    ended: &mut Ended,
    slot: Slot,
) -> Option<Report> {
    let node = course.node.clone();
    if !node.gate.lock().pass(clock::now_ms()) {
        return Some(Report::Refused { retry_ms: 0 });
    }
    if !body.rewind() {
        node.gate.lock().dropped();
        return Some(Report::Consumed { retry_ms: 0 });
    }
    if outlet.ready(body, node.work.load()).await.is_err() {
        node.gate.lock().dropped();
        return Some(Report::Cancelled);
    }
    let mut conn = match node.upstream.connect(course.ask.is_idempotent()).await {
        Ok(it) => it,
        Err(e) => return Some(failed(course, &e)),
    };
    let (parts, payload) = payload(body);
    let wanted = CancellationToken::new();
    let request = match build(course, payload, body, &wanted) {
        Ok(it) => it,
        Err(e) => {
            node.gate.lock().dropped();
            tracing::debug!("build request: {e}");
            return Some(Report::Refused { retry_ms: 0 });
        }
    };
    let pump = pump(body, parts, &wanted);
    let exchange = exchange(course, &mut conn, request, pump, &wanted, outlet, ended, slot).await;
    match exchange {
        Exchange::Next(report) => Some(report),
        Exchange::Whole => {
            node.upstream.keep(conn);
            None
        }
        Exchange::Broken => None,
    }
}

enum Exchange {
    /// No answer to pass on.
    Next(Report),
    /// The answer was passed on whole.
    Whole,
    /// The answer broke off.
    Broken,
}

async fn exchange<P>(
    course: &mut Course,
    conn: &mut Conn,
    request: Request<Payload>,
    pump: P,
    wanted: &CancellationToken,
    outlet: &mut Outlet,
    ended: &mut Ended,
    slot: Slot,
) -> Exchange
where
    P: Future<Output = Result<(), GivenUp>>,
{
    let node = course.node.clone();
    let started = Instant::now();
    let mut slot = Some(slot);
    let mut sending = pin!(conn.send(request));
    let mut pump = pin!(pump);
    let mut hopeless = pin!(hopeless(&node, course.ask.is_idempotent(), course.ask.deadline));
    let mut pumped = false;
    let mut resumed = false;
    let sent = loop {
        tokio::select! {
            sent = &mut sending => break sent,
            result = &mut pump, if !pumped => {
                pumped = true;
                if result.is_err() {
                    node.gate.lock().dropped();
                    return Exchange::Next(Report::Cancelled);
                }
            }
            () = wanted.cancelled(), if !resumed => {
                resumed = true;
                outlet.resume().await;
            }
            _ = ended.wait() => {
                node.gate.lock().dropped();
                return Exchange::Next(Report::Cancelled);
            }
            () = &mut hopeless => {
                node.gate.lock().refused(clock::now_ms());
                meter::count(&meter::ATTEMPTS, "given-up");
                return Exchange::Next(Report::Lost);
            }
            () = time::sleep_until(started + LONG), if slot.is_some() && !pumped => slot = None,
        }
    };
    let response = match sent {
        Ok(it) => it,
        Err(e) => return Exchange::Next(failed(course, &e)),
    };
    if let Some(retry_ms) = refusal(&response) {
        meter::count(&meter::ATTEMPTS, "refused");
        node.gate.lock().refused(clock::now_ms());
        return Exchange::Next(Report::Refused { retry_ms });
    }
    node.gate.lock().taken();
    if !course.head() {
        return Exchange::Broken;
    }
    meter::count(&meter::ATTEMPTS, "answered");
    let relay = relay(course, response, outlet, started, slot);
    let mut relay = pin!(relay);
    let relayed = if pumped {
        relay.await
    } else {
        match future::select(relay.as_mut(), pump).await {
            Either::Left((relayed, _)) => relayed,
            Either::Right((Ok(()), _)) => relay.await,
            Either::Right((Err(GivenUp), _)) => Err(Broken::Caller),
        }
    };
    match relayed {
        Ok(()) => {
            meter::count(&meter::REQUESTS, "answered");
            Exchange::Whole
        }
        Err(Broken::Caller) => {
            meter::count(&meter::REQUESTS, "cancelled");
            Exchange::Broken
        }
        Err(Broken::Upstream) => {
            meter::count(&meter::REQUESTS, "cut");
            Exchange::Broken
        }
    }
}

/// Completes when an answer is no longer waited for. That of a request that must not run twice may come late.
async fn hopeless(node: &Node, idempotent: bool, deadline: Option<u64>) {
    if idempotent {
        tokio::select! {
            () = node.lost() => {}
            () = request::overdue(deadline) => {}
        }
    } else {
        request::overdue(deadline).await;
    }
}

/// Who broke off an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Caller,
    Upstream,
}

async fn relay(
    course: &Course,
    response: Response<Incoming>,
    outlet: &mut Outlet,
    started: Instant,
    mut slot: Option<Slot>,
) -> Result<(), Broken> {
    let (parts, mut incoming) = response.into_parts();
    let mut headers = parts.headers;
    request::strip(&mut headers);
    let name = &course.node.settings.name;
    course.answer_headers(&mut headers, Some(name));
    outlet.head(parts.status, &headers, name).await.map_err(|_| Broken::Caller)?;
    loop {
        let frame = tokio::select! {
            frame = incoming.frame() => frame,
            () = time::sleep_until(started + LONG), if slot.is_some() => {
                slot = None;
                continue;
            }
        };
        match frame {
            None => break,
            Some(Ok(frame)) => {
                let Ok(part) = frame.into_data() else {
                    continue;
                };
                outlet.data(part).await.map_err(|_| Broken::Caller)?;
            }
            Some(Err(e)) => {
                tracing::debug!("answer of the upstream: {e}");
                outlet.reset(Code::H3_INTERNAL_ERROR);
                return Err(Broken::Upstream);
            }
        }
    }
    outlet.finish().await.map_err(|_| Broken::Caller)
}

fn failed(course: &Course, e: &AttemptError) -> Report {
    tracing::debug!("request {}: {e}", course.ask.id_text());
    course.node.gate.lock().refused(clock::now_ms());
    match e {
        AttemptError::NotSent(_) => {
            meter::count(&meter::ATTEMPTS, "not-sent");
            Report::Refused { retry_ms: 0 }
        }
        AttemptError::MaybeSent(_) => {
            meter::count(&meter::ATTEMPTS, "lost");
            Report::Lost
        }
    }
}

/// If the upstream says that it has not begun the request: the time after which it may be asked again.
fn refusal(response: &Response<Incoming>) -> Option<u64> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let headers = response.headers();
    let not_run = headers.get(NOT_RUN).is_some_and(|it| it.as_bytes() == b"true");
    not_run.then(|| retry_after(headers))
}

fn retry_after(headers: &HeaderMap) -> u64 {
    let given = headers.get(header::RETRY_AFTER).and_then(|it| it.to_str().ok());
    given.and_then(|it| it.parse::<u64>().ok()).map_or(0, |it| it.saturating_mul(1_000))
}

fn payload(body: &Body) -> (Option<Parts>, Payload) {
    if !body.is_expected() {
        let empty = Empty::new().map_err(|never| match never {});
        return (None, UnsyncBoxBody::new(empty));
    }
    let (sender, receiver) = mpsc::channel::<Result<Bytes, io::Error>>(PARTS);
    let stream = futures::stream::unfold(receiver, |mut receiver| async move {
        let part = receiver.recv().await?;
        Some((part.map(Frame::data), receiver))
    });
    (Some(sender), UnsyncBoxBody::new(StreamBody::new(stream)))
}

/// Passes the body on. A caller that breaks off makes the attempt fail, so that no upstream takes a part for the whole.
async fn pump(
    body: &mut Body,
    parts: Option<Parts>,
    wanted: &CancellationToken,
) -> Result<(), GivenUp> {
    let Some(parts) = parts else {
        return Ok(());
    };
    loop {
        match body.next_when(wanted).await {
            Ok(Some(part)) => {
                if parts.send(Ok(part)).await.is_err() {
                    // The upstream has answered or gone; the answer tells which.
                    return Ok(());
                }
            }
            Ok(None) => return Ok(()),
            Err(e) => {
                let broken = io::Error::new(io::ErrorKind::ConnectionAborted, e);
                // If nobody listens any more, nobody needs to know.
                let _ = parts.send(Err(broken)).await;
                return Err(e);
            }
        }
    }
}

fn build(
    course: &Course,
    payload: Payload,
    body: &Body,
    wanted: &CancellationToken,
) -> Result<Request<Payload>, http::Error> {
    let mut request = Request::builder()
        .method(course.ask.method.clone())
        .uri(course.ask.path.as_str())
        .body(payload)?;
    *request.headers_mut() = course.ask.upstream_headers(&course.service);
    if !request.headers().contains_key(header::HOST) {
        request::put(request.headers_mut(), header::HOST, &course.service.name);
    }
    if body.is_expected() && course.ask.length().is_none_or(|it| it > KEPT as u64) {
        request::put(request.headers_mut(), header::EXPECT, "100-continue");
        let wanted = wanted.clone();
        hyper::ext::on_informational(&mut request, move |response| {
            if response.status() == StatusCode::CONTINUE {
                wanted.cancel();
            }
        });
    }
    Ok(request)
}
