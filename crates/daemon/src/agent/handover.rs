//! Handing requests over between agents.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use camphorwinch_core::{
    dispatch::{Outcome, Report},
    object::ServiceId,
};
use camphorwinch_wire::handover::{self as wire, Chunk, Go, Kind, Lost, Offer, Refused};
use futures::stream::SplitStream;
use h3::error::Code;
use http::{Method, StatusCode};
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::{
    body::{Body, GivenUp, Inlet, Outlet, Way},
    claim,
    link::{self, Link, LinkInlet, LinkOutlet, Sink},
    meter,
    node::Node,
    notice,
    quic::Ended,
    request::{self, Ask, Course},
};
use crate::{
    clock,
    control::{Accepted, Stream},
    event::{About, Id},
};

/// Longest wait for a peer's word on an offer.
const OFFER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a peer that can't be reached is left alone.
const UNREACHED_MS: u64 = 1_000;

/// Offers the request to a peer, and passes on what it answers. None if an answer was passed on, whole or broken off.
pub(crate) async fn offer(
    course: &mut Course,
    to: &str,
    body: &mut Body,
    outlet: &mut Outlet,
    ended: &mut Ended,
) -> Option<Report> {
    if !body.rewind() {
        return Some(Report::Consumed { retry_ms: 0 });
    }
    let node = Arc::clone(&course.node);
    let taken = tokio::select! {
        taken = time::timeout(OFFER_TIMEOUT, ask(course, to, body)) => taken,
        _ = ended.wait() => return Some(Report::Cancelled),
    };
    let now = clock::now_ms();
    let (mut link, load) = match taken {
        Ok(Ok(Reply::Taken(link, load))) => (link, load),
        Ok(Ok(Reply::Refused(link, retry_ms))) => {
            // What it tells the caller is longer than a full peer stays full.
            node.hints.lock().refused(to, 0, now);
            node.links.keep(link);
            meter::count(&meter::ATTEMPTS, "peer-refused");
            return Some(Report::Refused { retry_ms });
        }
        Ok(Err(e)) => {
            tracing::debug!("offer request {} to {to}: {e:#}", course.ask.id_text());
            node.hints.lock().refused(to, UNREACHED_MS, now);
            meter::count(&meter::ATTEMPTS, "peer-unreached");
            return Some(Report::Refused { retry_ms: 0 });
        }
        Err(_) => {
            node.hints.lock().refused(to, UNREACHED_MS, now);
            meter::count(&meter::ATTEMPTS, "peer-late");
            return Some(Report::Refused { retry_ms: 0 });
        }
    };
    node.hints.lock().took(to, load, now);
    // Until here the peer has not begun; from the first byte of the next message on it may have.
    if outlet.ready(body, load).await.is_err() {
        return Some(Report::Cancelled);
    }
    if link.sink.send(Kind::Go(Go {})).await.is_err() {
        return Some(Report::Lost);
    }
    let about = About::new().with_service(&course.service.name);
    notice::emit(Id::RequestHanded, about.with_request(&course.ask.id_text()), to);
    let exchange = exchange(course, &mut link, body, outlet, ended).await;
    match exchange {
        Exchange::Next(report) => {
            meter::count(&meter::ATTEMPTS, "peer-ended");
            Some(report)
        }
        Exchange::Whole { clean } => {
            if clean {
                node.links.keep(link);
            }
            meter::count(&meter::REQUESTS, "handed");
            None
        }
        Exchange::Broken(outcome) => {
            meter::count(&meter::REQUESTS, outcome);
            None
        }
    }
}

enum Reply {
    Taken(Link, f64),
    Refused(Link, u64),
}

/// Sends the offer and waits for the peer's word. A kept link may have been closed by the peer: then a new one is used.
async fn ask(course: &Course, to: &str, body: &Body) -> anyhow::Result<Reply> {
    let links = &course.node.links;
    if let Some(link) = links.kept(to) {
        if let Ok(reply) = ask_over(course, link, body).await {
            return Ok(reply);
        }
    }
    let snapshot = course.node.snapshot();
    let Some(agent) = snapshot.agents.get(to) else {
        anyhow::bail!("it has gone");
    };
    let link = links.open(to, agent.control).await?;
    ask_over(course, link, body).await
}

