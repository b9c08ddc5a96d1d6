//! UDP sockets of the packet path.

use std::{
    io::{self, IoSliceMut},
    net::SocketAddr,
};

use quinn_udp::{BATCH_SIZE, RecvMeta, Transmit, UdpSockRef, UdpSocketState};
use socket2::{Domain, Protocol, Type};
use tokio::{io::Interest, net::UdpSocket};

use crate::outcome::Outcome;

/// Buffer asked of the system for each socket; it may grant less.
const BUFFER: usize = 4 << 20;

/// A socket bound to `address` that other workers' sockets may share the address with.
pub fn bind(address: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let socket =
        socket2::Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(BUFFER)?;
    socket.set_send_buffer_size(BUFFER)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// A socket within a runtime, with the batching that the system offers.
#[derive(Debug)]
pub struct Socket {
    io: UdpSocket,
    state: UdpSocketState,
}

impl Socket {
    /// Takes over a bound socket. Must be called within a runtime.
    pub fn new(socket: std::net::UdpSocket) -> io::Result<Socket> {
        let state = UdpSocketState::new(UdpSockRef::from(&socket))?;
        Ok(Socket { io: UdpSocket::from_std(socket)?, state })
    }

    /// Address it is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    /// Datagrams that may go out in one call.
    pub fn max_segments(&self) -> usize {
        self.state.max_gso_segments()
    }

    /// Waits until there is something to receive.
    pub async fn readable(&self) -> io::Result<()> {
        self.io.readable().await
    }

    /// Receives what is there, without waiting: the number of buffers filled. If that is less than all of them, nothing
    /// is left, and the next [`Socket::readable`] waits without a further call to the system.
    pub fn recv(
        &self,
        buffers: &mut [IoSliceMut<'_>],
        metas: &mut [RecvMeta],
    ) -> io::Result<usize> {
        let all = buffers.len().min(metas.len()).min(BATCH_SIZE);
        let mut count = 0;
        let received = self.io.try_io(Interest::READABLE, || {
            count = self.state.recv(UdpSockRef::from(&self.io), buffers, metas)?;
            // Tells the runtime that the socket is empty.
            if count < all { Err(io::ErrorKind::WouldBlock.into()) } else { Ok(()) }
        });
        match received {
            Err(_) if count > 0 => Ok(count),
            Err(e) => Err(e),
            Ok(()) => Ok(count),
        }
    }

    /// Sends without waiting. What can't be sent is lost, as on any UDP path; callers send it again.
    pub fn send(&self, transmit: &Transmit<'_>) -> Result<(), Outcome> {
        match self.state.try_send(UdpSockRef::from(&self.io), transmit) {
            Ok(()) => Ok(()),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Err(Outcome::SendBlocked),
            Err(_) => Err(Outcome::SendFailed),
        }
    }
}
