//! Flow keys and packet headers.

use std::{fmt, net::SocketAddrV4};

use crate::split_mix::mix;

/// Age of a caller's opening attempt at its first packet and at each retransmission.
const RETRANSMIT_AGES_MS: [u64; 3] = [0, 200, 600];

/// Key of a flow: the addresses of its two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The service's address and port, as the caller sees them.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// Hash of the key, stable across processes.
    pub fn hash(&self) -> u64 {
        mix(mix(address_number(self.caller)) ^ address_number(self.service))
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.service)
    }
}

/// Address and port as an integer.
pub(crate) fn address_number(address: SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

/// Kind of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// Opens the flow, like a TCP SYN; also the upstream's reply to that.
    Open,
    /// Carries data or an acknowledgement.
    Data,
    /// Closes the sender's direction, like a TCP FIN.
    Finish,
    /// Aborts the flow, like a TCP RST.
    Reset,
}

/// Header fields of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketHeader {
    /// The flow, the same in both directions.
    pub key: FlowKey,
    /// Kind of the packet.
    pub kind: PacketKind,
    /// Whether the upstream bounced the packet: it does not hold the flow or can't accept it.
    pub bounced: bool,
    /// Sequence number of the first byte; the initial sequence number in an opening packet.
    pub seq: u32,
    /// Next byte that the sender expects; in a caller's opening packet the number of earlier copies.
    pub ack: u32,
    /// Length of the data, in bytes.
    pub len: u16,
}

impl PacketHeader {
    /// Sequence number after the packet's data.
    pub fn end_seq(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len))
    }
}

/// Age of the caller's opening attempt after this many retransmissions.
pub(super) fn opening_age_ms(retransmits: u32) -> u64 {
    let last = RETRANSMIT_AGES_MS.len() - 1;
    RETRANSMIT_AGES_MS[(retransmits as usize).min(last)]
}

/// Whether sequence number `a` comes after `b`, with wraparound.
pub(crate) fn seq_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}

/// Rendezvous hashing: weight of a process for a hash, such as that of a flow.
pub(super) fn rendezvous_weight(address: SocketAddrV4, hash: u64) -> u64 {
    mix(address_number(address) ^ hash)
}
