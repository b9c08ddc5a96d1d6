//! Encapsulation of a caller's datagram on its way from a balancer to an agent, or from agent to agent.
//!
//! ```text
//! 0 version | 1 hop | 2 candidates | 3 key epoch | 4..8 service | 8..16 code | 16..32 caller IP | 32..34 caller port
//! 34.. candidates, 6 bytes each | payload
//! ```
//!
//! The code is a 64-bit SipHash-2-4 over all of it up to the first 32 bytes of the payload, the code itself left out.
//! QUIC authenticates the rest of the payload. Numbers are big-endian; an IPv4 caller is written as an IPv4-mapped
//! IPv6 address.

use std::{
    hash::Hasher,
    net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, SocketAddrV4},
};

use camphorwinch_core::{
    candidates::{Candidates, MAX_CANDIDATES},
    object::ServiceId,
    seal::{KeyRing, PacketKey},
};
use siphasher::sip::SipHasher24;
use thiserror::Error;

/// Bytes in front of the candidates.
pub const HEADER_LEN: usize = 34;
/// Bytes of one candidate.
pub const CANDIDATE_LEN: usize = 6;
/// Most bytes that encapsulation adds to a datagram.
pub const MAX_OVERHEAD: usize = HEADER_LEN + MAX_CANDIDATES * CANDIDATE_LEN;
/// Largest datagram of a caller that is passed on: with the largest overhead it fits a UDP/IPv4 packet of 1,500 bytes.
pub const MAX_PAYLOAD: usize = 1_472 - MAX_OVERHEAD;

const VERSION: u8 = 1;
const CODE_AT: usize = 8;
const CODE_END: usize = 16;
const COVERED_PAYLOAD: usize = 32;

/// Header of an encapsulated datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Position of the receiver among the candidates; 0 without candidates.
    pub hop: u8,
    /// Service at whose address the datagram arrived.
    pub service: ServiceId,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Agents that may accept the flow; empty for a flow that is already placed.
    pub candidates: Candidates,
}

/// Why an encapsulated datagram was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EncapError {
    /// Shorter than its header says, or without payload.
    #[error("truncated")]
    Truncated,
    /// The payload is larger than any balancer passes on.
    #[error("payload larger than {MAX_PAYLOAD} bytes")]
    Oversized,
    /// A version of the layout that this build does not know.
    #[error("unknown version {0}")]
    Version(u8),
    /// More candidates than allowed, or a hop beyond them.
    #[error("hop {hop} of {count} candidates")]
    Candidates {
        /// The hop found.
        hop: u8,
        /// The number of candidates found.
        count: u8,
    },
    /// The key epoch is not in the ring.
    #[error("unknown key epoch {0}")]
    Epoch(u8),
    /// The authentication code does not match.
    #[error("authentication code does not match")]
    Code,
}

/// Appends `payload` with its header in front to `out`, authenticated under the ring's sealing epoch.
pub fn encode(header: &Header, ring: &KeyRing, payload: &[u8], out: &mut Vec<u8>) {
    Encoder::new(header, ring).append(payload, out);
}

/// A header made ready for any number of datagrams that carry the same one.
#[derive(Clone, Debug)]
pub struct Encoder {
    bytes: [u8; MAX_OVERHEAD],
    len: usize,
    // The code's state after the header.
    hasher: SipHasher24,
}

impl Encoder {
    /// Prepares `header` under the ring's sealing epoch.
    #[inline]
    pub fn new(header: &Header, ring: &KeyRing) -> Encoder {
        let epoch = ring.epoch();
        let key = ring.packet_key(epoch).expect("the sealing epoch is in the ring");
        let candidates = header.candidates.as_slice();
        let mut bytes = [0; MAX_OVERHEAD];
        bytes[0] = VERSION;
        bytes[1] = header.hop;
        bytes[2] = candidates.len() as u8;
        bytes[3] = epoch;
        bytes[4..8].copy_from_slice(&header.service.0.to_be_bytes());
        bytes[16..32].copy_from_slice(&mapped(header.caller.ip()).octets());
        bytes[32..HEADER_LEN].copy_from_slice(&header.caller.port().to_be_bytes());
        let mut len = HEADER_LEN;
        for agent in candidates {
            bytes[len..len + 4].copy_from_slice(&agent.ip().octets());
            bytes[len + 4..len + CANDIDATE_LEN].copy_from_slice(&agent.port().to_be_bytes());
            len += CANDIDATE_LEN;
        }
        let hasher = header_code(key, &bytes[..len]);
        Encoder { bytes, len, hasher }
    }

