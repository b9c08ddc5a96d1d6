//! Encapsulation of caller datagrams between a balancer and an agent, or between two agents.
//!
//! ```text
//! 0 version | 1 hop | 2 candidate count | 3 key epoch | 4..8 service | 8..16 MAC | 16..32 caller IP
//! 32..34 caller port | 34.. candidates, 6 bytes each | payload
//! ```
//!
//! The message authentication code (MAC) is a 64-bit SipHash-2-4 over the header without the MAC itself, the candidates
//! and the first 32 bytes of the payload. QUIC authenticates the rest of the payload. Integers are big-endian; an IPv4
//! caller is encoded as an IPv4-to_mapped_ipv6 IPv6 address.

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

/// Length of the fixed header in front of the candidates, in bytes.
pub const HEADER_LEN: usize = 34;
/// Length of one encoded candidate, in bytes.
pub const CANDIDATE_LEN: usize = 6;
/// Largest number of bytes that encapsulation adds to a datagram.
pub const MAX_OVERHEAD_BYTES: usize = HEADER_LEN + MAX_CANDIDATES * CANDIDATE_LEN;
/// Largest caller datagram that is forwarded: with the largest overhead it fits an IPv4 packet of 1,500 bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1_472 - MAX_OVERHEAD_BYTES;

const VERSION: u8 = 1;
const MAC_START: usize = 8;
const MAC_END: usize = 16;
const AUTHENTICATED_PAYLOAD_BYTES: usize = 32;

/// Header of an encapsulated datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Index of the receiver in the candidate list; 0 without candidates.
    pub hop: u8,
    /// Service whose address received the datagram.
    pub service: ServiceId,
    /// Source address of the datagram.
    pub caller: SocketAddr,
    /// Agents that may accept a new flow; empty for an established flow.
    pub candidates: Candidates,
}

/// Reason why an encapsulated datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EncapError {
    /// Shorter than its header requires, or without payload.
    #[error("truncated")]
    Truncated,
    /// The payload exceeds [`MAX_PAYLOAD_BYTES`].
    #[error("payload larger than {MAX_PAYLOAD_BYTES} bytes")]
    Oversized,
    /// Unsupported version of the header layout.
    #[error("unsupported header version {0}")]
    UnsupportedVersion(u8),
    /// Too many candidates, or a hop index out of range.
    #[error("invalid hop {hop} of {count} candidates")]
    InvalidHop {
        /// Hop index in the header.
        hop: u8,
        /// Candidate count in the header.
        count: u8,
    },
    /// The key ring has no key of this epoch.
    #[error("unknown key epoch {0}")]
    UnknownEpoch(u8),
    /// The MAC does not match.
    #[error("authentication code does not match")]
    MacMismatch,
}

/// Appends the encoded header and `payload` to `out`, authenticated with the ring's sealing key.
pub fn encode(header: &Header, ring: &KeyRing, payload: &[u8], out: &mut Vec<u8>) {
    Encoder::new(header, ring).append(payload, out);
}

/// Encodes a header once for any number of datagrams that share it.
#[derive(Clone, Debug)]
pub struct Encoder {
    bytes: [u8; MAX_OVERHEAD_BYTES],
    len: usize,
    // MAC state after the header.
    mac_state: SipHasher24,
}

impl Encoder {
    /// Encodes `header` for authentication with the ring's sealing key.
    #[inline]
    pub fn new(header: &Header, ring: &KeyRing) -> Encoder {
        let epoch = ring.epoch();
        let key = ring.packet_key(epoch).expect("the sealing epoch is in the ring");
        let candidates = header.candidates.as_slice();
        let mut bytes = [0; MAX_OVERHEAD_BYTES];
        bytes[0] = VERSION;
        bytes[1] = header.hop;
        bytes[2] = candidates.len() as u8;
        bytes[3] = epoch;
        bytes[4..8].copy_from_slice(&header.service.0.to_be_bytes());
        bytes[16..32].copy_from_slice(&to_mapped_ipv6(header.caller.ip()).octets());
        bytes[32..HEADER_LEN].copy_from_slice(&header.caller.port().to_be_bytes());
        let mut len = HEADER_LEN;
        for agent in candidates {
            bytes[len..len + 4].copy_from_slice(&agent.ip().octets());
            bytes[len + 4..len + CANDIDATE_LEN].copy_from_slice(&agent.port().to_be_bytes());
            len += CANDIDATE_LEN;
        }
        let mac_state = mac_header(key, &bytes[..len]);
        Encoder { bytes, len, mac_state }
    }

