//! Relay of one caller, with a socket of its own.

use std::{
    io::{self, IoSliceMut},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::Context;
use parking_lot::Mutex;
use quinn_udp::{RecvMeta, Transmit, UdpSocketState};
use rand::{SeedableRng, rngs::StdRng};
use socket2::{Domain, Protocol, SockAddr, SockRef, Socket, Type};
use tokio::{
    io::Interest,
    net::UdpSocket,
    time::{Instant, sleep},
};

use super::{
    faults::{Action, Faults},
    service::ShardState,
};

const SOCKET_BUFFER_BYTES: usize = 4 << 20;
/// Maximum size of a batch that the kernel coalesces (GRO).
pub(super) const RECV_BUFFER_BYTES: usize = 64 << 10;
const RECV_BATCH: usize = 4;

/// A UDP socket with its `quinn-udp` state.
#[derive(Debug)]
pub(super) struct Udp {
    pub(super) socket: UdpSocket,
    state: UdpSocketState,
}

impl Udp {
    /// Binds the address; with `reuse_port`, several sockets share it and the kernel distributes the callers over them.
    pub(super) fn bind(addr: SocketAddr, reuse_port: bool) -> anyhow::Result<Udp> {
        let step = || format!("bind {addr}/udp");
        let socket = Socket::new(Domain::for_address(addr), Type::DGRAM, Some(Protocol::UDP));
        let socket = socket.with_context(step)?;
        socket.set_reuse_port(reuse_port).with_context(step)?;
        socket.bind(&addr.into()).with_context(step)?;
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES).with_context(step)?;
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES).with_context(step)?;
        let socket = std::net::UdpSocket::from(socket);
        let state = UdpSocketState::new((&socket).into()).with_context(step)?;
        socket.set_nonblocking(true).with_context(step)?;
        let socket = UdpSocket::from_std(socket).with_context(step)?;
        Ok(Udp { socket, state })
    }

    pub(super) fn recv(
        &self,
        buffers: &mut [IoSliceMut<'_>],
        metas: &mut [RecvMeta],
    ) -> io::Result<usize> {
        self.socket
            .try_io(Interest::READABLE, || self.state.recv((&self.socket).into(), buffers, metas))
    }

    /// Sends one datagram without waiting for the runtime to report the socket as writable.
    fn send(&self, datagram: &[u8], to: &SockAddr) -> io::Result<()> {
        SockRef::from(&self.socket).send_to(datagram, to).map(|_| ())
    }

    /// Sends several datagrams of `segment_size` bytes; the last one may be shorter.
    fn send_segments(
        &self,
        datagrams: &[u8],
        segment_size: usize,
        to: SocketAddr,
    ) -> io::Result<()> {
        let transmit = Transmit {
            destination: to,
            ecn: None,
            contents: datagrams,
            segment_size: (segment_size < datagrams.len()).then_some(segment_size),
            src_ip: None,
        };
        self.state.try_send((&self.socket).into(), &transmit)
    }
}

/// Free receive buffers, shared by all relays; a relay takes one only while it reads.
#[derive(Debug, Default)]
pub(super) struct BufferPool {
    free: Mutex<Vec<Vec<u8>>>,
}

impl BufferPool {
    fn take(&self) -> Vec<u8> {
        self.free.lock().pop().unwrap_or_else(|| vec![0; RECV_BUFFER_BYTES * RECV_BATCH])
    }

    fn put(&self, buffer: Vec<u8>) {
        self.free.lock().push(buffer);
    }
}

/// Relay between one caller of a service and the balancers; replies are sent from the address of the service.
#[derive(Debug)]
pub(super) struct Relay {
    udp: Udp,
    caller: SocketAddr,
    shared: Arc<ShardState>,
    /// Time of the last datagram, in milliseconds since the start of the service.
    last_used_ms: AtomicU64,
}

impl Relay {
    pub(super) fn new(
        ip: IpAddr,
        caller: SocketAddr,
        shared: Arc<ShardState>,
    ) -> anyhow::Result<Relay> {
        let udp = Udp::bind(SocketAddr::new(ip, 0), false)?;
        Ok(Relay { udp, caller, last_used_ms: AtomicU64::new(shared.now_ms()), shared })
    }

    pub(super) fn idle_ms(&self) -> u64 {
        self.shared.now_ms().saturating_sub(self.last_used_ms.load(Ordering::Relaxed))
    }

