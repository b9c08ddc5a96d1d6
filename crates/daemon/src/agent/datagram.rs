//! Receives encapsulated datagrams, authenticates them, and delivers them to the service's QUIC stack or forwards them.

use std::{
    io::IoSliceMut,
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use bytes::Bytes;
use camphorwinch_core::{
    candidates::Candidates,
    invariant::{self, Invariant},
    seal::{CID_LEN, FlowOwner, KeyRing},
};
use camphorwinch_wire::encap::{self, Header};
use quinn::{
    AsyncUdpSocket,
    udp::{RecvMeta, Transmit},
};

use super::{
    metrics,
    node::Node,
    reset,
    service::{FirstPacketAction, Service},
};

const BUFFER_COUNT: usize = 16;
const MAX_DATAGRAM_BYTES: usize = 1_500;
const LONG_HEADER_FLAG: u8 = 0x80;
const SHORT_CID_OFFSET: usize = 1;
const LONG_CID_LEN_OFFSET: usize = 5;

/// Outcome of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DatagramOutcome {
    Delivered,
    /// The first packet of a flow was sent to the next candidate.
    Passed,
    /// A packet of an established flow was sent to the agent of that flow.
    Forwarded,
    /// The queue of the QUIC stack was full.
    Overflow,
    Reset,
    BadHeader,
    NoKeys,
    UnknownService,
    WrongService,
    NotQuic,
    /// The cache of admission decisions was full.
    Crowded,
    /// The socket could not send.
    Unsent,
}

impl DatagramOutcome {
    fn as_str(self) -> &'static str {
        match self {
            DatagramOutcome::Delivered => "delivered",
            DatagramOutcome::Passed => "passed",
            DatagramOutcome::Forwarded => "forwarded",
            DatagramOutcome::Overflow => "overflow",
            DatagramOutcome::Reset => "reset",
            DatagramOutcome::BadHeader => "bad-header",
            DatagramOutcome::NoKeys => "no-keys",
            DatagramOutcome::UnknownService => "unknown-service",
            DatagramOutcome::WrongService => "wrong-service",
            DatagramOutcome::NotQuic => "not-quic",
            DatagramOutcome::Crowded => "crowded",
            DatagramOutcome::Unsent => "unsent",
        }
    }
}

/// Receives encapsulated datagrams until the task is stopped.
pub(crate) async fn run(node: Arc<Node>) {
    let size = MAX_DATAGRAM_BYTES * node.data_socket.max_segments();
    let mut memory = vec![0; size * BUFFER_COUNT];
    let mut metas = [RecvMeta::default(); BUFFER_COUNT];
    let mut scratch = Vec::with_capacity(2 * MAX_DATAGRAM_BYTES);
    loop {
        let count = {
            let mut buffers: Vec<IoSliceMut<'_>> =
                memory.chunks_mut(size).map(IoSliceMut::new).collect();
            match node.data_socket.recv(&mut buffers, &mut metas).await {
                Ok(it) => it,
                // The error concerns a datagram that was sent earlier; the socket is still usable.
                Err(e) => {
                    tracing::debug!("receive on {}: {e}", node.data_socket.local_addr());
                    continue;
                }
            }
        };
        for (buffer, meta) in memory.chunks(size).zip(&metas).take(count) {
            for datagram in buffer[..meta.len].chunks(meta.stride.max(1)) {
                let outcome = handle(&node, datagram, &mut scratch);
                metrics::count(&metrics::DATAGRAMS, outcome.as_str());
            }
        }
    }
}

fn handle(node: &Arc<Node>, datagram: &[u8], scratch: &mut Vec<u8>) -> DatagramOutcome {
    let ring = node.key_ring.load();
    let Some(ring) = ring.as_ref() else {
        return DatagramOutcome::NoKeys;
    };
    let Ok((header, payload)) = encap::decode(ring, datagram) else {
        return DatagramOutcome::BadHeader;
    };
    let Some(cid) = destination_cid(payload) else {
        return DatagramOutcome::NotQuic;
    };
    let owner = ring.open(cid);
    let same_service = owner.is_none_or(|it| it.service == header.service);
    if !invariant::check(Invariant::SameService, same_service) {
        return DatagramOutcome::WrongService;
    }
    if header.candidates.as_slice().is_empty() {
        return handle_established(node, ring, &header, payload, (cid, owner), scratch);
    }
    let Some(service) = node.get_or_open_service(header.service) else {
        return DatagramOutcome::UnknownService;
    };
    let next = next_candidate(&header, node.data_address);
    match service.decide(node, (header.caller, cid.to_vec()), next.map(|(_, to)| to)) {
        FirstPacketAction::Deliver => deliver(&service, &header, payload),
        FirstPacketAction::Forward(to) => {
            let hop = next.map_or(header.hop, |(hop, _)| hop);
            send(
                node,
                ring,
                &Header { hop, ..header },
                payload,
                to,
                scratch,
                DatagramOutcome::Passed,
            )
        }
        FirstPacketAction::Drop => DatagramOutcome::Crowded,
    }
}