    /// Number of bytes that encapsulation adds to each payload.
    pub fn overhead(&self) -> usize {
        self.len
    }

    /// Appends the encoded header and `payload` to `out`.
    #[inline]
    pub fn append(&self, payload: &[u8], out: &mut Vec<u8>) {
        let mac = finish_mac(self.mac_state, payload);
        out.extend_from_slice(&self.bytes[..MAC_START]);
        out.extend_from_slice(&mac.to_be_bytes());
        out.extend_from_slice(&self.bytes[MAC_END..self.len]);
        out.extend_from_slice(payload);
    }
}

/// Authenticates an encapsulated datagram and splits it into header and payload.
#[inline]
pub fn decode<'a>(ring: &KeyRing, datagram: &'a [u8]) -> Result<(Header, &'a [u8]), EncapError> {
    let Some(fixed) = datagram.first_chunk::<HEADER_LEN>() else {
        return Err(EncapError::Truncated);
    };
    if fixed[0] != VERSION {
        return Err(EncapError::UnsupportedVersion(fixed[0]));
    }
    let (hop, count) = (fixed[1], fixed[2]);
    if usize::from(count) > MAX_CANDIDATES || hop >= count.max(1) {
        return Err(EncapError::InvalidHop { hop, count });
    }
    let payload_start = HEADER_LEN + usize::from(count) * CANDIDATE_LEN;
    if datagram.len() <= payload_start {
        return Err(EncapError::Truncated);
    }
    if datagram.len() - payload_start > MAX_PAYLOAD_BYTES {
        return Err(EncapError::Oversized);
    }
    let key = ring.packet_key(fixed[3]).ok_or(EncapError::UnknownEpoch(fixed[3]))?;
    let mac = finish_mac(mac_header(key, &datagram[..payload_start]), &datagram[payload_start..]);
    if fixed[MAC_START..MAC_END] != mac.to_be_bytes() {
        return Err(EncapError::MacMismatch);
    }
    let mut candidates = Candidates::NONE;
    for it in datagram[HEADER_LEN..payload_start].chunks_exact(CANDIDATE_LEN) {
        let ip = Ipv4Addr::new(it[0], it[1], it[2], it[3]);
        candidates.push(SocketAddrV4::new(ip, u16::from_be_bytes([it[4], it[5]])));
    }
    let service = ServiceId(u32::from_be_bytes([fixed[4], fixed[5], fixed[6], fixed[7]]));
    let caller = decode_caller(fixed);
    Ok((Header { hop, service, caller, candidates }, &datagram[payload_start..]))
}

fn decode_caller(fixed: &[u8; HEADER_LEN]) -> SocketAddr {
    let mut ip = [0; 16];
    ip.copy_from_slice(&fixed[16..32]);
    let ip = Ipv6Addr::from(ip).to_canonical();
    SocketAddr::new(ip, u16::from_be_bytes([fixed[32], fixed[33]]))
}

fn to_mapped_ipv6(ip: IpAddr) -> Ipv6Addr {
    match ip {
        IpAddr::V4(it) => it.to_ipv6_mapped(),
        IpAddr::V6(it) => it,
    }
}

/// Returns the MAC state after a header with its candidates.
#[inline]
fn mac_header(key: &PacketKey, header: &[u8]) -> SipHasher24 {
    let mut hasher = SipHasher24::new_with_key(key);
    hasher.write(&header[..MAC_START]);
    hasher.write(&header[MAC_END..]);
    hasher
}

#[inline]
fn finish_mac(mut hasher: SipHasher24, payload: &[u8]) -> u64 {
    hasher.write(&payload[..payload.len().min(AUTHENTICATED_PAYLOAD_BYTES)]);
    hasher.finish()
}
