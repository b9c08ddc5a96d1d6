//! Sockets follow the configuration.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use camphorwinch_core::{
    object::{Policy, Service, ServiceId},
    place::Placer,
    snapshot::{ServiceEntry, Snapshot},
};
use camphorwinch_relay::{outcome::Tally, relay::Shared, socket, worker::Worker};

use super::sockets::Sockets;
use crate::config::AddressMode;

const TIMEOUT: Duration = Duration::from_secs(10);

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A port that was free a moment ago.
fn free_port() -> u16 {
    let socket = UdpSocket::bind(loopback(0)).expect("bind");
    socket.local_addr().expect("an address").port()
}

fn snapshot(services: &[(&str, SocketAddr)]) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for &(name, address) in services {
        let spec = Service {
            address,
            pool: name.to_owned(),
            certificate: "cert".to_owned(),
            policy: Policy::Steady,
            weights: Default::default(),
            key_window_s: 600,
            retry_budget: 0.1,
            connections: 2_000,
        };
        let entry = ServiceEntry { name: name.to_owned(), version: 1, spec };
        snapshot.services.insert(ServiceId::new(name), entry);
    }
    snapshot
}

struct Rig {
    sockets: Sockets,
    workers: Vec<Worker>,
    placer: Placer,
}

impl Rig {
    fn new(mode: AddressMode) -> Rig {
        let data = socket::bind(loopback(0)).expect("bind");
        let address = data.local_addr().expect("an address");
        let placer = || Placer::new(&Snapshot::default(), None, 0);
        let shared = Shared { placer: ArcSwap::from_pointee(placer()), tally: Tally::default() };
        let worker = Worker::new("test", data, Arc::new(shared)).expect("start");
        let sockets = Sockets::new(mode, address);
        Rig { sockets, workers: vec![worker], placer: placer() }
    }

    fn adjust(&mut self, services: &[(&str, SocketAddr)], now_ms: u64) -> bool {
        let snapshot = snapshot(services);
        self.placer = Placer::new(&snapshot, Some(&self.placer), now_ms);
        self.sockets.adjust(&self.placer, &snapshot, &self.workers)
    }
}

/// Whether something listens on `address`: without address sharing, a second bind fails then.
fn listens(address: SocketAddr) -> bool {
    UdpSocket::bind(address).is_err()
}

#[test]
fn an_address_that_is_taken_is_tried_again() {
    let mut rig = Rig::new(AddressMode::Service);
    let other = UdpSocket::bind(loopback(0)).expect("bind");
    let address = other.local_addr().expect("an address");
    assert!(!rig.adjust(&[("ledger", address)], 0));
    drop(other);
    assert!(rig.adjust(&[("ledger", address)], 0));
    assert!(listens(address));
}

#[test]
fn two_services_never_share_a_socket() {
    let mut rig = Rig::new(AddressMode::Own);
    let port = free_port();
    let ledger = SocketAddr::from(([192, 0, 2, 1], port));
    let intake = SocketAddr::from(([192, 0, 2, 2], port));
    assert!(rig.adjust(&[("ledger", ledger)], 0));
    assert!(!rig.adjust(&[("ledger", ledger), ("intake", intake)], 0));
    assert!(rig.adjust(&[("intake", intake)], 0));
}

#[test]
fn a_removed_service_keeps_its_socket_while_flows_may_live() {
    let mut rig = Rig::new(AddressMode::Own);
    let port = free_port();
    let ledger = SocketAddr::from(([192, 0, 2, 1], port));
    assert!(rig.adjust(&[("ledger", ledger)], 0));
    assert!(rig.adjust(&[], 1));
    assert!(listens(loopback(port)));
    assert!(rig.adjust(&[], 1 + camphorwinch_core::place::FORMER_MS));
    let deadline = Instant::now() + TIMEOUT;
    while listens(loopback(port)) {
        assert!(Instant::now() < deadline, "the socket is still open");
        sleep(Duration::from_millis(5));
    }
}
