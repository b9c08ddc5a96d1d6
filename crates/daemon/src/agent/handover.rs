//! Handover of requests between agents.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use camphorwinch_core::{
    dispatch::{Outcome, StepResult},
    object::ServiceId,
};
use camphorwinch_wire::handover::{self as wire, Aborted, Chunk, Kind, Offer, Rejected, Start};
use futures::stream::SplitStream;
use h3::error::Code;
use http::{Method, StatusCode};
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::{
    body::{BodySource, Disconnected, RequestBody, ResponseTarget, ResponseWriter},
    claim,
    link::{self, Link, LinkReceiver, LinkSender, MessageSink},
    metrics,
    node::Node,
    quic::EndWatcher,
    request::{self, RequestContext, RequestHead},
    throttled,
};
use crate::{
    clock,
    control::{AcceptedLink, FramedStream},
    event::{EventId, EventSubject},
};

/// Timeout for a peer's reply to an offer.
const OFFER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an unreachable peer receives no offers.
const UNREACHABLE_BACKOFF_MS: u64 = 1_000;

/// Offers the request to a peer and relays its response. None if a response was relayed, complete or not.
pub(crate) async fn offer(
    context: &mut RequestContext,
    to: &str,
    body: &mut RequestBody,
    writer: &mut ResponseWriter,
    end_watcher: &mut EndWatcher,
) -> Option<StepResult> {
    if !body.rewind() {
        return Some(StepResult::BodyConsumed { retry_ms: 0 });
    }
    let node = Arc::clone(&context.node);
    let reply = tokio::select! {
        reply = time::timeout(OFFER_TIMEOUT, send_offer(context, to, body)) => reply,
        _ = end_watcher.wait() => return Some(StepResult::Cancelled),
    };
    let now = clock::now_ms();
    let (mut link, load) = match reply {
        Ok(Ok(OfferReply::Accepted(link, load))) => (link, load),
        Ok(Ok(OfferReply::Rejected(link, retry_ms))) => {
            // `retry_ms` is meant for callers: a full peer usually has a free slot earlier.
            node.peer_loads.lock().record_refused(to, 0, now);
            node.links.put_idle(link);
            metrics::count(&metrics::ATTEMPTS, "peer-refused");
            return Some(StepResult::Refused { retry_ms });
        }
        Ok(Err(e)) => {
            tracing::debug!("offer request {} to {to}: {e:#}", context.head.id_text());
            node.peer_loads.lock().record_refused(to, UNREACHABLE_BACKOFF_MS, now);
            metrics::count(&metrics::ATTEMPTS, "peer-unreached");
            return Some(StepResult::Refused { retry_ms: 0 });
        }
        Err(_) => {
            node.peer_loads.lock().record_refused(to, UNREACHABLE_BACKOFF_MS, now);
            metrics::count(&metrics::ATTEMPTS, "peer-late");
            return Some(StepResult::Refused { retry_ms: 0 });
        }
    };
    node.peer_loads.lock().record_accepted(to, load, now);
    // The peer has not started the request so far; it may once any byte of `Go` is sent.
    if writer.wait_for_start(body, load).await.is_err() {
        return Some(StepResult::Cancelled);
    }
    if link.sink.send(Kind::Start(Start {})).await.is_err() {
        return Some(StepResult::ConnectionLost);
    }
    let about = EventSubject::new().with_service(&context.service.name);
    throttled::emit(EventId::RequestHanded, about.with_request(&context.head.id_text()), to);
    let exchange = exchange(context, &mut link, body, writer, end_watcher).await;
    match exchange {
        Exchange::NoResponse(report) => {
            metrics::count(&metrics::ATTEMPTS, "peer-ended");
            Some(report)
        }
        Exchange::Complete { reusable } => {
            if reusable {
                node.links.put_idle(link);
            }
            metrics::count(&metrics::REQUESTS, "handed");
            None
        }
        Exchange::Aborted(outcome) => {
            metrics::count(&metrics::REQUESTS, outcome);
            None
        }
    }
}

/// Reply to an offer: the peer's load, or the time until a retry in milliseconds.
enum OfferReply {
    Accepted(Link, f64),
    Rejected(Link, u64),
}

/// Sends an offer and waits for the reply. Uses a new link if there is no idle one or it fails.
async fn send_offer(
    context: &RequestContext,
    to: &str,
    body: &RequestBody,
) -> anyhow::Result<OfferReply> {
    let links = &context.node.links;
    if let Some(link) = links.take_idle(to) {
        if let Ok(reply) = send_offer_over(context, link, body).await {
            return Ok(reply);
        }
    }
    let snapshot = context.node.snapshot();
    let Some(agent) = snapshot.agents.get(to) else {
        anyhow::bail!("agent {to} is not a member");
    };
    let link = links.open(to, agent.control).await?;
    send_offer_over(context, link, body).await
}

