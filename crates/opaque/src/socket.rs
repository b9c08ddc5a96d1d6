//! UDP sockets and TCP listeners.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
};

use anyhow::Context;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, UdpSocket};

/// Receive buffer of a UDP socket in the kernel, a burst of 600 full packets. It counts towards the memory limit.
const RECEIVE_BUFFER_BYTES: usize = 768 << 10;
/// Maximum number of connections waiting to be accepted.
const LISTEN_BACKLOG: i32 = 128;

/// Opens a non-blocking UDP socket; `what` names its purpose in errors.
pub(crate) fn udp(address: SocketAddrV4, what: &'static str) -> anyhow::Result<UdpSocket> {
    let open = || -> io::Result<UdpSocket> {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        if let Err(e) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
            tracing::debug!("failed to set the receive buffer for {what}: {e}");
        }
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::V4(address).into())?;
        UdpSocket::from_std(socket.into())
    };
    open().with_context(|| format!("failed to open the UDP socket for {what} on {address}"))
}

/// Listens for TCP connections, with address reuse for a quick restart.
pub(crate) fn tcp(address: SocketAddrV4, what: &'static str) -> anyhow::Result<TcpListener> {
    let open = || -> io::Result<TcpListener> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&SocketAddr::V4(address).into())?;
        socket.listen(LISTEN_BACKLOG)?;
        TcpListener::from_std(socket.into())
    };
    open().with_context(|| format!("failed to listen for {what} on {address}"))
}
