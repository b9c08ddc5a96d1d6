//! Datagrams to other processes and to callers.

use std::net::{SocketAddr, SocketAddrV4};

use camphorwinch_core::opaque::{
    FlowKey, PoolId,
    effect::{Answer, FlowStatus, RelayHeader, Reservation},
};
use camphorwinch_wire::opaque::{self, Body, Control};
use tokio::net::UdpSocket;

use crate::metrics;

/// Socket for datagrams between processes, with an encoding buffer.
pub(crate) struct Peers {
    socket: UdpSocket,
    buffer: Vec<u8>,
}

impl Peers {
    pub(crate) fn new(socket: UdpSocket) -> Peers {
        Peers { socket, buffer: Vec::with_capacity(crate::codec::MAX_PACKET_BYTES) }
    }

    pub(crate) fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Returns the next received datagram, if any.
    pub(crate) fn receive<'a>(&self, buffer: &'a mut [u8]) -> Option<(SocketAddrV4, &'a [u8])> {
        let (len, from) = self.socket.try_recv_from(buffer).ok()?;
        // The socket is bound to an IPv4 address.
        let SocketAddr::V4(from) = from else {
            return None;
        };
        Some((from, &buffer[..len]))
    }

    /// Sends a caller's packet to another process.
    pub(crate) fn relay(&mut self, to: SocketAddrV4, relay: &RelayHeader, packet: &[u8]) {
        self.buffer.clear();
        opaque::encode_packet(relay, packet, &mut self.buffer);
        self.send_buffer(to, "relayed");
    }

    /// Sends a caller's packet to an agent that forwards it to `agents`.
    pub(crate) fn fan_out(
        &mut self,
        to: SocketAddrV4,
        relay: &RelayHeader,
        agents: &[SocketAddrV4],
        packet: &[u8],
    ) {
        self.buffer.clear();
        opaque::encode_fan_out(relay, agents, packet, &mut self.buffer);
        self.send_buffer(to, "spread");
    }

    /// Sends an agent's answer on a flow to a balancer.
    pub(crate) fn answer(
        &mut self,
        to: SocketAddrV4,
        key: &FlowKey,
        answer: Answer,
        packet: &[u8],
    ) {
        self.buffer.clear();
        opaque::encode_answer(key, answer, packet, &mut self.buffer);
        self.send_buffer(to, "answered");
    }

    /// Sends a control message.
    pub(crate) fn control(&mut self, to: SocketAddrV4, body: Body) {
        self.buffer.clear();
        opaque::encode_control(&Control { body: Some(body) }, &mut self.buffer);
        self.send_buffer(to, "control");
    }

    /// Queries an agent for flows.
    pub(crate) fn query(&mut self, to: SocketAddrV4, keys: &[FlowKey]) {
        self.buffer.clear();
        opaque::encode_query(keys, &mut self.buffer);
        self.send_buffer(to, "query");
    }

    /// Sends a balancer the results of its query.
    pub(crate) fn query_response(&mut self, to: SocketAddrV4, statuses: &[(FlowKey, FlowStatus)]) {
        self.buffer.clear();
        opaque::encode_query_response(statuses, &mut self.buffer);
        self.send_buffer(to, "verdicts");
    }

    /// Reserves a slot at an agent.
    pub(crate) fn reserve(&mut self, to: SocketAddrV4, reservation: &Reservation) {
        self.buffer.clear();
        opaque::encode_reserve(reservation, &mut self.buffer);
        self.send_buffer(to, "reserve");
    }

    /// Offers slots to a balancer.
    pub(crate) fn offer(&mut self, to: SocketAddrV4, pool: PoolId, slots: u8) {
        self.buffer.clear();
        opaque::encode_offer(pool, slots, &mut self.buffer);
        self.send_buffer(to, "offer");
    }

    /// Declines an agent's offer.
    pub(crate) fn decline(&mut self, to: SocketAddrV4, pool: PoolId) {
        self.buffer.clear();
        opaque::encode_decline(pool, &mut self.buffer);
        self.send_buffer(to, "decline");
    }

    /// Sends an unmodified packet to a caller.
    pub(crate) fn plain(&self, to: SocketAddrV4, packet: &[u8]) {
        send(&self.socket, to, packet, "to-caller");
    }

    fn send_buffer(&self, to: SocketAddrV4, outcome: &str) {
        send(&self.socket, to, &self.buffer, outcome);
    }
}

/// Counts a packet that can't be decoded.
pub(crate) fn count_malformed() {
    metrics::PACKETS.with_label_values(&["faulty"]).inc();
}

/// Counts a datagram that is not meant for this kind of process.
pub(crate) fn count_misdirected() {
    metrics::PACKETS.with_label_values(&["misdirected"]).inc();
}

/// Sends a datagram without blocking. It is dropped if the kernel's buffer is full.
pub(crate) fn send(socket: &UdpSocket, to: SocketAddrV4, bytes: &[u8], outcome: &str) {
    match socket.try_send_to(bytes, to.into()) {
        Ok(_) => metrics::PACKETS.with_label_values(&[outcome]).inc(),
        Err(e) => {
            metrics::PACKETS.with_label_values(&["send-failed"]).inc();
            tracing::debug!("failed to send a datagram to {to}: {e}");
        }
    }
}