    /// Length of the encapsulation around a payload.
    pub fn overhead(&self) -> usize {
        self.len
    }

    /// Appends `payload` with the header in front to `out`.
    #[inline]
    pub fn append(&self, payload: &[u8], out: &mut Vec<u8>) {
        let code = full_code(self.hasher, payload);
        out.extend_from_slice(&self.bytes[..CODE_AT]);
        out.extend_from_slice(&code.to_be_bytes());
        out.extend_from_slice(&self.bytes[CODE_END..self.len]);
        out.extend_from_slice(payload);
    }
}

/// Checks an encapsulated datagram and splits it into header and payload.
#[inline]
pub fn decode<'a>(ring: &KeyRing, datagram: &'a [u8]) -> Result<(Header, &'a [u8]), EncapError> {
    let Some(fixed) = datagram.first_chunk::<HEADER_LEN>() else {
        return Err(EncapError::Truncated);
    };
    if fixed[0] != VERSION {
        return Err(EncapError::Version(fixed[0]));
    }
    let (hop, count) = (fixed[1], fixed[2]);
    if usize::from(count) > MAX_CANDIDATES || hop >= count.max(1) {
        return Err(EncapError::Candidates { hop, count });
    }
    let body = HEADER_LEN + usize::from(count) * CANDIDATE_LEN;
    if datagram.len() <= body {
        return Err(EncapError::Truncated);
    }
    if datagram.len() - body > MAX_PAYLOAD {
        return Err(EncapError::Oversized);
    }
    let key = ring.packet_key(fixed[3]).ok_or(EncapError::Epoch(fixed[3]))?;
    let code = full_code(header_code(key, &datagram[..body]), &datagram[body..]);
    if fixed[CODE_AT..CODE_END] != code.to_be_bytes() {
        return Err(EncapError::Code);
    }
    let mut candidates = Candidates::NONE;
    for it in datagram[HEADER_LEN..body].chunks_exact(CANDIDATE_LEN) {
        let ip = Ipv4Addr::new(it[0], it[1], it[2], it[3]);
        candidates.push(SocketAddrV4::new(ip, u16::from_be_bytes([it[4], it[5]])));
    }
    let service = ServiceId(u32::from_be_bytes([fixed[4], fixed[5], fixed[6], fixed[7]]));
    let caller = caller(fixed);
    Ok((Header { hop, service, caller, candidates }, &datagram[body..]))
}

fn caller(fixed: &[u8; HEADER_LEN]) -> SocketAddr {
    let mut ip = [0; 16];
    ip.copy_from_slice(&fixed[16..32]);
    let ip = Ipv6Addr::from(ip).to_canonical();
    SocketAddr::new(ip, u16::from_be_bytes([fixed[32], fixed[33]]))
}

fn mapped(ip: IpAddr) -> Ipv6Addr {
    match ip {
        IpAddr::V4(it) => it.to_ipv6_mapped(),
        IpAddr::V6(it) => it,
    }
}

/// The code's state after a header with its candidates.
#[inline]
fn header_code(key: &PacketKey, header: &[u8]) -> SipHasher24 {
    let mut hasher = SipHasher24::new_with_key(key);
    hasher.write(&header[..CODE_AT]);
    hasher.write(&header[CODE_END..]);
    hasher
}

#[inline]
fn full_code(mut hasher: SipHasher24, payload: &[u8]) -> u64 {
    hasher.write(&payload[..payload.len().min(COVERED_PAYLOAD)]);
    hasher.finish()
}