/// Handles a packet of an established flow, of this agent or of one that a balancer treats as down.
fn handle_established(
    node: &Arc<Node>,
    ring: &KeyRing,
    header: &Header,
    payload: &[u8],
    (cid, owner): (&[u8], Option<FlowOwner>),
    scratch: &mut Vec<u8>,
) -> DatagramOutcome {
    let other_agent = owner.map(|it| it.agent).filter(|it| *it != node.data_address);
    if let Some(to) = other_agent {
        let snapshot = node.snapshot();
        let is_alive =
            snapshot.agents.values().any(|it| it.data == to.into() && it.state.is_alive());
        if is_alive || node.down_agents.may_resume(to) {
            let header = Header { hop: 0, candidates: Candidates::NONE, ..*header };
            return send(node, ring, &header, payload, to, scratch, DatagramOutcome::Forwarded);
        }
    }
    let Some(service) = node.get_or_open_service(header.service) else {
        return DatagramOutcome::UnknownService;
    };
    if other_agent.is_some() && reset::is_handshake(payload) {
        return send_reset(&service, ring, header.caller, cid, payload);
    }
    // The QUIC stack answers packets of unknown flows with a stateless reset.
    deliver(&service, header, payload)
}

/// Resets a flow of a down agent whose handshake was not confirmed.
fn send_reset(
    service: &Service,
    ring: &KeyRing,
    caller: SocketAddr,
    cid: &[u8],
    payload: &[u8],
) -> DatagramOutcome {
    let Some(packet) = reset::stateless_reset(ring, cid, payload) else {
        return DatagramOutcome::NotQuic;
    };
    match service.socket.try_send(&transmit(caller, &packet)) {
        Ok(()) => DatagramOutcome::Reset,
        Err(_) => DatagramOutcome::Unsent,
    }
}

fn transmit(destination: SocketAddr, contents: &[u8]) -> Transmit<'_> {
    Transmit { destination, ecn: None, contents, segment_size: None, src_ip: None }
}

fn deliver(service: &Service, header: &Header, payload: &[u8]) -> DatagramOutcome {
    if service.socket.deliver(header.caller, Bytes::copy_from_slice(payload)) {
        DatagramOutcome::Delivered
    } else {
        DatagramOutcome::Overflow
    }
}

fn send(
    node: &Node,
    ring: &KeyRing,
    header: &Header,
    payload: &[u8],
    to: SocketAddrV4,
    scratch: &mut Vec<u8>,
    on_success: DatagramOutcome,
) -> DatagramOutcome {
    scratch.clear();
    encap::encode(header, ring, payload, scratch);
    match node.data_socket.try_send(&transmit(to.into(), scratch)) {
        Ok(()) => on_success,
        Err(_) => DatagramOutcome::Unsent,
    }
}

/// The next candidate after the current hop, with its index.
fn next_candidate(header: &Header, own: SocketAddrV4) -> Option<(u8, SocketAddrV4)> {
    let rest = header.candidates.as_slice().iter().enumerate().skip(usize::from(header.hop) + 1);
    let (hop, to) = rest.into_iter().find(|(_, it)| **it != own)?;
    Some((u8::try_from(hop).ok()?, *to))
}

/// Destination connection ID of the first packet in a QUIC datagram.
fn destination_cid(payload: &[u8]) -> Option<&[u8]> {
    if payload.first()? & LONG_HEADER_FLAG == 0 {
        return payload.get(SHORT_CID_OFFSET..SHORT_CID_OFFSET + CID_LEN);
    }
    let len = usize::from(*payload.get(LONG_CID_LEN_OFFSET)?);
    payload.get(LONG_CID_LEN_OFFSET + 1..LONG_CID_LEN_OFFSET + 1 + len)
}
