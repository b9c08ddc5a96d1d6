//! UDP sockets, and TCP listeners that a restarted process can open at once.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
};

use anyhow::Context;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, UdpSocket};

/// Bytes that the kernel may hold for a socket: a burst of 600 full packets. They count towards the memory limit.
const BUFFER: usize = 768 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 128;

/// Opens a UDP socket.
pub(crate) fn udp(address: SocketAddrV4, what: &'static str) -> anyhow::Result<UdpSocket> {
    let open = || -> io::Result<UdpSocket> {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        if let Err(e) = socket.set_recv_buffer_size(BUFFER) {
            tracing::debug!("receive buffer of {what}: {e}");
        }
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::V4(address).into())?;
        UdpSocket::from_std(socket.into())
    };
    open().with_context(|| format!("open the UDP socket for {what} on {address}"))
}

/// Listens for TCP connections.
pub(crate) fn tcp(address: SocketAddrV4, what: &'static str) -> anyhow::Result<TcpListener> {
    let open = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::V4(address).into())?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    open().with_context(|| format!("listen for {what} on {address}"))
}
