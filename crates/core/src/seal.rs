//! Sealed connection IDs: where a flow lives, encrypted into the ID that each of its packets carries.
//!
//! A sealed ID has 20 bytes: the key epoch, a nonce in clear, and one AES-128 block over the agent's address, the
//! service, the nonce again and zeros. The repeated nonce and the zeros are 48 bits that must match, so a random or
//! forged ID opens with probability 2^-48. Opening costs one AES operation and needs no memory per flow.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use aes::{
    Aes128, Block,
    cipher::{BlockDecrypt, BlockEncrypt, KeyInit},
};
use hkdf::Hkdf;
use sha2::Sha256;

use crate::object::{KeyUse, Keys, ServiceId};

/// Length of a sealed connection ID.
pub const CID_LEN: usize = 20;
/// Length of a nonce.
pub const NONCE_LEN: usize = 3;

const NONCE_AT: usize = 1;
const BLOCK_AT: usize = NONCE_AT + NONCE_LEN;
const LABEL_CID: &[u8] = b"camphorwinch cid";
const LABEL_PACKET: &[u8] = b"camphorwinch packet";
const LABEL_PLACE: &[u8] = b"camphorwinch place";
const LABEL_RESET: &[u8] = b"camphorwinch reset";
const LABEL_TOKEN: &[u8] = b"camphorwinch token";

/// Where a flow lives: the content of a sealed connection ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Home {
    /// Data address of the agent that ends the flow.
    pub agent: SocketAddrV4,
    /// Service of the flow.
    pub service: ServiceId,
}

/// The agent's address as a connection ID can carry it, or none: an IPv6 address does not fit.
pub fn sealable(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(it) => Some(it),
        SocketAddr::V6(it) => it.ip().to_ipv4_mapped().map(|ip| SocketAddrV4::new(ip, it.port())),
    }
}

/// Key of the authentication code on encapsulated packets.
pub type PacketKey = [u8; 16];

struct WorkingKey {
    epoch: u8,
    cid: Aes128,
    packet: PacketKey,
}

const NO_KEY: u8 = u8::MAX;

/// Working keys derived from the fleet's secrets: any listed epoch opens, one seals.
pub struct KeyRing {
    keys: Vec<WorkingKey>,
    // Index into `keys` by epoch, so that opening costs the same however many keys are listed.
    index: [u8; 256],
    sealing: usize,
    place: [u8; 16],
    reset: [u8; 32],
    token: [u8; 32],
}

impl std::fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("KeyRing").field("sealing", &self.epoch()).finish_non_exhaustive()
    }
}

impl KeyRing {
    /// Derives the working keys. None if no key seals; a checked spec has exactly one that does. The position of an
    /// index entry is a byte, so of more than 255 keys the rest is left out.
    pub fn new(keys: &Keys) -> Option<KeyRing> {
        let mut ring = KeyRing {
            keys: Vec::new(),
            index: [NO_KEY; 256],
            sealing: 0,
            place: derive(&keys.reset, LABEL_PLACE),
            reset: derive(&keys.reset, LABEL_RESET),
            token: derive(&keys.reset, LABEL_TOKEN),
        };
        let mut sealing = None;
        for key in keys.keys.iter().take(usize::from(NO_KEY)) {
            let at = ring.keys.len();
            if key.usage == KeyUse::Seal {
                sealing = Some(at);
            }
            ring.index[usize::from(key.epoch)] = at as u8;
            ring.keys.push(WorkingKey {
                epoch: key.epoch,
                cid: Aes128::new(&derive::<16>(&key.secret, LABEL_CID).into()),
                packet: derive(&key.secret, LABEL_PACKET),
            });
        }
        ring.sealing = sealing?;
        Some(ring)
    }

    /// Epoch of the key that seals.
    pub fn epoch(&self) -> u8 {
        self.keys[self.sealing].epoch
    }

    /// Seals `home` into a connection ID under the sealing key.
    pub fn seal(&self, home: Home, nonce: [u8; NONCE_LEN]) -> [u8; CID_LEN] {
        let key = &self.keys[self.sealing];
        let mut block = Block::default();
        block[..4].copy_from_slice(&home.agent.ip().octets());
        block[4..6].copy_from_slice(&home.agent.port().to_be_bytes());
        block[6..10].copy_from_slice(&home.service.0.to_be_bytes());
        block[10..13].copy_from_slice(&nonce);
        key.cid.encrypt_block(&mut block);
        let mut cid = [0; CID_LEN];
        cid[0] = key.epoch;
        cid[NONCE_AT..BLOCK_AT].copy_from_slice(&nonce);
        cid[BLOCK_AT..].copy_from_slice(&block);
        cid
    }

    /// Opens a connection ID; none if it was not sealed by a key of this ring.
    #[inline]
    pub fn open(&self, cid: &[u8]) -> Option<Home> {
        let cid: &[u8; CID_LEN] = cid.try_into().ok()?;
        let key = self.key(cid[0])?;
        let mut block = Block::clone_from_slice(&cid[BLOCK_AT..]);
        key.cid.decrypt_block(&mut block);
        if block[10..13] != cid[NONCE_AT..BLOCK_AT] || block[13..] != [0; 3] {
            return None;
        }
        let ip = Ipv4Addr::new(block[0], block[1], block[2], block[3]);
        let port = u16::from_be_bytes([block[4], block[5]]);
        let service = u32::from_be_bytes([block[6], block[7], block[8], block[9]]);
        Some(Home { agent: SocketAddrV4::new(ip, port), service: ServiceId(service) })
    }

    /// Key for encapsulated packets of an epoch.
    #[inline]
    pub fn packet_key(&self, epoch: u8) -> Option<&PacketKey> {
        self.key(epoch).map(|it| &it.packet)
    }

    /// Key of the hash that places new flows: the same for the life of the fleet, unknown to callers.
    #[inline]
    pub fn place_key(&self) -> &[u8; 16] {
        &self.place
    }

    /// Secret behind the stateless reset tokens of all agents.
    pub fn reset_key(&self) -> &[u8; 32] {
        &self.reset
    }

    /// Secret behind the address validation tokens of all agents.
    pub fn token_key(&self) -> &[u8; 32] {
        &self.token
    }

    #[inline]
    fn key(&self, epoch: u8) -> Option<&WorkingKey> {
        self.keys.get(usize::from(self.index[usize::from(epoch)]))
    }
}

fn derive<const N: usize>(secret: &[u8; 32], label: &[u8]) -> [u8; N] {
    let mut out = [0; N];
    Hkdf::<Sha256>::new(None, secret)
        .expand(label, &mut out)
        .expect("a key is shorter than HKDF's limit");
    out
}
