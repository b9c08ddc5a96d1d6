//! UDP sockets of the packet path.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
};

use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSockRef, UdpSocketState};
use socket2::{Domain, Protocol, Type};
use tokio::{io::Interest, net::UdpSocket};

use crate::outcome::Outcome;

/// Requested kernel buffer size of each socket; the system may grant less.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Binds a socket to `address` with `SO_REUSEPORT`, so that each worker can bind its own.
pub fn bind(address: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let socket =
        socket2::Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Asynchronous UDP socket with the system's batching (GSO and GRO).
#[derive(Debug)]
pub struct Socket {
    io: UdpSocket,
    state: UdpSocketState,
}

impl Socket {
    /// Registers a bound socket with the current Tokio runtime.
    pub fn new(socket: std::net::UdpSocket) -> io::Result<Socket> {
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        Ok(Socket { io: UdpSocket::from_std(socket)?, state })
    }

    /// Returns the address that the socket is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    /// Returns the maximum number of datagrams sent in one call.
    pub fn max_segments(&self) -> usize {
        self.state.max_gso_segments()
    }

    /// Waits until the socket is readable.
    pub async fn readable(&self) -> io::Result<()> {
        self.io.readable().await
    }

    /// Receives without waiting and returns the number of buffers filled. If some stay empty, the socket is drained,
    /// and the next [`Socket::readable`] waits without another system call.
    pub fn recv(
        &self,
        buffers: &mut [IoSliceMut<'_>],
        metas: &mut [RecvMeta],
    ) -> io::Result<usize> {
        let capacity = buffers.len().min(metas.len()).min(BATCH_SIZE);
        let mut count = 0;
        let received = self.io.try_io(Interest::READABLE, || {
            count = self.state.recv(UdpSockRef::from(&self.io), buffers, metas)?;
            // `WouldBlock` clears the readiness in the runtime.
            if count < capacity { Err(io::ErrorKind::WouldBlock.into()) } else { Ok(()) }
        });
        match received {
            Err(_) if count > 0 => Ok(count),
            Err(e) => Err(e),
            Ok(()) => Ok(count),
        }
    }

    /// Sends without waiting. Datagrams that can't be sent are dropped; callers retransmit them.
    pub fn send(&self, transmit: &Transmit<'_>) -> Result<(), Outcome> {
        match self.state.try_send(UdpSockRef::from(&self.io), transmit) {
            Ok(()) => Ok(()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Err(Outcome::SendBlocked),
            Err(_) => Err(Outcome::SendFailed),
        }
    }
}
