//! What a flow is known by, and what can be read of its packets.

use std::{fmt, net::SocketAddrV4};

use crate::split_mix::mix;

/// The two ends of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// The caller's address and port.
    pub caller: SocketAddrV4,
    /// The service's address and port, as the caller sees them.
    pub service: SocketAddrV4,
}

impl FlowKey {
    /// A hash that is the same in every process.
    pub fn hash(&self) -> u64 {
        mix(mix(number(self.caller)) ^ number(self.service))
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.service)
    }
}

/// Address and port as one number.
pub(crate) fn number(address: SocketAddrV4) -> u64 {
    u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
}

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Opens the flow; also the upstream's answer to that.
    Open,
    /// Carries data or an acknowledgement.
    Data,
    /// Says that its sender has nothing more to send.
    Finish,
    /// Ends the flow at once.
    Reset,
}

/// What can be read of a packet without its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The flow, the same in both directions.
    pub key: FlowKey,
    /// What the packet does.
    pub kind: Kind,
    /// The upstream sent the packet back: it does not hold the flow or can't accept it.
    pub bounced: bool,
    /// Number of the first byte. The first number of the sender's end, if the packet opens the flow.
    pub seq: u32,
    /// Next byte that the sender expects; in a caller's opening packet the number of copies sent before.
    pub ack: u32,
    /// Bytes of data.
    pub len: u16,
}

impl Head {
    /// Number of the byte after the packet's data.
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(u32::from(self.len))
    }
}

/// Whether number `a` comes after `b`, in numbers that wrap round.
pub(crate) fn after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}

/// Rendezvous hashing: each hash, as that of a flow, has an order of its own over the processes.
pub(super) fn rank(address: SocketAddrV4, hash: u64) -> u64 {
    mix(number(address) ^ hash)
}
