//! The platform's packets.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 2;
pub const BOUNCED: u8 = 4;
pub const RST: u8 = 16;
pub const ACK: u8 = 32;
pub const FIN: u8 = 128;

const HEAD: usize = 32;
/// Key of the sum, known to consumers and targets only.
const KEY: u32 = 0x5eed_1e55;

/// A packet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Packet {
    pub flags: u8,
    pub pad: u8,
    pub echo: u32,
    pub src: u32,
    pub sport: u16,
    pub dst: u32,
    pub dport: u16,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn new(flags: u8, from: SocketAddrV4, to: SocketAddrV4, seq: u32, ack: u32) -> Packet {
        Packet {
            flags,
            src: from.ip().to_bits(),
            sport: from.port(),
            dst: to.ip().to_bits(),
            dport: to.port(),
            seq,
            ack,
            ..Packet::default()
        }
    }

    pub fn with_data(self, data: Vec<u8>) -> Packet {
        Packet { data, ..self }
    }

    pub fn from(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(self.src), self.sport)
    }

    pub fn to(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(self.dst), self.dport)
    }

    fn right_sum(&self) -> u32 {
        let flags = self.flags & !BOUNCED;
        let mut hash = 0x811c_9dc5_u32 ^ KEY;
        let mut add = |bytes: &[u8]| {
            for &b in bytes {
                hash = (hash ^ u32::from(b)).wrapping_mul(0x0100_0193);
            }
        };
        add(&[flags]);
        for it in [self.src, self.dst, self.seq, self.ack] {
            add(&it.to_be_bytes());
        }
        for it in [self.sport, self.dport, self.data.len() as u16] {
            add(&it.to_be_bytes());
        }
        add(&self.data);
        hash
    }

    /// Whether the packet is as its sender wrote it.
    pub fn is_genuine(&self) -> bool {
        self.sum == self.right_sum()
    }

    /// Encodes the packet with the sender's sum.
    pub fn sealed(mut self) -> Vec<u8> {
        self.sum = self.right_sum();
        self.encode()
    }

    /// Encodes the packet with its present sum.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEAD + self.data.len());
        out.extend(self.echo.to_be_bytes());
        out.extend([self.flags, self.pad]);
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(self.dport.to_be_bytes());
        out.extend(self.sport.to_be_bytes());
        for it in [self.src, self.dst, self.seq, self.ack, self.sum] {
            out.extend(it.to_be_bytes());
        }
        out.extend(&self.data);
        out
    }

    pub fn decode(bytes: &[u8]) -> Option<Packet> {
        let data = bytes.get(HEAD..)?.to_vec();
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| {
            u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
        };
        if usize::from(u16_at(6)) != data.len() {
            return None;
        }
        Some(Packet {
            echo: u32_at(0),
            flags: bytes[4],
            pad: bytes[5],
            dport: u16_at(8),
            sport: u16_at(10),
            src: u32_at(12),
            dst: u32_at(16),
            seq: u32_at(20),
            ack: u32_at(24),
            sum: u32_at(28),
            data,
        })
    }
}
