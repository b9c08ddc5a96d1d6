//! Links to other processes: accepting, opening, greeting, and the tasks that read and write frames.

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
    message::{Body, Frame, Hello, PROTOCOL, Purpose},
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
        Accepted, Inner, Stream,
        peer::{Link, LinkId, LinkKind},
        state::State,
    },
    event::{self, About, Id},
    metrics,
};

/// Longest wait for a connection, its handshake and its greeting.
const GREET_TIMEOUT: Duration = Duration::from_secs(2);
/// Frames that may wait to be written to one peer.
const OUTBOX: usize = 1_024;
/// Connections that may be in their handshake at once; further ones wait in the listener's queue.
const HANDSHAKES: usize = 256;
/// A link that was heard of more recently goes before a second one that the peer opens, in milliseconds.
const FRESH_MS: u64 = 1_500;
/// Least time between two events about refused connections, in milliseconds.
const REFUSED_GAP_MS: u64 = 10_000;
/// Bytes that a frame adds on the wire: its length and what TLS puts around it.
const FRAME_OVERHEAD: u64 = 4 + 22;

/// Accepts links until the process stops.
pub(crate) async fn listen(inner: Arc<Inner>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(HANDSHAKES));
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
            let result = timeout(GREET_TIMEOUT, accept(&inner, stream)).await;
            drop(permit);
            match result {
                Ok(Ok((stream, hello))) => serve(inner, stream, hello, address).await,
                Ok(Err(e)) => refused(address, &format!("{e:#}")),
                Err(_) => refused(address, "no greeting in time"),
            }
        });
    }
}

static REFUSED: LazyLock<IntCounterVec> =
    LazyLock::new(|| metrics::counter("links_refused_total", "Links refused", "at"));
static REFUSED_MS: AtomicU64 = AtomicU64::new(0);

/// Counts a refused connection; an event tells of one from time to time, since anybody can open connections.
fn refused(address: SocketAddr, why: &str) {
    REFUSED.with_label_values(&["greeting"]).inc();
    let now = now_ms();
    let last = REFUSED_MS.load(Ordering::Relaxed);
    if last != 0 && now.saturating_sub(last) < REFUSED_GAP_MS {
        return;
    }
    REFUSED_MS.store(now.max(1), Ordering::Relaxed);
    event::emit(Id::LinkRefused, About::new(), &format!("{address}: {why}"));
}

async fn accept(inner: &Inner, stream: TcpStream) -> anyhow::Result<(Stream, Hello)> {
    stream.set_nodelay(true)?;
    let stream = inner.tls.accept(stream).await.context("TLS handshake")?;
    let mut stream = frame::frames(stream);
    let hello = read_hello(&mut stream).await?;
    if hello.purpose() != Purpose::Handover {
        send_hello(inner, &mut stream, hello.purpose()).await?;
    }
    Ok((stream, hello))
}

async fn read_hello(stream: &mut Stream) -> anyhow::Result<Hello> {
    let bytes = stream.next().await.context("closed before the greeting")??;
    metrics::control_received(bytes.len() as u64 + FRAME_OVERHEAD);
    let Body::Hello(hello) = Frame::parse(&bytes)? else {
        bail!("the first frame is no greeting");
    };
    if hello.protocol != PROTOCOL {
        bail!("protocol {} of {:?}; this process speaks {PROTOCOL}", hello.protocol, hello.name);
    }
    Ok(hello)
}

/// Sends the greeting of this process.
pub(crate) async fn send_hello(
    inner: &Inner,
    stream: &mut Stream,
    purpose: Purpose,
) -> anyhow::Result<()> {
    let hello = {
        let state = inner.state.lock();
        Hello {
            protocol: PROTOCOL,
            purpose: purpose as i32,
            name: state.own.name().to_owned(),
            incarnation: state.own.version.major,
            pools: state.pools.clone(),
        }
    };
    let frame = Frame::new(Body::Hello(hello)).encode_to_vec();
    metrics::control_sent(frame.len() as u64 + FRAME_OVERHEAD);
    stream.send(Bytes::from(frame)).await.context("send the greeting")
}

