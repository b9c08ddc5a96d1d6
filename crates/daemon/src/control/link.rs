//! Links to other processes: listener, handshake, and the tasks that read and write frames.

use std::{
    net::SocketAddr,
    sync::{
        Arc, LazyLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::{Context, bail};
use bytes::Bytes;
use camphorwinch_core::view::Scope;
use camphorwinch_wire::{
    frame,
    message::{Body, Frame, Hello, PROTOCOL_VERSION, Purpose},
};
use futures::{SinkExt, StreamExt, stream::SplitSink, stream::SplitStream};
use prometheus::IntCounterVec;
use prost::Message;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::now_ms,
    control::{
        AcceptedLink, FramedStream, Inner,
        peer::{Link, LinkId, LinkKind},
        state::State,
    },
    event::{self, EventId, EventSubject},
    metrics,
};

/// Limit for connecting, the TLS handshake and the exchange of hello messages.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of the send queue of a link.
const OUTBOX_FRAMES: usize = 1_024;
/// Concurrent inbound handshakes; further connections wait in the accept backlog.
const MAX_HANDSHAKES: usize = 256;
/// A link with a frame received within this time wins over a second one from the same peer.
const LIVE_LINK_MS: u64 = 1_500;
const REFUSED_EVENT_INTERVAL_MS: u64 = 10_000;
/// Length prefix and TLS record overhead of a frame.
const FRAME_OVERHEAD_BYTES: u64 = 4 + 22;

/// Accepts links until the process stops.
pub(crate) async fn listen(inner: Arc<Inner>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            it = listener.accept() => it,
            () = inner.stop.cancelled() => return,
        };
        let Ok((stream, address)) = accepted else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let inner = Arc::clone(&inner);
        tokio::spawn(async move {
            let result = timeout(HELLO_TIMEOUT, accept(&inner, stream)).await;
            drop(permit);
            match result {
                Ok(Ok((stream, hello))) => serve(inner, stream, hello, address).await,
                Ok(Err(e)) => record_refused(address, &format!("{e:#}")),
                Err(_) => record_refused(address, "no hello message before the timeout"),
            }
        });
    }
}

static REFUSED: LazyLock<IntCounterVec> =
    LazyLock::new(|| metrics::counter("links_refused_total", "Links refused", "at"));
static LAST_REFUSED_EVENT_MS: AtomicU64 = AtomicU64::new(0);

/// Counts a refused connection and emits a rate-limited event, since any host can connect.
fn record_refused(address: SocketAddr, reason: &str) {
    REFUSED.with_label_values(&["greeting"]).inc();
    let now = now_ms();
    let last = LAST_REFUSED_EVENT_MS.load(Ordering::Relaxed);
    if last != 0 && now.saturating_sub(last) < REFUSED_EVENT_INTERVAL_MS {
        return;
    }
    LAST_REFUSED_EVENT_MS.store(now.max(1), Ordering::Relaxed);
    event::emit(EventId::LinkRefused, EventSubject::new(), &format!("{address}: {reason}"));
}

async fn accept(inner: &Inner, stream: TcpStream) -> anyhow::Result<(FramedStream, Hello)> {
    stream.set_nodelay(true)?;
    let stream = inner.tls.accept(stream).await.context("TLS handshake")?;
    let mut stream = frame::frames(stream);
    let hello = read_hello(&mut stream).await?;
    if hello.purpose() != Purpose::Handover {
        send_hello(inner, &mut stream, hello.purpose()).await?;
    }
    Ok((stream, hello))
}

async fn read_hello(stream: &mut FramedStream) -> anyhow::Result<Hello> {
    let bytes = stream.next().await.context("connection closed before the hello message")??;
    metrics::control_received(bytes.len() as u64 + FRAME_OVERHEAD_BYTES);
    let Body::Hello(hello) = Frame::parse(&bytes)? else {
        bail!("the first frame is not a hello message");
    };
    if hello.protocol != PROTOCOL_VERSION {
        bail!(
            "unsupported protocol version {} of {:?}; expected {PROTOCOL_VERSION}",
            hello.protocol,
            hello.name
        );
    }
    Ok(hello)
}

pub(crate) async fn send_hello(
    inner: &Inner,
    stream: &mut FramedStream,
    purpose: Purpose,
) -> anyhow::Result<()> {
    let hello = {
        let state = inner.state.lock();
        Hello {
            protocol: PROTOCOL_VERSION,
            purpose: purpose as i32,
            name: state.own.name().to_owned(),
            incarnation: state.own.version.major,
            pools: state.pools.clone(),
        }
    };
    let frame = Frame::new(Body::Hello(hello)).encode_to_vec();
    metrics::control_sent(frame.len() as u64 + FRAME_OVERHEAD_BYTES);
    stream.send(Bytes::from(frame)).await.context("send the hello message")
}

