//! Links between agents: opened on demand and reused for later exchanges.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, bail};
use bytes::Bytes;
use camphorwinch_wire::handover::{Accepted, Chunk, Envelope, Head, HeaderField, Kind};
use futures::{
    SinkExt, StreamExt,
    future::BoxFuture,
    stream::{SplitSink, SplitStream},
};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use parking_lot::Mutex;
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use super::{
    body::Disconnected,
    quic::{EndWatcher, StreamEnd},
};
use crate::control::{Control, FramedStream};

/// Idle links are closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_IDLE_PER_PEER: usize = 16;
/// Timeout for the start message after a slot was reserved.
const START_TIMEOUT: Duration = Duration::from_secs(2);
const MESSAGE_CHANNEL_CAPACITY: usize = 2;

/// Opens links to other agents.
pub(crate) trait Dial: Send + Sync {
    /// Connects to a peer and performs the handshake of the link.
    fn dial<'a>(
        &'a self,
        peer: &'a str,
        address: SocketAddr,
    ) -> BoxFuture<'a, anyhow::Result<FramedStream>>;
}

impl Dial for Control {
    fn dial<'a>(
        &'a self,
        peer: &'a str,
        address: SocketAddr,
    ) -> BoxFuture<'a, anyhow::Result<FramedStream>> {
        Box::pin(Control::dial(self, peer, address))
    }
}

/// Idle links that this agent opened, by peer.
pub(crate) struct LinkCache {
    dial: Arc<dyn Dial>,
    idle: Mutex<BTreeMap<String, Vec<(Instant, Link)>>>,
}

/// A link that this agent opened.
pub(crate) struct Link {
    pub(crate) peer: String,
    pub(crate) sink: MessageSink,
    pub(crate) stream: SplitStream<FramedStream>,
}

/// The sending side of a link.
pub(crate) struct MessageSink(SplitSink<FramedStream, Bytes>);

impl MessageSink {
    /// Sends a message. Fails if the link is closed.
    pub(crate) async fn send(&mut self, kind: Kind) -> Result<(), Disconnected> {
        self.0.send(Envelope::to_frame(kind)).await.map_err(|_| Disconnected)
    }
}

impl Link {
    /// Receives the next message.
    pub(crate) async fn recv(&mut self) -> anyhow::Result<Kind> {
        recv(&mut self.stream).await.with_context(|| format!("link to {}", self.peer))
    }
}

/// Receives the next message of a stream.
pub(crate) async fn recv(stream: &mut SplitStream<FramedStream>) -> anyhow::Result<Kind> {
    let Some(frame) = stream.next().await else {
        bail!("connection closed");
    };
    Ok(Envelope::parse(&frame?)?)
}

impl LinkCache {
    /// An empty cache that opens links with `dial`.
    pub(crate) fn new(dial: Arc<dyn Dial>) -> LinkCache {
        LinkCache { dial, idle: Mutex::default() }
    }

    /// Takes an idle link to the peer out of the cache.
    pub(crate) fn take_idle(&self, peer: &str) -> Option<Link> {
        let mut idle = self.idle.lock();
        let links = idle.get_mut(peer)?;
        let now = Instant::now();
        links.retain(|(at, _)| now < *at + IDLE_TIMEOUT);
        links.pop().map(|(_, link)| link)
    }

    /// Opens a new link.
    pub(crate) async fn open(&self, peer: &str, address: SocketAddr) -> anyhow::Result<Link> {
        let (sink, stream) = self.dial.dial(peer, address).await?.split();
        Ok(Link { peer: peer.to_owned(), sink: MessageSink(sink), stream })
    }

    /// Puts a link into the cache once its exchange is complete on both sides.
    pub(crate) fn put_idle(&self, link: Link) {
        let mut idle = self.idle.lock();
        let links = idle.entry(link.peer.clone()).or_default();
        if links.len() < MAX_IDLE_PER_PEER {
            links.push((Instant::now(), link));
        }
    }

    /// Closes links that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        for links in idle.values_mut() {
            links.retain(|(at, _)| now < *at + IDLE_TIMEOUT);
        }
        idle.retain(|_, links| !links.is_empty());
    }
}