    fn mark_used(&self) {
        self.last_used_ms.store(self.shared.now_ms(), Ordering::Relaxed);
    }

    /// Sends a datagram of the caller to a balancer. The caller of this function must not hold the lock of `counts`.
    pub(super) fn forward(
        self: &Arc<Relay>,
        datagram: &[u8],
        balancer: SocketAddr,
        action: Action,
    ) {
        self.mark_used();
        let to = balancer.into();
        match action {
            Action::Drop => self.shared.counts.lock().lost += 1,
            Action::Send => self.count_error(self.udp.send(datagram, &to)),
            Action::Duplicate => {
                self.shared.counts.lock().duplicated += 1;
                self.count_error(self.udp.send(datagram, &to));
                self.count_error(self.udp.send(datagram, &to));
            }
            Action::Delay => {
                self.shared.counts.lock().reordered += 1;
                let (relay, datagram) = (self.clone(), datagram.to_vec());
                let hold = self.shared.hold_time();
                tokio::spawn(async move {
                    sleep(hold).await;
                    relay.count_error(relay.udp.send(&datagram, &to));
                });
            }
        }
    }

    /// Relays replies to the caller until the task is aborted.
    pub(super) async fn run(self: Arc<Relay>) {
        let mut rng = StdRng::seed_from_u64(self.shared.seed ^ u64::from(self.caller.port()));
        loop {
            if self.udp.socket.readable().await.is_err() {
                self.shared.counts.lock().errors += 1;
                return;
            }
            let mut buffer = self.shared.buffers.take();
            self.receive(&mut buffer, &mut rng);
            self.shared.buffers.put(buffer);
        }
    }

    fn receive(self: &Arc<Relay>, buffer: &mut [u8], rng: &mut StdRng) {
        let mut metas = [RecvMeta::default(); RECV_BATCH];
        let count = {
            let mut parts = buffer.chunks_mut(RECV_BUFFER_BYTES).map(IoSliceMut::new);
            let mut slices: [IoSliceMut<'_>; RECV_BATCH] =
                std::array::from_fn(|_| parts.next().unwrap_or_else(|| IoSliceMut::new(&mut [])));
            match self.udp.recv(&mut slices, &mut metas) {
                Ok(count) => count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.shared.counts.lock().errors += 1;
                    return;
                }
            }
        };
        self.mark_used();
        let faults = self.shared.faults();
        for (part, meta) in buffer.chunks(RECV_BUFFER_BYTES).zip(&metas[..count]) {
            self.send_to_caller(&part[..meta.len], meta.stride.max(1), &faults, rng);
        }
    }

    fn send_to_caller(
        self: &Arc<Relay>,
        datagrams: &[u8],
        stride: usize,
        faults: &Faults,
        rng: &mut StdRng,
    ) {
        self.shared.counts.lock().back += datagrams.len().div_ceil(stride) as u64;
        if faults.is_passthrough() {
            self.count_error(self.shared.udp.send_segments(datagrams, stride, self.caller));
            return;
        }
        for datagram in datagrams.chunks(stride) {
            self.send_one_to_caller(datagram, faults.draw_action(rng));
        }
    }

    fn send_one_to_caller(self: &Arc<Relay>, datagram: &[u8], action: Action) {
        let to = self.caller.into();
        let udp = &self.shared.udp;
        match action {
            Action::Drop => self.shared.counts.lock().lost += 1,
            Action::Send => self.count_error(udp.send(datagram, &to)),
            Action::Duplicate => {
                self.shared.counts.lock().duplicated += 1;
                self.count_error(udp.send(datagram, &to));
                self.count_error(udp.send(datagram, &to));
            }
            Action::Delay => {
                self.shared.counts.lock().reordered += 1;
                let (relay, datagram) = (self.clone(), datagram.to_vec());
                let hold = self.shared.hold_time();
                tokio::spawn(async move {
                    sleep(hold).await;
                    relay.count_error(relay.shared.udp.send(&datagram, &to));
                });
            }
        }
    }

    fn count_error(&self, sent: io::Result<()>) {
        if sent.is_err() {
            self.shared.counts.lock().errors += 1;
        }
    }
}

impl ShardState {
    fn now_ms(&self) -> u64 {
        Instant::now().duration_since(self.started).as_millis() as u64
    }

    fn hold_time(&self) -> Duration {
        Duration::from_millis(self.faults().hold_ms)
    }
}