async fn send_offer_over(
    context: &RequestContext,
    mut link: Link,
    body: &RequestBody,
) -> anyhow::Result<OfferReply> {
    let head = &context.head;
    let offer = Offer {
        service: context.service.id.0,
        request: head.id.to_be_bytes().to_vec(),
        hop: u32::from(head.hop) + 1,
        remaining_ms: head.deadline.map_or(0, |it| it.saturating_sub(clock::now_ms()).max(1)),
        method: head.method.as_str().to_owned(),
        path: head.path.clone(),
        fields: link::fields(&head.headers),
        body: body.is_expected(),
    };
    link.sink.send(Kind::Offer(offer)).await?;
    match link.recv().await? {
        Kind::Accepted(it) => Ok(OfferReply::Accepted(link, it.load)),
        Kind::Rejected(it) => Ok(OfferReply::Rejected(link, it.retry_ms)),
        _ => anyhow::bail!("{} sent an unexpected reply to an offer", link.peer),
    }
}

enum Exchange {
    /// There was no response to relay.
    NoResponse(StepResult),
    /// The response was relayed completely; `reusable` if the link is idle again.
    Complete { reusable: bool },
    /// The response was aborted; holds the outcome for the request metric.
    Aborted(&'static str),
}

async fn exchange(
    context: &mut RequestContext,
    link: &mut Link,
    body: &mut RequestBody,
    writer: &mut ResponseWriter,
    end_watcher: &mut EndWatcher,
) -> Exchange {
    let Link { sink, stream, .. } = link;
    let continued = CancellationToken::new();
    let mut body_copy = pin!(copy_body(body, sink, &continued));
    let mut timed_out = pin!(request::past_deadline(context.head.deadline));
    let mut body_done = false;
    let head = loop {
        tokio::select! {
            kind = link::recv(stream) => match kind {
                Ok(Kind::Continue(_)) => {
                    continued.cancel();
                    writer.send_continue().await;
                }
                other => break other,
            },
            result = &mut body_copy, if !body_done => {
                body_done = true;
                if result == Err(BodyError::Caller) {
                    return Exchange::NoResponse(StepResult::Cancelled);
                }
            }
            _ = end_watcher.wait() => return Exchange::NoResponse(StepResult::Cancelled),
            () = &mut timed_out => return Exchange::NoResponse(StepResult::ConnectionLost),
        }
    };
    let head = match head {
        Ok(Kind::Head(it)) => it,
        Ok(Kind::Rejected(Rejected { retry_ms })) => {
            return Exchange::NoResponse(StepResult::Refused { retry_ms });
        }
        Ok(_) | Err(_) => return Exchange::NoResponse(StepResult::ConnectionLost),
    };
    let Some(status) = parse_status(head.status) else {
        return Exchange::NoResponse(StepResult::ConnectionLost);
    };
    if !context.on_response_head() {
        return Exchange::Aborted("cut");
    }
    let mut headers = link::headers(&head.fields);
    request::strip_headers(&mut headers);
    context.add_response_headers(&mut headers, Some(&head.upstream));
    if writer.send_head(status, &headers, &head.upstream).await.is_err() {
        return Exchange::Aborted("cancelled");
    }
    let mut relay = pin!(relay_response(stream, writer));
    let relayed = loop {
        tokio::select! {
            relayed = &mut relay => break relayed,
            result = &mut body_copy, if !body_done => {
                body_done = true;
                if result == Err(BodyError::Caller) {
                    return Exchange::Aborted("cancelled");
                }
            }
        }
    };
    match relayed {
        Ok(()) => Exchange::Complete { reusable: body_done },
        Err(outcome) => Exchange::Aborted(outcome),
    }
}

async fn relay_response(
    stream: &mut SplitStream<FramedStream>,
    writer: &mut ResponseWriter,
) -> Result<(), &'static str> {
    loop {
        let (data, last) = match link::recv(stream).await {
            Ok(Kind::Chunk(Chunk { data, last })) => (data, last),
            Ok(Kind::Continue(_)) => continue,
            Ok(_) | Err(_) => {
                writer.reset(Code::H3_INTERNAL_ERROR);
                return Err("cut");
            }
        };
        if !data.is_empty() {
            writer.send_data(data).await.map_err(|_| "cancelled")?;
        }
        if last {
            return writer.finish().await.map_err(|_| "cancelled");
        }
    }
}

