//! Encapsulated datagrams as they arrive: checked, then given to the service's QUIC stack or sent on.

use std::{
    io::IoSliceMut,
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use bytes::Bytes;
use camphorwinch_core::{
    candidates::Candidates,
    invariant::{self, Invariant},
    seal::{CID_LEN, Home, KeyRing},
};
use camphorwinch_wire::encap::{self, Header};
use quinn::{
    AsyncUdpSocket,
    udp::{RecvMeta, Transmit},
};

use super::{
    meter,
    node::Node,
    reset,
    service::{Course, Service},
};

const BUFFERS: usize = 16;
const DATAGRAM: usize = 1_500;
const LONG_HEADER: u8 = 0x80;
const SHORT_CID_AT: usize = 1;
const LONG_CID_LEN_AT: usize = 5;

/// What became of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Delivered,
    Passed,
    Forwarded,
    Overflow,
    Reset,
    BadHeader,
    NoKeys,
    UnknownService,
    WrongService,
    NotQuic,
    Crowded,
    Unsent,
}

impl Fate {
    fn as_str(self) -> &'static str {
        match self {
            Fate::Delivered => "delivered",
            Fate::Passed => "passed",
            Fate::Forwarded => "forwarded",
            Fate::Overflow => "overflow",
            Fate::Reset => "reset",
            Fate::BadHeader => "bad-header",
            Fate::NoKeys => "no-keys",
            Fate::UnknownService => "unknown-service",
            Fate::WrongService => "wrong-service",
            Fate::NotQuic => "not-quic",
            Fate::Crowded => "crowded",
            Fate::Unsent => "unsent",
        }
    }
}

/// Takes in encapsulated datagrams until the task is stopped.
pub(crate) async fn run(node: Arc<Node>) {
    let size = DATAGRAM * node.data.segments();
    let mut memory = vec![0; size * BUFFERS];
    let mut metas = [RecvMeta::default(); BUFFERS];
    let mut scratch = Vec::with_capacity(2 * DATAGRAM);
    loop {
        let count = {
            let mut buffers: Vec<IoSliceMut<'_>> =
                memory.chunks_mut(size).map(IoSliceMut::new).collect();
            match node.data.recv(&mut buffers, &mut metas).await {
                Ok(it) => it,
                // Such an error belongs to a datagram sent before, not to the socket.
                Err(e) => {
                    tracing::debug!("receive on {}: {e}", node.data.local());
                    continue;
                }
            }
        };
        for (buffer, meta) in memory.chunks(size).zip(&metas).take(count) {
            for datagram in buffer[..meta.len].chunks(meta.stride.max(1)) {
                let fate = take(&node, datagram, &mut scratch);
                meter::count(&meter::DATAGRAMS, fate.as_str());
            }
        }
    }
}

fn take(node: &Arc<Node>, datagram: &[u8], scratch: &mut Vec<u8>) -> Fate {
    let ring = node.ring.load();
    let Some(ring) = ring.as_ref() else {
        return Fate::NoKeys;
    };
    let Ok((header, payload)) = encap::decode(ring, datagram) else {
        return Fate::BadHeader;
    };
    let Some(cid) = destination(payload) else {
        return Fate::NotQuic;
    };
    let home = ring.open(cid);
    let same = home.is_none_or(|it| it.service == header.service);
    if !invariant::check(Invariant::SameService, same) {
        return Fate::WrongService;
    }
    if header.candidates.as_slice().is_empty() {
        return established(node, ring, &header, payload, (cid, home), scratch);
    }
    let Some(service) = node.service(header.service) else {
        return Fate::UnknownService;
    };
    let next = next_candidate(&header, node.home);
    match service.place(node, (header.caller, cid.to_vec()), next.map(|(_, to)| to)) {
        Course::Deliver => deliver(&service, &header, payload),
        Course::Pass(to) => {
            let hop = next.map_or(header.hop, |(hop, _)| hop);
            send(node, ring, &Header { hop, ..header }, payload, to, scratch, Fate::Passed)
        }
        Course::Drop => Fate::Crowded,
    }
}

/// A packet of a flow that lives somewhere: here, or at another agent that a balancer took for dead.
fn established(
    node: &Arc<Node>,
    ring: &KeyRing,
    header: &Header,
    payload: &[u8],
    (cid, home): (&[u8], Option<Home>),
    scratch: &mut Vec<u8>,
) -> Fate {
    let elsewhere = home.map(|it| it.agent).filter(|it| *it != node.home);
    if let Some(to) = elsewhere {
        let snapshot = node.snapshot();
        let lives = snapshot.agents.values().any(|it| it.data == to.into() && it.state.answers());
        if lives || node.absent.may_wake(to) {
            let header = Header { hop: 0, candidates: Candidates::NONE, ..*header };
            return send(node, ring, &header, payload, to, scratch, Fate::Forwarded);
        }
    }
    let Some(service) = node.service(header.service) else {
        return Fate::UnknownService;
    };
    if elsewhere.is_some() && reset::is_handshake(payload) {
        return tell_gone(&service, ring, header.caller, cid, payload);
    }
    // The QUIC stack answers a packet of a flow that it does not know with a stateless reset.
    deliver(&service, header, payload)
}

/// Resets a flow of a dead agent whose caller still waits for the end of the handshake.
fn tell_gone(
    service: &Service,
    ring: &KeyRing,
    caller: SocketAddr,
    cid: &[u8],
    payload: &[u8],
) -> Fate {
    let Some(packet) = reset::stateless_reset(ring, cid, payload) else {
        return Fate::NotQuic;
    };
    match service.socket.try_send(&transmit(caller, &packet)) {
        Ok(()) => Fate::Reset,
        Err(_) => Fate::Unsent,
    }
}

fn transmit(destination: SocketAddr, contents: &[u8]) -> Transmit<'_> {
    Transmit { destination, ecn: None, contents, segment_size: None, src_ip: None }
}

fn deliver(service: &Service, header: &Header, payload: &[u8]) -> Fate {
    if service.socket.deliver(header.caller, Bytes::copy_from_slice(payload)) {
        Fate::Delivered
    } else {
        Fate::Overflow
    }
}

fn send(
    node: &Node,
    ring: &KeyRing,
    header: &Header,
    payload: &[u8],
    to: SocketAddrV4,
    scratch: &mut Vec<u8>,
    sent: Fate,
) -> Fate {
    scratch.clear();
    encap::encode(header, ring, payload, scratch);
    match node.data.try_send(&transmit(to.into(), scratch)) {
        Ok(()) => sent,
        Err(_) => Fate::Unsent,
    }
}

fn next_candidate(header: &Header, own: SocketAddrV4) -> Option<(u8, SocketAddrV4)> {
    let rest = header.candidates.as_slice().iter().enumerate().skip(usize::from(header.hop) + 1);
    let (hop, to) = rest.into_iter().find(|(_, it)| **it != own)?;
    Some((u8::try_from(hop).ok()?, *to))
}

/// Destination connection ID of the first packet in a QUIC datagram.
fn destination(payload: &[u8]) -> Option<&[u8]> {
    if payload.first()? & LONG_HEADER == 0 {
        return payload.get(SHORT_CID_AT..SHORT_CID_AT + CID_LEN);
    }
    let len = usize::from(*payload.get(LONG_CID_LEN_AT)?);
    payload.get(LONG_CID_LEN_AT + 1..LONG_CID_LEN_AT + 1 + len)
}
