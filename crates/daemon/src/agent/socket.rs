//! The agent's UDP sockets: one that receives encapsulated datagrams, and a virtual one per service for the QUIC stack.

use std::{
    collections::VecDeque,
    fmt,
    future::Future,
    io::{self, IoSliceMut},
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, Waker},
};

use anyhow::Context as _;
use bytes::Bytes;
use parking_lot::Mutex;
use quinn::{
    AsyncUdpSocket, UdpPoller,
    udp::{RecvMeta, Transmit, UdpSockRef, UdpSocketState},
};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{io::Interest, net::UdpSocket};

/// Maximum number of datagrams queued for the QUIC stack; further ones are dropped.
const INBOX_CAPACITY: usize = 4_096;
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// A UDP socket that sends and receives in batches.
pub(crate) struct DataSocket {
    io: UdpSocket,
    state: UdpSocketState,
    local: SocketAddr,
}

impl fmt::Debug for DataSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DataSocket").field("local", &self.local).finish_non_exhaustive()
    }
}

impl DataSocket {
    /// Binds a socket.
    pub(crate) fn bind(address: SocketAddr) -> anyhow::Result<DataSocket> {
        let socket = bind_socket(address).with_context(|| format!("bind UDP socket {address}"))?;
        let local = socket.local_addr()?;
        let state = UdpSocketState::new(UdpSockRef::from(&socket))
            .with_context(|| format!("set up UDP socket {address}"))?;
        Ok(DataSocket { io: UdpSocket::from_std(socket)?, state, local })
    }

    /// The bound address.
    pub(crate) fn local_addr(&self) -> SocketAddr {
        self.local
    }

    /// Maximum number of datagrams that one receive buffer can hold.
    pub(crate) fn max_segments(&self) -> usize {
        self.state.gro_segments()
    }

    /// Sends without waiting; fails with `WouldBlock` if the socket is not writable.
    pub(crate) fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.io.try_io(Interest::WRITABLE, || self.state.send((&self.io).into(), transmit))
    }

    /// Receives into at least one buffer and returns how many were filled.
    pub(crate) async fn recv(
        &self,
        buffers: &mut [IoSliceMut<'_>],
        metas: &mut [RecvMeta],
    ) -> io::Result<usize> {
        loop {
            self.io.readable().await?;
            let received = self
                .io
                .try_io(Interest::READABLE, || self.state.recv((&self.io).into(), buffers, metas));
            match received {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                other => return other,
            }
        }
    }
}

fn bind_socket(address: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    // Errors are ignored: smaller buffers only lose more datagrams in bursts.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Virtual socket of one service: receives the decapsulated datagrams of callers and sends directly to them.
pub(crate) struct ServiceSocket {
    out: Arc<DataSocket>,
    inbox: Mutex<Inbox>,
}

#[derive(Default)]
struct Inbox {
    queue: VecDeque<(SocketAddr, Bytes)>,
    waker: Option<Waker>,
}

impl fmt::Debug for ServiceSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServiceSocket").field("out", &self.out).finish_non_exhaustive()
    }
}

impl ServiceSocket {
    /// Creates a socket that sends through `out`.
    pub(crate) fn new(out: Arc<DataSocket>) -> ServiceSocket {
        ServiceSocket { out, inbox: Mutex::default() }
    }

    /// Queues a caller's datagram for the QUIC stack; false if the queue is full.
    pub(crate) fn deliver(&self, caller: SocketAddr, payload: Bytes) -> bool {
        let mut inbox = self.inbox.lock();
        if inbox.queue.len() >= INBOX_CAPACITY {
            return false;
        }
        inbox.queue.push_back((caller, payload));
        let waker = inbox.waker.take();
        drop(inbox);
        if let Some(waker) = waker {
            waker.wake();
        }
        true
    }
}

impl AsyncUdpSocket for ServiceSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritePoller { out: Arc::clone(&self.out), writable: None })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        self.out.try_send(transmit)
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut inbox = self.inbox.lock();
        let mut count = 0;
        for (buf, meta) in bufs.iter_mut().zip(meta.iter_mut()) {
            let Some((caller, payload)) = inbox.queue.pop_front() else {
                break;
            };
            let len = payload.len().min(buf.len());
            buf[..len].copy_from_slice(&payload[..len]);
            *meta = RecvMeta { addr: caller, len, stride: len, ecn: None, dst_ip: None };
            count += 1;
        }
        if count > 0 {
            return Poll::Ready(Ok(count));
        }
        inbox.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.out.local)
    }

    fn max_transmit_segments(&self) -> usize {
        self.out.state.max_gso_segments()
    }

    fn may_fragment(&self) -> bool {
        self.out.state.may_fragment()
    }
}

type WritableFuture = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

struct WritePoller {
    out: Arc<DataSocket>,
    writable: Option<WritableFuture>,
}

impl fmt::Debug for WritePoller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WritePoller").field("out", &self.out).finish_non_exhaustive()
    }
}

impl UdpPoller for WritePoller {
    fn poll_writable(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let out = Arc::clone(&self.out);
        let writable =
            self.writable.get_or_insert_with(|| Box::pin(async move { out.io.writable().await }));
        let ready = writable.as_mut().poll(cx);
        if ready.is_ready() {
            self.writable = None;
        }
        ready
    }
}
