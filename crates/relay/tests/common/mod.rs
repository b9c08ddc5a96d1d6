//! Snapshots, keys and packets for the tests of the packet path.

#![allow(dead_code, reason = "not every test uses all helpers")]

#[path = "../../../core/tests/support/mod.rs"]
mod support;

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::LazyLock,
};

use camphorwinch_core::{
    object::{KeySpec, KeyUse, Keys, Service, ServiceId},
    seal::{FlowOwner, KeyRing},
    snapshot::{ServiceEntry, Snapshot},
};

pub(crate) const SERVICE: &str = "ledger";

pub(crate) fn keys() -> Keys {
    let key = KeySpec { epoch: 1, secret: [1; 32], usage: KeyUse::Seal };
    Keys { reset: [2; 32], keys: vec![key] }
}

static RING: LazyLock<KeyRing> = LazyLock::new(ring);

pub(crate) fn ring() -> KeyRing {
    KeyRing::new(&keys()).expect("the ring has a sealing key")
}

/// Returns a snapshot with one service at `address` and an agent at each of `agents`.
pub(crate) fn snapshot(address: SocketAddr, agents: &[SocketAddr]) -> Snapshot {
    let spec = Service::new(address, SERVICE, "cert");
    let entry = ServiceEntry::new(SERVICE, 1, spec);
    let mut snapshot = Snapshot { keys: Some(keys()), ..Snapshot::default() };
    snapshot.services.insert(ServiceId::new(SERVICE), entry);
    for (number, &data) in agents.iter().enumerate() {
        let name = format!("ledger-{number}");
        let agent = support::agent(&name, SERVICE, data);
        snapshot.agents.insert(name, agent);
    }
    snapshot
}

/// Returns a packet of `len` bytes of an established flow at `agent`.
pub(crate) fn established_packet(agent: SocketAddrV4, flow: u32, len: usize) -> Vec<u8> {
    let [_, nonce @ ..] = flow.to_be_bytes();
    let home = FlowOwner { agent, service: ServiceId::new(SERVICE) };
    let cid = RING.seal(home, nonce);
    let mut datagram = [&[0x40], &cid[..]].concat();
    datagram.resize(len, 0x5a);
    datagram
}
