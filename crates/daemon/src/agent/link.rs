//! Links between agents: opened when needed, kept for the next exchange.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use anyhow::{Context, bail};
use bytes::Bytes;
use camphorwinch_wire::handover::{Chunk, Field, Head, Kind, Packet, Taken};
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
    body::GivenUp,
    quic::{End, Ended},
};
use crate::control::{Control, Stream};

/// A link idle for longer is closed.
const KEEP: Duration = Duration::from_secs(20);
const MAX_KEPT: usize = 16;
/// Longest wait for the word to begin after a slot was taken.
const GO_TIMEOUT: Duration = Duration::from_secs(2);
const PACKETS: usize = 2;

/// How links to other agents are opened.
pub(crate) trait Dial: Send + Sync {
    /// Opens a link and greets.
    fn dial<'a>(
        &'a self,
        peer: &'a str,
        address: SocketAddr,
    ) -> BoxFuture<'a, anyhow::Result<Stream>>;
}

impl Dial for Control {
    fn dial<'a>(
        &'a self,
        peer: &'a str,
        address: SocketAddr,
    ) -> BoxFuture<'a, anyhow::Result<Stream>> {
        Box::pin(Control::dial(self, peer, address))
    }
}

/// Links that this agent opened.
pub(crate) struct Links {
    dial: Arc<dyn Dial>,
    kept: Mutex<BTreeMap<String, Vec<(Instant, Link)>>>,
}

/// A link that this agent opened.
pub(crate) struct Link {
    pub(crate) peer: String,
    pub(crate) sink: Sink,
    pub(crate) stream: SplitStream<Stream>,
}

/// The sending side of a link.
pub(crate) struct Sink(SplitSink<Stream, Bytes>);

impl Sink {
    /// Sends a message.
    pub(crate) async fn send(&mut self, kind: Kind) -> Result<(), GivenUp> {
        self.0.send(Packet::encoded(kind)).await.map_err(|_| GivenUp)
    }
}

impl Link {
    /// The next message.
    pub(crate) async fn recv(&mut self) -> anyhow::Result<Kind> {
        recv(&mut self.stream).await.with_context(|| format!("link to {}", self.peer))
    }
}

/// The next message of a stream.
pub(crate) async fn recv(stream: &mut SplitStream<Stream>) -> anyhow::Result<Kind> {
    let Some(frame) = stream.next().await else {
        bail!("closed");
    };
    Ok(Packet::decoded(&frame?)?)
}

impl Links {
    /// No links yet.
    pub(crate) fn new(dial: Arc<dyn Dial>) -> Links {
        Links { dial, kept: Mutex::default() }
    }

    /// A link that was used before, if one is kept.
    pub(crate) fn kept(&self, peer: &str) -> Option<Link> {
        let mut kept = self.kept.lock();
        let links = kept.get_mut(peer)?;
        let now = Instant::now();
        links.retain(|(at, _)| now < *at + KEEP);
        links.pop().map(|(_, link)| link)
    }

    /// A new link.
    pub(crate) async fn open(&self, peer: &str, address: SocketAddr) -> anyhow::Result<Link> {
        let (sink, stream) = self.dial.dial(peer, address).await?.split();
        Ok(Link { peer: peer.to_owned(), sink: Sink(sink), stream })
    }

    /// Keeps a link whose exchange is over on both sides.
    pub(crate) fn keep(&self, link: Link) {
        let mut kept = self.kept.lock();
        let links = kept.entry(link.peer.clone()).or_default();
        if links.len() < MAX_KEPT {
            links.push((Instant::now(), link));
        }
    }

    /// Closes links that were idle for long.
    pub(crate) fn sweep(&self) {
        let now = Instant::now();
        let mut kept = self.kept.lock();
        for links in kept.values_mut() {
            links.retain(|(at, _)| now < *at + KEEP);
        }
        kept.retain(|_, links| !links.is_empty());
    }
}

/// The receiving side of a link that another agent opened, during an exchange.
pub(crate) struct LinkInlet {
    packets: mpsc::Receiver<Kind>,
    ready: bool,
    last: bool,
}

impl LinkInlet {
    /// Whether the request may begin.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Waits for the word to begin.
    pub(crate) async fn ready(&mut self) -> Result<(), GivenUp> {
        match time::timeout(GO_TIMEOUT, self.packets.recv()).await {
            Ok(Some(Kind::Go(_))) => {
                self.ready = true;
                Ok(())
            }
            _ => Err(GivenUp),
        }
    }

    /// The next part of the body.
    pub(crate) async fn next(&mut self) -> Result<Option<Bytes>, GivenUp> {
        if self.last {
            return Ok(None);
        }
        match self.packets.recv().await {
            Some(Kind::Chunk(Chunk { data, last })) => {
                self.last = last;
                Ok((!data.is_empty()).then_some(data))
            }
            _ => Err(GivenUp),
        }
    }

    /// The first message of an exchange.
    pub(crate) async fn first(&mut self) -> Option<Kind> {
        self.ready = false;
        self.last = false;
        self.packets.recv().await
    }
}

/// The sending side of a link that another agent opened.
pub(crate) struct LinkOutlet {
    sink: Sink,
    broken: bool,
}

impl LinkOutlet {
    /// Sends a message.
    pub(crate) async fn send(&mut self, kind: Kind) -> Result<(), GivenUp> {
        if self.broken {
            return Err(GivenUp);
        }
        let sent = self.sink.send(kind).await;
        self.broken |= sent.is_err();
        sent
    }

    /// Says that a slot was taken.
    pub(crate) async fn taken(&mut self, load: f64) -> Result<(), GivenUp> {
        self.send(Kind::Taken(Taken { load })).await
    }

    /// Sends the head of an answer.
    pub(crate) async fn head(
        &mut self,
        status: StatusCode,
        headers: &HeaderMap,
        upstream: &str,
    ) -> Result<(), GivenUp> {
        let head = Head {
            status: u32::from(status.as_u16()),
            fields: fields(headers),
            upstream: upstream.to_owned(),
        };
        self.send(Kind::Head(head)).await
    }

    /// Sends a part of an answer's body.
    pub(crate) async fn data(&mut self, data: Bytes, last: bool) -> Result<(), GivenUp> {
        self.send(Kind::Chunk(Chunk { data, last })).await
    }

    /// Lets the link end here: the other side takes that for a broken answer.
    pub(crate) fn reset(&mut self) {
        self.broken = true;
    }

    /// Whether another exchange may follow.
    pub(crate) fn is_usable(&self) -> bool {
        !self.broken
    }
}

/// Splits a link that another agent opened. A task reads it until it closes; the end tells when.
pub(crate) fn accept(stream: Stream) -> (LinkInlet, LinkOutlet, CancellationToken) {
    let (sink, mut stream) = stream.split();
    let (sender, packets) = mpsc::channel(PACKETS);
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
    let inlet = LinkInlet { packets, ready: false, last: false };
    (inlet, LinkOutlet { sink: Sink(sink), broken: false }, closed)
}

/// The end of an exchange over a link: that the link closes.
pub(crate) fn ended(closed: &CancellationToken) -> Ended {
    let closed = closed.clone();
    Ended::new(async move {
        closed.cancelled().await;
        End::GivenUp
    })
}

/// Header fields as a message carries them.
pub(crate) fn fields(headers: &HeaderMap) -> Vec<Field> {
    let field = |(name, value): (&HeaderName, &HeaderValue)| Field {
        name: name.as_str().to_owned(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(field).collect()
}

/// Header fields from a message; malformed ones are left out.
pub(crate) fn headers(fields: &[Field]) -> HeaderMap {
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
