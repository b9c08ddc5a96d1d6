//! Runs requests at the agent's own upstream.

use std::{io, pin::pin, time::Duration};

use bytes::Bytes;
use camphorwinch_core::dispatch::StepResult;
use futures::future::{self, Either};
use h3::error::Code;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Empty, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::{Frame, Incoming};
use tokio::{sync::mpsc, time, time::Instant};
use tokio_util::sync::CancellationToken;

use super::{
    body::{Disconnected, REPLAY_LIMIT_BYTES, RequestBody, ResponseWriter},
    metrics,
    node::Node,
    quic::EndWatcher,
    request::{self, RequestContext},
    slots::Slot,
    upstream::{AttemptError, RequestPayload, UpstreamConnection},
};
use crate::clock;

const NOT_RUN: &str = "camphorwinch-not-run";
/// A request that still streams its body or response after this time releases its slot.
const MAX_SLOT_HOLD: Duration = Duration::from_millis(100);
const BODY_CHANNEL_CAPACITY: usize = 2;

type BodySender = mpsc::Sender<Result<Bytes, io::Error>>;

/// Runs the request. None if a response was relayed, complete or not.
pub(crate) async fn run(
    context: &mut RequestContext,
    body: &mut RequestBody,
    writer: &mut ResponseWriter,
    end_watcher: &mut EndWatcher,
    slot: Slot,
) -> Option<StepResult> {
    let node = context.node.clone();
    if !node.backoff.lock().admit(clock::now_ms()) {
        return Some(StepResult::Refused { retry_ms: 0 });
    }
    if !body.rewind() {
        node.backoff.lock().record_abandoned();
        return Some(StepResult::BodyConsumed { retry_ms: 0 });
    }
    if writer.wait_for_start(body, node.slot_limiter.load()).await.is_err() {
        node.backoff.lock().record_abandoned();
        return Some(StepResult::Cancelled);
    }
    let mut conn = match node.upstream.connect(context.head.is_idempotent()).await {
        Ok(it) => it,
        Err(e) => return Some(record_failure(context, &e)),
    };
    let (sender, payload) = request_payload(body);
    let continued = CancellationToken::new();
    let request = match build_request(context, payload, body, &continued) {
        Ok(it) => it,
        Err(e) => {
            node.backoff.lock().record_abandoned();
            tracing::debug!("build the request to the upstream: {e}");
            return Some(StepResult::Refused { retry_ms: 0 });
        }
    };
    let body_copy = copy_body(body, sender, &continued);
    let exchange =
        exchange(context, &mut conn, request, body_copy, &continued, writer, end_watcher, slot)
            .await;
    match exchange {
        Exchange::NoResponse(report) => Some(report),
        Exchange::Complete => {
            node.upstream.put_idle(conn);
            None
        }
        Exchange::Aborted => None,
    }
}

enum Exchange {
    /// There was no response to relay.
    NoResponse(StepResult),
    /// The response was relayed completely.
    Complete,
    /// The response was aborted.
    Aborted,
}

