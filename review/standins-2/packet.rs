//! Packets of consumers and targets, as PROTOCOL.md gives them.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const SYN: u8 = 2;
pub const BOUNCED: u8 = 4;
pub const RST: u8 = 16;
pub const ACK: u8 = 32;
pub const FIN: u8 = 128;

const HEAD: usize = 32;
/// Key of the sum, known to consumers and targets only.
const KEY: u32 = 0x5bd1_e995;

#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
}

/// A packet that was read.
pub enum Read {
    /// Its sum is that of a consumer or a target.
    Sound(Packet),
    /// A reset without data and with a sum of 0: the system's own.
    SystemReset,
    /// Not a packet that its sender wrote so.
    Altered,
}

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut out = self.head();
        let sum = sum(&out, &self.data);
        out[28..32].copy_from_slice(&sum.to_be_bytes());
        out.extend(&self.data);
        out
    }

    fn head(&self) -> Vec<u8> {
        let mut out = vec![0, 0, 0, 0, self.flags, 0];
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(self.to.port().to_be_bytes());
        out.extend(self.from.port().to_be_bytes());
        out.extend(self.from.ip().octets());
        out.extend(self.to.ip().octets());
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(0_u32.to_be_bytes());
        out
    }

    pub fn read(bytes: &[u8]) -> Read {
        if bytes.len() < HEAD {
            return Read::Altered;
        }
        let word = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().expect("4 bytes"));
        let half = |at: usize| u16::from_be_bytes(bytes[at..at + 2].try_into().expect("2 bytes"));
        let packet = Packet {
            flags: bytes[4],
            from: SocketAddrV4::new(Ipv4Addr::from(word(12)), half(10)),
            to: SocketAddrV4::new(Ipv4Addr::from(word(16)), half(8)),
            seq: word(20),
            ack: word(24),
            data: bytes[HEAD..].to_vec(),
        };
        if usize::from(half(6)) != packet.data.len() {
            return Read::Altered;
        }
        if word(28) == 0 && packet.flags == RST && packet.data.is_empty() {
            return Read::SystemReset;
        }
        if word(28) == sum(&packet.head(), &packet.data) {
            Read::Sound(packet)
        } else {
            Read::Altered
        }
    }
}

/// Sum over all fields but `echo`, `pad`, BOUNCED and the sum itself.
fn sum(head: &[u8], data: &[u8]) -> u32 {
    let mut hash = KEY;
    let mut add = |byte: u8| hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    add(head[4] & !BOUNCED);
    head[6..28].iter().for_each(|it| add(*it));
    data.iter().for_each(|it| add(*it));
    hash.max(1)
}