async fn ask_over(course: &Course, mut link: Link, body: &Body) -> anyhow::Result<Reply> {
    let ask = &course.ask;
    let offer = Offer {
        service: course.service.id.0,
        request: ask.id.to_be_bytes().to_vec(),
        hop: u32::from(ask.hop) + 1,
        left_ms: ask.deadline.map_or(0, |it| it.saturating_sub(clock::now_ms()).max(1)),
        method: ask.method.as_str().to_owned(),
        path: ask.path.clone(),
        fields: link::fields(&ask.headers),
        body: body.is_expected(),
    };
    link.sink.send(Kind::Offer(offer)).await?;
    match link.recv().await? {
        Kind::Taken(it) => Ok(Reply::Taken(link, it.load)),
        Kind::Refused(it) => Ok(Reply::Refused(link, it.retry_ms)),
        _ => anyhow::bail!("{} answered an offer with something else", link.peer),
    }
}

enum Exchange {
    /// No answer to pass on.
    Next(Report),
    /// The answer was passed on whole; whether the link is at rest.
    Whole { clean: bool },
    /// The answer broke off.
    Broken(&'static str),
}

async fn exchange(
    course: &mut Course,
    link: &mut Link,
    body: &mut Body,
    outlet: &mut Outlet,
    ended: &mut Ended,
) -> Exchange {
    let Link { sink, stream, .. } = link;
    let wanted = CancellationToken::new();
    let mut pump = pin!(pump(body, sink, &wanted));
    let mut overdue = pin!(request::overdue(course.ask.deadline));
    let mut pumped = false;
    let head = loop {
        tokio::select! {
            kind = link::recv(stream) => match kind {
                Ok(Kind::Resume(_)) => {
                    wanted.cancel();
                    outlet.resume().await;
                }
                other => break other,
            },
            result = &mut pump, if !pumped => {
                pumped = true;
                if result == Err(Pumped::Caller) {
                    return Exchange::Next(Report::Cancelled);
                }
            }
            _ = ended.wait() => return Exchange::Next(Report::Cancelled),
            () = &mut overdue => return Exchange::Next(Report::Lost),
        }
    };
    let head = match head {
        Ok(Kind::Head(it)) => it,
        Ok(Kind::Refused(Refused { retry_ms })) => {
            return Exchange::Next(Report::Refused { retry_ms });
        }
        Ok(_) | Err(_) => return Exchange::Next(Report::Lost),
    };
    let Some(status) = status(head.status) else {
        return Exchange::Next(Report::Lost);
    };
    if !course.head() {
        return Exchange::Broken("cut");
    }
    let mut headers = link::headers(&head.fields);
    request::strip(&mut headers);
    course.answer_headers(&mut headers, Some(&head.upstream));
    if outlet.head(status, &headers, &head.upstream).await.is_err() {
        return Exchange::Broken("cancelled");
    }
    let mut relay = pin!(relay(stream, outlet));
    let relayed = loop {
        tokio::select! {
            relayed = &mut relay => break relayed,
            result = &mut pump, if !pumped => {
                pumped = true;
                if result == Err(Pumped::Caller) {
                    return Exchange::Broken("cancelled");
                }
            }
        }
    };
    match relayed {
        Ok(()) => Exchange::Whole { clean: pumped },
        Err(outcome) => Exchange::Broken(outcome),
    }
}

async fn relay(stream: &mut SplitStream<Stream>, outlet: &mut Outlet) -> Result<(), &'static str> {
    loop {
        let (data, last) = match link::recv(stream).await {
            Ok(Kind::Chunk(Chunk { data, last })) => (data, last),
            Ok(Kind::Resume(_)) => continue,
            Ok(_) | Err(_) => {
                outlet.reset(Code::H3_INTERNAL_ERROR);
                return Err("cut");
            }
        };
        if !data.is_empty() {
            outlet.data(data).await.map_err(|_| "cancelled")?;
        }
        if last {
            return outlet.finish().await.map_err(|_| "cancelled");
        }
    }
}