/// The receiving side of a link that another agent opened, during an exchange.
pub(crate) struct LinkReceiver {
    messages: mpsc::Receiver<Kind>,
    started: bool,
    body_done: bool,
}

impl LinkReceiver {
    /// Whether the start message was received.
    pub(crate) fn is_started(&self) -> bool {
        self.started
    }

    /// Waits for the start message.
    pub(crate) async fn wait_for_start(&mut self) -> Result<(), Disconnected> {
        match time::timeout(START_TIMEOUT, self.messages.recv()).await {
            Ok(Some(Kind::Start(_))) => {
                self.started = true;
                Ok(())
            }
            _ => Err(Disconnected),
        }
    }

    /// Receives the next chunk of the body.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, Disconnected> {
        if self.body_done {
            return Ok(None);
        }
        match self.messages.recv().await {
            Some(Kind::Chunk(Chunk { data, last })) => {
                self.body_done = last;
                Ok((!data.is_empty()).then_some(data))
            }
            _ => Err(Disconnected),
        }
    }

    /// Receives the first message of the next exchange.
    pub(crate) async fn next_request(&mut self) -> Option<Kind> {
        self.started = false;
        self.body_done = false;
        self.messages.recv().await
    }
}

/// The sending side of a link that another agent opened.
pub(crate) struct LinkSender {
    sink: MessageSink,
    failed: bool,
}

impl LinkSender {
    /// Sends a message. Fails if the link is closed or was reset.
    pub(crate) async fn send(&mut self, kind: Kind) -> Result<(), Disconnected> {
        if self.failed {
            return Err(Disconnected);
        }
        let sent = self.sink.send(kind).await;
        self.failed |= sent.is_err();
        sent
    }

    /// Accepts an offer and reports the load; a slot is reserved for it.
    pub(crate) async fn accept_offer(&mut self, load: f64) -> Result<(), Disconnected> {
        self.send(Kind::Accepted(Accepted { load })).await
    }

    /// Sends the head of a response.
    pub(crate) async fn send_head(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        upstream: &str,
    ) -> Result<(), Disconnected> {
        let head = Head {
            status: u32::from(status.as_u16()),
            fields: fields(headers),
            upstream: upstream.to_owned(),
        };
        self.send(Kind::Head(head)).await
    }

    /// Sends a chunk of a response body.
    pub(crate) async fn send_data(&mut self, data: Bytes, last: bool) -> Result<(), Disconnected> {
        self.send(Kind::Chunk(Chunk { data, last })).await
    }

    /// Marks the link as failed, so that it is closed; the peer treats the response as aborted.
    pub(crate) fn reset(&mut self) {
        self.failed = true;
    }

    /// Whether the link can be used for another exchange.
    pub(crate) fn is_usable(&self) -> bool {
        !self.failed
    }
}

/// Splits a link that another agent opened. A task reads from it until it closes, which cancels the token.
pub(crate) fn accept(stream: FramedStream) -> (LinkReceiver, LinkSender, CancellationToken) {
    let (sink, mut stream) = stream.split();
    let (sender, messages) = mpsc::channel(MESSAGE_CHANNEL_CAPACITY);
    let closed = CancellationToken::new();
    let guard = closed.clone().drop_guard();
    tokio::spawn(async move {
        let _guard = guard;
        loop {
            let kind = tokio::select! {
                kind = recv(&mut stream) => kind,
                () = sender.closed() => return,
            };
            let Ok(kind) = kind else {
                return;
            };
            if sender.send(kind).await.is_err() {
                return;
            }
        }
    });
    let receiver = LinkReceiver { messages, started: false, body_done: false };
    (receiver, LinkSender { sink: MessageSink(sink), failed: false }, closed)
}

/// A watcher that completes when the link closes.
pub(crate) fn end_watcher(closed: &CancellationToken) -> EndWatcher {
    let closed = closed.clone();
    EndWatcher::new(async move {
        closed.cancelled().await;
        StreamEnd::Cancelled
    })
}

/// Converts headers to the fields of a message.
pub(crate) fn fields(headers: &HeaderMap) -> Vec<HeaderField> {
    let field = |(name, value): (&HeaderName, &HeaderValue)| HeaderField {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(field).collect()
}

/// Converts the fields of a message to headers; malformed ones are left out.
pub(crate) fn headers(fields: &[HeaderField]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}