async fn serve(inner: Arc<Inner>, stream: Stream, hello: Hello, address: SocketAddr) {
    let agent = inner.state.lock().is_agent();
    match hello.purpose() {
        Purpose::Handover if agent => {
            let accepted = Accepted { peer: hello.name, stream };
            if inner.accepted_tx.try_send(accepted).is_err() {
                refused(address, "too many links for requests wait");
            }
        }
        Purpose::Mesh if !agent => run(inner, stream, hello, LinkKind::Mesh, false).await,
        Purpose::Agent if !agent => run(inner, stream, hello, LinkKind::Agent, false).await,
        other => refused(address, &format!("{other:?} is not offered here")),
    }
}

/// Opens a link to a balancer and runs it until it ends. Returns an error if it could not be opened.
pub(crate) async fn open(inner: Arc<Inner>, address: SocketAddr) -> anyhow::Result<()> {
    let agent = inner.state.lock().is_agent();
    let (purpose, kind) = match agent {
        true => (Purpose::Agent, LinkKind::Home),
        false => (Purpose::Mesh, LinkKind::Mesh),
    };
    let greet = async {
        let stream = TcpStream::connect(address).await.context("connect")?;
        stream.set_nodelay(true)?;
        let stream = inner.tls.connect(stream).await.context("TLS handshake")?;
        let mut stream = frame::frames(stream);
        send_hello(&inner, &mut stream, purpose).await?;
        let hello = read_hello(&mut stream).await?;
        anyhow::Ok((stream, hello))
    };
    let (stream, hello) = timeout(GREET_TIMEOUT, greet).await.context("timeout")??;
    run(inner, stream, hello, kind, true).await;
    Ok(())
}

/// Runs a link until either side ends it.
async fn run(inner: Arc<Inner>, stream: Stream, hello: Hello, kind: LinkKind, opened: bool) {
    let (sink, source) = stream.split();
    let (outbox, frames) = mpsc::channel(OUTBOX);
    let stop = inner.stop.child_token();
    let scope = match kind {
        LinkKind::Mesh => Scope::All,
        LinkKind::Agent => Scope::Pools(hello.pools.iter().cloned().collect()),
        LinkKind::Home => Scope::Pools(inner.state.lock().pools.iter().cloned().collect()),
    };
    let link = Link {
        peer: hello.name.clone(),
        kind,
        opened,
        scope,
        ended: false,
        silent: false,
        differs: false,
        heard_ms: now_ms(),
        digest_ms: now_ms(),
        outbox,
        stop: stop.clone(),
    };
    let Some(id) = register(&mut inner.state.lock(), link) else {
        return;
    };
    tokio::spawn(write(sink, frames, stop.clone()));
    inner.linked(id, &hello.name);
    let why = read(&inner, id, source, &stop).await;
    stop.cancel();
    inner.unlinked(id, &hello.name, &why);
}

/// Adds the link unless there is one already. Of two links between the same processes that both opened at once, the one
/// that the lower name opened stays, so that both sides decide alike.
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
        let crossed = old.opened != link.opened;
        let lower = state.own.name() < link.peer.as_str();
        let fresh = now.saturating_sub(old.heard_ms) < FRESH_MS;
        if crossed && fresh && link.opened != lower {
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
    mut sink: SplitSink<Stream, Bytes>,
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
        metrics::control_sent(frame.len() as u64 + FRAME_OVERHEAD);
        let sent = tokio::select! {
            it = sink.send(frame) => it.is_ok(),
            () = stop.cancelled() => false,
        };
        if !sent {
            break;
        }
    }
    stop.cancel();
    let _ = timeout(GREET_TIMEOUT, sink.close()).await;
}

async fn read(
    inner: &Arc<Inner>,
    id: LinkId,
    mut source: SplitStream<Stream>,
    stop: &CancellationToken,
) -> String {
    loop {
        let next = tokio::select! {
            it = source.next() => it,
            () = stop.cancelled() => return "ended here".to_owned(),
        };
        let bytes = match next {
            Some(Ok(bytes)) => bytes,
            Some(Err(e)) => return format!("read: {e}"),
            None => return "ended by the peer".to_owned(),
        };
        metrics::control_received(bytes.len() as u64 + FRAME_OVERHEAD);
        let body = match Frame::parse(&bytes) {
            Ok(body) => body,
            Err(e) => return format!("faulty frame: {e}"),
        };
        if let Err(e) = inner.receive(id, body) {
            return format!("faulty message: {e}");
        }
    }
}