async fn exchange<P>(
    context: &mut RequestContext,
    conn: &mut UpstreamConnection,
    request: Request<RequestPayload>,
    body_copy: P,
    continued: &CancellationToken,
    writer: &mut ResponseWriter,
    end_watcher: &mut EndWatcher,
    slot: Slot,
) -> Exchange
where
    P: Future<Output = Result<(), Disconnected>>,
{
    let node = context.node.clone();
    let started = Instant::now();
    let mut slot = Some(slot);
    let mut response_future = pin!(conn.send(request));
    let mut body_copy = pin!(body_copy);
    let mut timed_out =
        pin!(response_timeout(&node, context.head.is_idempotent(), context.head.deadline));
    let mut body_done = false;
    let mut continue_sent = false;
    let sent = loop {
        tokio::select! {
            sent = &mut response_future => break sent,
            result = &mut body_copy, if !body_done => {
                body_done = true;
                if result.is_err() {
                    node.backoff.lock().record_abandoned();
                    return Exchange::NoResponse(StepResult::Cancelled);
                }
            }
            () = continued.cancelled(), if !continue_sent => {
                continue_sent = true;
                writer.send_continue().await;
            }
            _ = end_watcher.wait() => {
                node.backoff.lock().record_abandoned();
                return Exchange::NoResponse(StepResult::Cancelled);
            }
            () = &mut timed_out => {
                node.backoff.lock().record_refusal(clock::now_ms());
                metrics::count(&metrics::ATTEMPTS, "given-up");
                return Exchange::NoResponse(StepResult::ConnectionLost);
            }
            () = time::sleep_until(started + MAX_SLOT_HOLD), if slot.is_some() && !body_done => slot = None,
        }
    };
    let response = match sent {
        Ok(it) => it,
        Err(e) => return Exchange::NoResponse(record_failure(context, &e)),
    };
    if let Some(retry_ms) = rejected_retry_ms(&response) {
        metrics::count(&metrics::ATTEMPTS, "refused");
        node.backoff.lock().record_refusal(clock::now_ms());
        return Exchange::NoResponse(StepResult::Refused { retry_ms });
    }
    node.backoff.lock().record_success();
    if !context.on_response_head() {
        return Exchange::Aborted;
    }
    metrics::count(&metrics::ATTEMPTS, "answered");
    let relay = relay_response(context, response, writer, started, slot);
    let mut relay = pin!(relay);
    let relayed = if body_done {
        relay.await
    } else {
        match future::select(relay.as_mut(), body_copy).await {
            Either::Left((relayed, _)) => relayed,
            Either::Right((Ok(()), _)) => relay.await,
            Either::Right((Err(Disconnected), _)) => Err(AbortedBy::Caller),
        }
    };
    match relayed {
        Ok(()) => {
            metrics::count(&metrics::REQUESTS, "answered");
            Exchange::Complete
        }
        Err(AbortedBy::Caller) => {
            metrics::count(&metrics::REQUESTS, "cancelled");
            Exchange::Aborted
        }
        Err(AbortedBy::Upstream) => {
            metrics::count(&metrics::REQUESTS, "cut");
            Exchange::Aborted
        }
    }
}

/// Completes when waiting for a response should end. For a request that must not run twice, only the deadline ends it.
async fn response_timeout(node: &Node, idempotent: bool, deadline: Option<u64>) {
    if idempotent {
        tokio::select! {
            () = node.upstream_lost() => {}
            () = request::past_deadline(deadline) => {}
        }
    } else {
        request::past_deadline(deadline).await;
    }
}

/// Side that aborted a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AbortedBy {
    Caller,
    Upstream,
}

async fn relay_response(
    context: &RequestContext,
    response: Response<Incoming>,
    writer: &mut ResponseWriter,
    started: Instant,
    mut slot: Option<Slot>,
) -> Result<(), AbortedBy> {
    let (parts, mut incoming) = response.into_parts();
    let mut headers = parts.headers;
    request::strip_headers(&mut headers);
    let name = &context.node.settings.name;
    context.add_response_headers(&mut headers, Some(name));
    writer.send_head(parts.status, &headers, name).await.map_err(|_| AbortedBy::Caller)?;
    loop {
        let frame = tokio::select! {
            frame = incoming.frame() => frame,
            () = time::sleep_until(started + MAX_SLOT_HOLD), if slot.is_some() => {
                slot = None;
                continue;
            }
        };
        match frame {
            None => break,
            Some(Ok(frame)) => {
                let Ok(chunk) = frame.into_data() else {
                    continue;
                };
                writer.send_data(chunk).await.map_err(|_| AbortedBy::Caller)?;
            }
            Some(Err(e)) => {
                tracing::debug!("read the response of the upstream: {e}");
                writer.reset(Code::H3_INTERNAL_ERROR);
                return Err(AbortedBy::Upstream);
            }
        }
    }
    writer.finish().await.map_err(|_| AbortedBy::Caller)
}