async fn serve(inner: Arc<Inner>, stream: FramedStream, hello: Hello, address: SocketAddr) {
    let is_agent = inner.state.lock().is_agent();
    match hello.purpose() {
        Purpose::Handover if is_agent => {
            let accepted = AcceptedLink { peer: hello.name, stream };
            if inner.accepted_tx.try_send(accepted).is_err() {
                record_refused(address, "too many handover links are waiting to be accepted");
            }
        }
        Purpose::Mesh if !is_agent => run(inner, stream, hello, LinkKind::Mesh, false).await,
        Purpose::Agent if !is_agent => run(inner, stream, hello, LinkKind::Agent, false).await,
        other => {
            record_refused(address, &format!("{other:?} links are not supported by this process"))
        }
    }
}

/// Opens a link to a balancer and runs it until it closes. Returns an error if it could not be opened.
pub(crate) async fn open(inner: Arc<Inner>, address: SocketAddr) -> anyhow::Result<()> {
    let is_agent = inner.state.lock().is_agent();
    let (purpose, kind) = match is_agent {
        true => (Purpose::Agent, LinkKind::Balancer),
        false => (Purpose::Mesh, LinkKind::Mesh),
    };
    let handshake = async {
        let stream = TcpStream::connect(address).await.context("connect")?;
        stream.set_nodelay(true)?;
        let stream = inner.tls.connect(stream).await.context("TLS handshake")?;
        let mut stream = frame::frames(stream);
        send_hello(&inner, &mut stream, purpose).await?;
        let hello = read_hello(&mut stream).await?;
        anyhow::Ok((stream, hello))
    };
    let (stream, hello) = timeout(HELLO_TIMEOUT, handshake).await.context("timeout")??;
    run(inner, stream, hello, kind, true).await;
    Ok(())
}

/// Runs a link until either side closes it.
async fn run(inner: Arc<Inner>, stream: FramedStream, hello: Hello, kind: LinkKind, opened: bool) {
    let (sink, source) = stream.split();
    let (outbox, frames) = mpsc::channel(OUTBOX_FRAMES);
    let stop = inner.stop.child_token();
    let scope = match kind {
        LinkKind::Mesh => Scope::All,
        LinkKind::Agent => Scope::Pools(hello.pools.iter().cloned().collect()),
        LinkKind::Balancer => Scope::Pools(inner.state.lock().pools.iter().cloned().collect()),
    };
    let link = Link {
        peer: hello.name.clone(),
        kind,
        opened,
        scope,
        closing: false,
        timed_out: false,
        digest_pending: false,
        last_received_ms: now_ms(),
        last_digest_ms: now_ms(),
        outbox,
        stop: stop.clone(),
    };
    let Some(id) = register(&mut inner.state.lock(), link) else {
        return;
    };
    tokio::spawn(write(sink, frames, stop.clone()));
    inner.on_link_up(id, &hello.name);
    let reason = read(&inner, id, source, &stop).await;
    stop.cancel();
    inner.on_link_down(id, &hello.name, &reason);
}

/// Registers the link and replaces older ones to the same peer. Of two links that both sides opened simultaneously,
/// both keep the one opened by the process with the lower name.
fn register(state: &mut State, link: Link) -> Option<LinkId> {
    if link.peer == state.own.name() {
        return None;
    }
    let now = now_ms();
    let mut replaced = Vec::new();
    for (id, old) in &state.links {
        if old.peer != link.peer {
            continue;
        }
        let simultaneous = old.opened != link.opened;
        let opens_preferred = state.own.name() < link.peer.as_str();
        let live = now.saturating_sub(old.last_received_ms) < LIVE_LINK_MS;
        if simultaneous && live && link.opened != opens_preferred {
            return None;
        }
        replaced.push(*id);
    }
    for id in replaced {
        if let Some(old) = state.links.remove(&id) {
            old.stop.cancel();
        }
    }
    let id = state.add_link(link);
    state.send_digest(id);
    Some(id)
}

async fn write(
    mut sink: SplitSink<FramedStream, Bytes>,
    mut frames: mpsc::Receiver<Bytes>,
    stop: CancellationToken,
) {
    loop {
        let frame = tokio::select! {
            it = frames.recv() => it,
            () = stop.cancelled() => break,
        };
        let Some(frame) = frame else {
            break;
        };
        metrics::control_sent(frame.len() as u64 + FRAME_OVERHEAD_BYTES);
        let sent = tokio::select! {
            it = sink.send(frame) => it.is_ok(),
            () = stop.cancelled() => false,
        };
        if !sent {
            break;
        }
    }
    stop.cancel();
    let _ = timeout(HELLO_TIMEOUT, sink.close()).await;
}

async fn read(
    inner: &Arc<Inner>,
    id: LinkId,
    mut source: SplitStream<FramedStream>,
    stop: &CancellationToken,
) -> String {
    loop {
        let next = tokio::select! {
            it = source.next() => it,
            () = stop.cancelled() => return "closed by this process".to_owned(),
        };
        let bytes = match next {
            Some(Ok(bytes)) => bytes,
            Some(Err(e)) => return format!("read: {e}"),
            None => return "closed by the peer".to_owned(),
        };
        metrics::control_received(bytes.len() as u64 + FRAME_OVERHEAD_BYTES);
        let body = match Frame::parse(&bytes) {
            Ok(body) => body,
            Err(e) => return format!("invalid frame: {e}"),
        };
        if let Err(e) = inner.receive(id, body) {
            return format!("invalid message: {e}");
        }
    }
}
