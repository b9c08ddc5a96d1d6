//! The socket that the fabric holds for one caller.

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
    faults::{Fate, Faults},
    service::Shared,
};

const SOCKET_BUFFER: usize = 4 << 20;
/// Room for one receive call with segmentation offload.
pub(super) const BUFFER: usize = 64 << 10;
const BATCH: usize = 4;

/// A UDP socket with what `quinn-udp` knows of it.
#[derive(Debug)]
pub(super) struct Udp {
    pub(super) socket: UdpSocket,
    state: UdpSocketState,
}

impl Udp {
    /// Binds the address; a shared one can be bound again, and its callers are divided over the sockets.
    pub(super) fn bind(addr: SocketAddr, shared: bool) -> anyhow::Result<Udp> {
        let step = || format!("bind {addr}/udp");
        let raw = Socket::new(Domain::for_address(addr), Type::DGRAM, Some(Protocol::UDP));
        let raw = raw.with_context(step)?;
        raw.set_reuse_port(shared).with_context(step)?;
        raw.bind(&addr.into()).with_context(step)?;
        raw.set_recv_buffer_size(SOCKET_BUFFER).with_context(step)?;
        raw.set_send_buffer_size(SOCKET_BUFFER).with_context(step)?;
        let socket = std::net::UdpSocket::from(raw);
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

    /// Sends one datagram, whether or not the runtime has seen the socket as writable.
    fn send(&self, datagram: &[u8], to: &SockAddr) -> io::Result<()> {
        SockRef::from(&self.socket).send_to(datagram, to).map(|_| ())
    }

    /// Sends several datagrams of one size, the last of which may be shorter.
    fn send_segments(&self, datagrams: &[u8], segment: usize, to: SocketAddr) -> io::Result<()> {
        let transmit = Transmit {
            destination: to,
            ecn: None,
            contents: datagrams,
            segment_size: (segment < datagrams.len()).then_some(segment),
            src_ip: None,
        };
        self.state.try_send((&self.socket).into(), &transmit)
    }
}

/// Receive buffers, shared by all relays: a relay needs one only while it reads.
#[derive(Debug, Default)]
pub(super) struct Buffers {
    free: Mutex<Vec<Vec<u8>>>,
}

impl Buffers {
    fn take(&self) -> Vec<u8> {
        self.free.lock().pop().unwrap_or_else(|| vec![0; BUFFER * BATCH])
    }

    fn put(&self, buffer: Vec<u8>) {
        self.free.lock().push(buffer);
    }
}

/// One caller of one service: datagrams leave from a socket of its own, answers go back from the service's address.
#[derive(Debug)]
pub(super) struct Relay {
    udp: Udp,
    caller: SocketAddr,
    shared: Arc<Shared>,
    /// Milliseconds from the service's start to the last datagram.
    used: AtomicU64,
}

impl Relay {
    pub(super) fn new(
        ip: IpAddr,
        caller: SocketAddr,
        shared: Arc<Shared>,
    ) -> anyhow::Result<Relay> {
        let udp = Udp::bind(SocketAddr::new(ip, 0), false)?;
        Ok(Relay { udp, caller, used: AtomicU64::new(shared.now_ms()), shared })
    }

    pub(super) fn idle_ms(&self) -> u64 {
        self.shared.now_ms().saturating_sub(self.used.load(Ordering::Relaxed))
    }

    fn touch(&self) {
        self.used.store(self.shared.now_ms(), Ordering::Relaxed);
    }

    /// Sends a datagram of the caller to a balancer; the counts are locked by whoever calls.
    pub(super) fn forward(self: &Arc<Relay>, datagram: &[u8], balancer: SocketAddr, fate: Fate) {
        self.touch();
        let to = balancer.into();
        match fate {
            Fate::Lose => self.shared.counts.lock().lost += 1,
            Fate::Send => self.check(self.udp.send(datagram, &to)),
            Fate::Duplicate => {
                self.shared.counts.lock().duplicated += 1;
                self.check(self.udp.send(datagram, &to));
                self.check(self.udp.send(datagram, &to));
            }
            Fate::Hold => {
                self.shared.counts.lock().reordered += 1;
                let (relay, datagram) = (self.clone(), datagram.to_vec());
                let hold = self.shared.hold();
                tokio::spawn(async move {
                    sleep(hold).await;
                    relay.check(relay.udp.send(&datagram, &to));
                });
            }
        }
    }

    /// Brings answers back to the caller until the task is aborted.
    pub(super) async fn run(self: Arc<Relay>) {
        let mut random = StdRng::seed_from_u64(self.shared.seed ^ u64::from(self.caller.port()));
        loop {
            if self.udp.socket.readable().await.is_err() {
                self.shared.counts.lock().errors += 1;
                return;
            }
            let mut buffer = self.shared.buffers.take();
            self.read(&mut buffer, &mut random);
            self.shared.buffers.put(buffer);
        }
    }

    fn read(self: &Arc<Relay>, buffer: &mut [u8], random: &mut StdRng) {
        let mut metas = [RecvMeta::default(); BATCH];
        let count = {
            let mut parts = buffer.chunks_mut(BUFFER).map(IoSliceMut::new);
            let mut slices: [IoSliceMut<'_>; BATCH] =
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
        self.touch();
        let faults = self.shared.faults();
        for (part, meta) in buffer.chunks(BUFFER).zip(&metas[..count]) {
            self.back(&part[..meta.len], meta.stride.max(1), &faults, random);
        }
    }

    fn back(
        self: &Arc<Relay>,
        datagrams: &[u8],
        stride: usize,
        faults: &Faults,
        random: &mut StdRng,
    ) {
        self.shared.counts.lock().back += datagrams.len().div_ceil(stride) as u64;
        if faults.is_clean() {
            self.check(self.shared.udp.send_segments(datagrams, stride, self.caller));
            return;
        }
        for datagram in datagrams.chunks(stride) {
            self.back_one(datagram, faults.fate(random));
        }
    }

    fn back_one(self: &Arc<Relay>, datagram: &[u8], fate: Fate) {
        let to = self.caller.into();
        let udp = &self.shared.udp;
        match fate {
            Fate::Lose => self.shared.counts.lock().lost += 1,
            Fate::Send => self.check(udp.send(datagram, &to)),
            Fate::Duplicate => {
                self.shared.counts.lock().duplicated += 1;
                self.check(udp.send(datagram, &to));
                self.check(udp.send(datagram, &to));
            }
            Fate::Hold => {
                self.shared.counts.lock().reordered += 1;
                let (relay, datagram) = (self.clone(), datagram.to_vec());
                let hold = self.shared.hold();
                tokio::spawn(async move {
                    sleep(hold).await;
                    relay.check(relay.shared.udp.send(&datagram, &to));
                });
            }
        }
    }

    fn check(&self, sent: io::Result<()>) {
        if sent.is_err() {
            self.shared.counts.lock().errors += 1;
        }
    }
}

impl Shared {
    fn now_ms(&self) -> u64 {
        Instant::now().duration_since(self.started).as_millis() as u64
    }

    fn hold(&self) -> Duration {
        Duration::from_millis(self.faults().hold_ms)
    }
}
