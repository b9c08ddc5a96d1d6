//! Tests that only valid sealed connection IDs open.

use std::net::SocketAddrV4;

use camphorwinch_core::{
    object::{KeySpec, KeyUse, Keys, ServiceId},
    seal::{CID_LEN, FlowOwner, KeyRing, NONCE_LEN},
};
use quickcheck::quickcheck;

fn key(epoch: u8, usage: KeyUse) -> KeySpec {
    KeySpec { epoch, secret: [epoch; 32], usage }
}

fn ring(keys: Vec<KeySpec>) -> KeyRing {
    KeyRing::new(&Keys { reset: [9; 32], keys }).expect("one key seals")
}

fn flow_owner(ip: u32, port: u16, service: u32) -> FlowOwner {
    FlowOwner { agent: SocketAddrV4::new(ip.into(), port), service: ServiceId(service) }
}

quickcheck! {
    fn opens_what_it_sealed(ip: u32, port: u16, service: u32, nonce: u32) -> bool {
        let ring = ring(vec![key(7, KeyUse::Seal)]);
        let owner = flow_owner(ip, port, service);
        let [_, nonce @ ..] = nonce.to_be_bytes();
        ring.open(&ring.seal(owner, nonce)) == Some(owner)
    }

    fn any_changed_bit_is_refused(ip: u32, port: u16, bit: usize) -> bool {
        let ring = ring(vec![key(7, KeyUse::Seal), key(6, KeyUse::Open)]);
        let mut cid = ring.seal(flow_owner(ip, port, 1), [1; NONCE_LEN]);
        let bit = bit % (CID_LEN * 8);
        cid[bit / 8] ^= 1 << (bit % 8);
        ring.open(&cid).is_none()
    }

    fn random_ids_are_refused(bytes: Vec<u8>) -> bool {
        let opening = (1..=254).map(|it| key(it, KeyUse::Open));
        let ring = ring(opening.chain([key(0, KeyUse::Seal)]).collect());
        ring.open(&bytes).is_none()
    }
}

#[test]
fn rotation_opens_old_and_new_until_the_old_key_is_removed() {
    let owner = flow_owner(0x7f00_0001, 7000, 3);
    let before = ring(vec![key(1, KeyUse::Seal)]);
    let cid = before.seal(owner, [5; NONCE_LEN]);

    let announced = ring(vec![key(1, KeyUse::Seal), key(2, KeyUse::Open)]);
    let rotated = ring(vec![key(1, KeyUse::Open), key(2, KeyUse::Seal)]);
    assert_eq!(announced.open(&cid), Some(owner));
    assert_eq!(rotated.open(&cid), Some(owner));
    assert_eq!(announced.open(&rotated.seal(owner, [6; NONCE_LEN])), Some(owner));

    let removed = ring(vec![key(2, KeyUse::Seal)]);
    assert_eq!(removed.open(&cid), None);
    assert_eq!(before.reset_key(), removed.reset_key(), "reset tokens outlive a rotation");
}

#[test]
fn keys_without_a_sealing_key_give_no_ring() {
    let keys = Keys { reset: [0; 32], keys: vec![key(1, KeyUse::Open)] };
    assert!(KeyRing::new(&keys).is_none());
}
