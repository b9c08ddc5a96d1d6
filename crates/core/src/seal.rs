//! Sealed connection IDs: the owner of a flow, encrypted into the connection ID of its packets.
//!
//! A sealed ID has 20 bytes: the key epoch, a nonce in clear text, and one AES-128 block over the agent's address, the
//! service ID, the nonce again and zeros. The repeated nonce and the zeros are 48 bits that must match, so a random or
//! forged ID is accepted with probability 2^-48. Opening takes one AES operation and no state per flow.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use aes::{
    Aes128, Block,
    cipher::{BlockDecrypt, BlockEncrypt, KeyInit},
};
use hkdf::Hkdf;
use sha2::Sha256;

use crate::object::{KeyUse, Keys, ServiceId};

/// Length of a sealed connection ID in bytes.
pub const CID_LEN: usize = 20;
/// Length of a nonce in bytes.
pub const NONCE_LEN: usize = 3;

const NONCE_OFFSET: usize = 1;
const BLOCK_OFFSET: usize = NONCE_OFFSET + NONCE_LEN;
const LABEL_CID: &[u8] = b"camphorwinch cid";
const LABEL_PACKET: &[u8] = b"camphorwinch packet";
const LABEL_PLACE: &[u8] = b"camphorwinch place";
const LABEL_RESET: &[u8] = b"camphorwinch reset";
const LABEL_TOKEN: &[u8] = b"camphorwinch token";

/// Owner of a flow: the content of a sealed connection ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FlowOwner {
    /// Data address of the agent that terminates the flow.
    pub agent: SocketAddrV4,
    /// Service of the flow.
    pub service: ServiceId,
}

/// Converts an agent's address to the form stored in a connection ID; `None` for IPv6, which does not fit.
pub fn sealable(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(it) => Some(it),
        SocketAddr::V6(it) => it.ip().to_ipv4_mapped().map(|ip| SocketAddrV4::new(ip, it.port())),
    }
}

/// Key of the message authentication code of encapsulated packets.
pub type PacketKey = [u8; 16];

struct DerivedKey {
    epoch: u8,
    cid: Aes128,
    packet: PacketKey,
}

const NO_KEY_INDEX: u8 = u8::MAX;

/// Keys derived from the fleet's secrets: every listed epoch opens connection IDs, one seals them.
pub struct KeyRing {
    keys: Vec<DerivedKey>,
    // Index into `keys` by epoch, for constant lookup time.
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
    /// Derives the keys; `None` if no key seals. A valid spec has exactly one sealing key. Only the first 255 keys are
    /// used, as the index holds one byte per epoch.
    pub fn new(keys: &Keys) -> Option<KeyRing> {
        let mut ring = KeyRing {
            keys: Vec::new(),
            index: [NO_KEY_INDEX; 256],
            sealing: 0,
            place: derive(&keys.reset, LABEL_PLACE),
            reset: derive(&keys.reset, LABEL_RESET),
            token: derive(&keys.reset, LABEL_TOKEN),
        };
        let mut sealing = None;
        for key in keys.keys.iter().take(usize::from(NO_KEY_INDEX)) {
            let at = ring.keys.len();
            if key.usage == KeyUse::Seal {
                sealing = Some(at);
            }
            ring.index[usize::from(key.epoch)] = at as u8;
            ring.keys.push(DerivedKey {
                epoch: key.epoch,
                cid: Aes128::new(&derive::<16>(&key.secret, LABEL_CID).into()),
                packet: derive(&key.secret, LABEL_PACKET),
            });
        }
        ring.sealing = sealing?;
        Some(ring)
    }

    /// Epoch of the sealing key.
    pub fn epoch(&self) -> u8 {
        self.keys[self.sealing].epoch
    }

    /// Seals `owner` into a connection ID with the sealing key.
    pub fn seal(&self, owner: FlowOwner, nonce: [u8; NONCE_LEN]) -> [u8; CID_LEN] {
        let key = &self.keys[self.sealing];
        let mut block = Block::default();
        block[..4].copy_from_slice(&owner.agent.ip().octets());
        block[4..6].copy_from_slice(&owner.agent.port().to_be_bytes());
        block[6..10].copy_from_slice(&owner.service.0.to_be_bytes());
        block[10..13].copy_from_slice(&nonce);
        key.cid.encrypt_block(&mut block);
        let mut cid = [0; CID_LEN];
        cid[0] = key.epoch;
        cid[NONCE_OFFSET..BLOCK_OFFSET].copy_from_slice(&nonce);
        cid[BLOCK_OFFSET..].copy_from_slice(&block);
        cid
    }

    /// Opens a connection ID; `None` if it was not sealed with a key of this ring.
    #[inline]
    pub fn open(&self, cid: &[u8]) -> Option<FlowOwner> {
        let cid: &[u8; CID_LEN] = cid.try_into().ok()?;
        let key = self.key(cid[0])?;
        let mut block = Block::clone_from_slice(&cid[BLOCK_OFFSET..]);
        key.cid.decrypt_block(&mut block);
        if block[10..13] != cid[NONCE_OFFSET..BLOCK_OFFSET] || block[13..] != [0; 3] {
            return None;
        }
        let ip = Ipv4Addr::new(block[0], block[1], block[2], block[3]);
        let port = u16::from_be_bytes([block[4], block[5]]);
        let service = u32::from_be_bytes([block[6], block[7], block[8], block[9]]);
        Some(FlowOwner { agent: SocketAddrV4::new(ip, port), service: ServiceId(service) })
    }

    /// Key for encapsulated packets of `epoch`, if known.
    #[inline]
    pub fn packet_key(&self, epoch: u8) -> Option<&PacketKey> {
        self.key(epoch).map(|it| &it.packet)
    }

    /// Secret key of the hash that places new flows; never changes for a fleet.
    #[inline]
    pub fn place_key(&self) -> &[u8; 16] {
        &self.place
    }

    /// Secret from which the stateless reset tokens of all agents are derived.
    pub fn reset_key(&self) -> &[u8; 32] {
        &self.reset
    }

    /// Secret from which the address validation tokens of all agents are derived.
    pub fn token_key(&self) -> &[u8; 32] {
        &self.token
    }

    #[inline]
    fn key(&self, epoch: u8) -> Option<&DerivedKey> {
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