fn status(number: u32) -> Option<StatusCode> {
    StatusCode::from_u16(u16::try_from(number).ok()?).ok()
}

/// Which side ended a body half-way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pumped {
    Caller,
    Peer,
}

async fn pump(body: &mut Body, sink: &mut Sink, wanted: &CancellationToken) -> Result<(), Pumped> {
    if !body.is_expected() {
        return Ok(());
    }
    loop {
        let (data, last) = match body.next_when(wanted).await {
            Ok(Some(data)) => (data, false),
            Ok(None) => (Bytes::new(), true),
            Err(GivenUp) => return Err(Pumped::Caller),
        };
        // If the peer has gone, what it sent before says how the request ended.
        sink.send(Kind::Chunk(Chunk { data, last })).await.map_err(|_| Pumped::Peer)?;
        if last {
            return Ok(());
        }
    }
}

/// Serves a link that another agent opened, until it closes.
pub(crate) async fn serve(node: Arc<Node>, accepted: Accepted) {
    let peer = accepted.peer;
    let (mut inlet, mut outlet, closed) = link::accept(accepted.stream);
    loop {
        let next = match inlet.first().await {
            Some(Kind::Offer(offer)) => {
                // A stop waits for requests of other agents' flows too.
                let _running = node.tasks.token();
                let mut ended = link::ended(&closed);
                run(&node, offer, inlet, outlet, &mut ended).await
            }
            Some(Kind::Claim(call)) => match claim::answer(&node, &call) {
                Ok(reply) => {
                    let sent = outlet.send(Kind::Reply(reply)).await;
                    sent.is_ok().then_some((inlet, outlet))
                }
                Err(e) => {
                    notice::emit(Id::LinkRefused, About::new(), &format!("{peer}: {e}"));
                    None
                }
            },
            Some(_) => {
                notice::emit(Id::LinkRefused, About::new(), &format!("{peer}: out of turn"));
                None
            }
            None => None,
        };
        let Some(next) = next else {
            return;
        };
        (inlet, outlet) = next;
    }
}

/// Runs an offered request. Returns the link if it is at rest.
async fn run(
    node: &Arc<Node>,
    offer: Offer,
    inlet: LinkInlet,
    mut outlet: LinkOutlet,
    ended: &mut Ended,
) -> Option<(LinkInlet, LinkOutlet)> {
    let service = node.service(ServiceId(offer.service));
    let (Some(service), Some(ask)) = (service, read(&offer)) else {
        outlet.send(Kind::Refused(Refused { retry_ms: UNREACHED_MS })).await.ok()?;
        return Some((inlet, outlet));
    };
    let mut course = Course::new(Arc::clone(node), service, ask);
    let mut body = Body::new(Inlet::Link(inlet), offer.body);
    let mut outlet = Outlet::new(Way::Link(outlet));
    let outcome = request::carry(&mut course, &mut body, &mut outlet, ended).await;
    let Way::Link(mut outlet) = outlet.into_way() else {
        return None;
    };
    match outcome {
        None | Some(Outcome::Relay) => {}
        Some(Outcome::NotRun { retry_ms }) => {
            outlet.send(Kind::Refused(Refused { retry_ms })).await.ok()?;
        }
        Some(Outcome::Unknown { .. }) => outlet.send(Kind::Lost(Lost {})).await.ok()?,
        Some(Outcome::Cancelled) => return None,
    }
    let inlet = if body.is_begun() { body.into_link().await? } else { body.into_unread()? };
    (outlet.is_usable()).then_some((inlet, outlet))
}

fn read(offer: &Offer) -> Option<Ask> {
    let deadline = (offer.left_ms > 0).then(|| clock::now_ms().saturating_add(offer.left_ms));
    Some(Ask {
        id: wire::request_id(&offer.request).ok()?,
        method: Method::from_bytes(offer.method.as_bytes()).ok()?,
        path: offer.path.clone(),
        headers: link::headers(&offer.fields),
        deadline,
        hop: u8::try_from(offer.hop).ok().filter(|it| *it > 0)?,
    })
}