/// Records a failed attempt.
fn record_failure(context: &RequestContext, e: &AttemptError) -> StepResult {
    tracing::debug!("request {}: {e}", context.head.id_text());
    context.node.backoff.lock().record_refusal(clock::now_ms());
    match e {
        AttemptError::NotSent(_) => {
            metrics::count(&metrics::ATTEMPTS, "not-sent");
            StepResult::Refused { retry_ms: 0 }
        }
        AttemptError::MaybeSent(_) => {
            metrics::count(&metrics::ATTEMPTS, "lost");
            StepResult::ConnectionLost
        }
    }
}

/// If the upstream rejected the request without running it: the time until a retry, in milliseconds.
fn rejected_retry_ms(response: &Response<Incoming>) -> Option<u64> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let headers = response.headers();
    let not_run = headers.get(NOT_RUN).is_some_and(|it| it.as_bytes() == b"true");
    not_run.then(|| retry_after_ms(headers))
}

fn retry_after_ms(headers: &HeaderMap) -> u64 {
    let value = headers.get(header::RETRY_AFTER).and_then(|it| it.to_str().ok());
    value.and_then(|it| it.parse::<u64>().ok()).map_or(0, |it| it.saturating_mul(1_000))
}

fn request_payload(body: &RequestBody) -> (Option<BodySender>, RequestPayload) {
    if !body.is_expected() {
        let empty = Empty::new().map_err(|never| match never {});
        return (None, UnsyncBoxBody::new(empty));
    }
    let (sender, receiver) = mpsc::channel::<Result<Bytes, io::Error>>(BODY_CHANNEL_CAPACITY);
    let stream = futures::stream::unfold(receiver, |mut receiver| async move {
        let chunk = receiver.recv().await?;
        Some((chunk.map(Frame::data), receiver))
    });
    (Some(sender), UnsyncBoxBody::new(StreamBody::new(stream)))
}

/// Sends the body to the upstream. If the caller disconnects, the attempt fails, so that the upstream doesn't accept an
/// incomplete body.
async fn copy_body(
    body: &mut RequestBody,
    sender: Option<BodySender>,
    continued: &CancellationToken,
) -> Result<(), Disconnected> {
    let Some(sender) = sender else {
        return Ok(());
    };
    loop {
        match body.next_after_continue(continued).await {
            Ok(Some(chunk)) => {
                if sender.send(Ok(chunk)).await.is_err() {
                    // The upstream has responded or disconnected; the response shows which.
                    return Ok(());
                }
            }
            Ok(None) => return Ok(()),
            Err(e) => {
                let error = io::Error::new(io::ErrorKind::ConnectionAborted, e);
                // Fails only if the attempt has ended already.
                let _ = sender.send(Err(error)).await;
                return Err(e);
            }
        }
    }
}

fn build_request(
    context: &RequestContext,
    payload: RequestPayload,
    body: &RequestBody,
    continued: &CancellationToken,
) -> Result<Request<RequestPayload>, http::Error> {
    let mut request = Request::builder()
        .method(context.head.method.clone())
        .uri(context.head.path.as_str())
        .body(payload)?;
    *request.headers_mut() = context.head.upstream_headers(&context.service);
    if !request.headers().contains_key(header::HOST) {
        request::set_header(request.headers_mut(), header::HOST, &context.service.name);
    }
    if body.is_expected() && context.head.length().is_none_or(|it| it > REPLAY_LIMIT_BYTES as u64) {
        request::set_header(request.headers_mut(), header::EXPECT, "100-continue");
        let continued = continued.clone();
        hyper::ext::on_informational(&mut request, move |response| {
            if response.status() == StatusCode::CONTINUE {
                continued.cancel();
            }
        });
    }
    Ok(request)
}