fn parse_status(number: u32) -> Option<StatusCode> {
    StatusCode::from_u16(u16::try_from(number).ok()?).ok()
}

/// Side that closed its stream before the body was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyError {
    Caller,
    Peer,
}

/// Sends the request body to the peer.
async fn copy_body(
    body: &mut RequestBody,
    sink: &mut MessageSink,
    continued: &CancellationToken,
) -> Result<(), BodyError> {
    if !body.is_expected() {
        return Ok(());
    }
    loop {
        let (data, last) = match body.next_after_continue(continued).await {
            Ok(Some(data)) => (data, false),
            Ok(None) => (Bytes::new(), true),
            Err(Disconnected) => return Err(BodyError::Caller),
        };
        // The response decides the outcome if the peer has closed the link.
        sink.send(Kind::Chunk(Chunk { data, last })).await.map_err(|_| BodyError::Peer)?;
        if last {
            return Ok(());
        }
    }
}

/// Serves a link that another agent opened, until it closes.
pub(crate) async fn serve_link(node: Arc<Node>, accepted: AcceptedLink) {
    let peer = accepted.peer;
    let (mut receiver, mut sender, closed) = link::accept(accepted.stream);
    loop {
        let next = match receiver.next_request().await {
            Some(Kind::Offer(offer)) => {
                // A graceful stop also waits for requests from other agents.
                let _token = node.tasks.token();
                let mut end_watcher = link::end_watcher(&closed);
                run_offer(&node, offer, receiver, sender, &mut end_watcher).await
            }
            Some(Kind::Claim(call)) => match claim::handle_call(&node, &call) {
                Ok(reply) => {
                    let sent = sender.send(Kind::Reply(reply)).await;
                    sent.is_ok().then_some((receiver, sender))
                }
                Err(e) => {
                    throttled::emit(
                        EventId::LinkRefused,
                        EventSubject::new(),
                        &format!("{peer}: {e}"),
                    );
                    None
                }
            },
            Some(_) => {
                throttled::emit(
                    EventId::LinkRefused,
                    EventSubject::new(),
                    &format!("{peer}: unexpected message"),
                );
                None
            }
            None => None,
        };
        let Some(next) = next else {
            return;
        };
        (receiver, sender) = next;
    }
}

/// Handles an offered request. Returns the link if it can be used again.
async fn run_offer(
    node: &Arc<Node>,
    offer: Offer,
    receiver: LinkReceiver,
    mut sender: LinkSender,
    end_watcher: &mut EndWatcher,
) -> Option<(LinkReceiver, LinkSender)> {
    let service = node.get_or_open_service(ServiceId(offer.service));
    let (Some(service), Some(head)) = (service, request_head(&offer)) else {
        sender.send(Kind::Rejected(Rejected { retry_ms: UNREACHABLE_BACKOFF_MS })).await.ok()?;
        return Some((receiver, sender));
    };
    let mut context = RequestContext::new(Arc::clone(node), service, head);
    let mut body = RequestBody::new(BodySource::Link(receiver), offer.body);
    let mut writer = ResponseWriter::new(ResponseTarget::Link(sender));
    let outcome = request::execute(&mut context, &mut body, &mut writer, end_watcher).await;
    let ResponseTarget::Link(mut sender) = writer.into_target() else {
        return None;
    };
    match outcome {
        None | Some(Outcome::Response) => {}
        Some(Outcome::NotRun { retry_ms }) => {
            sender.send(Kind::Rejected(Rejected { retry_ms })).await.ok()?;
        }
        Some(Outcome::Unknown { .. }) => sender.send(Kind::Aborted(Aborted {})).await.ok()?,
        Some(Outcome::Cancelled) => return None,
    }
    let receiver =
        if body.is_started() { body.into_link().await? } else { body.into_unread_link()? };
    sender.is_usable().then_some((receiver, sender))
}

/// Head of the request in an offer; none if it is malformed.
fn request_head(offer: &Offer) -> Option<RequestHead> {
    let deadline =
        (offer.remaining_ms > 0).then(|| clock::now_ms().saturating_add(offer.remaining_ms));
    Some(RequestHead {
        id: wire::request_id(&offer.request).ok()?,
        method: Method::from_bytes(offer.method.as_bytes()).ok()?,
        path: offer.path.clone(),
        headers: link::headers(&offer.fields),
        deadline,
        hop: u8::try_from(offer.hop).ok().filter(|it| *it > 0)?,
    })
}
