//! Tests of opening and closing sockets.

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
use camphorwinch_relay::{outcome::OutcomeCounters, relay::Shared, socket, worker::Worker};

use super::sockets::Sockets;
use crate::config::AddressMode;

const TIMEOUT: Duration = Duration::from_secs(10);

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A port that was free when checked.
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

struct Fixture {
    sockets: Sockets,
    workers: Vec<Worker>,
    placer: Placer,
}

impl Fixture {
    fn new(mode: AddressMode) -> Fixture {
        let data = socket::bind(loopback(0)).expect("bind");
        let address = data.local_addr().expect("an address");
        let placer = || Placer::new(&Snapshot::default(), None, 0);
        let shared = Shared {
            placer: ArcSwap::from_pointee(placer()),
            counters: OutcomeCounters::default(),
        };
        let worker = Worker::new("test", data, Arc::new(shared)).expect("start");
        let sockets = Sockets::new(mode, address);
        Fixture { sockets, workers: vec![worker], placer: placer() }
    }

    fn reconcile(&mut self, services: &[(&str, SocketAddr)], now_ms: u64) -> bool {
        let snapshot = snapshot(services);
        self.placer = Placer::new(&snapshot, Some(&self.placer), now_ms);
        self.sockets.reconcile(&self.placer, &snapshot, &self.workers)
    }
}

/// Whether a socket is bound to `address`: a second bind without address sharing fails.
fn is_bound(address: SocketAddr) -> bool {
    UdpSocket::bind(address).is_err()
}

#[test]
fn binding_is_retried_while_the_address_is_in_use() {
    let mut fixture = Fixture::new(AddressMode::Service);
    let other = UdpSocket::bind(loopback(0)).expect("bind");
    let address = other.local_addr().expect("an address");
    assert!(!fixture.reconcile(&[("ledger", address)], 0));
    drop(other);
    assert!(fixture.reconcile(&[("ledger", address)], 0));
    assert!(is_bound(address));
}

#[test]
fn two_services_never_share_a_socket() {
    let mut fixture = Fixture::new(AddressMode::Own);
    let port = free_port();
    let ledger = SocketAddr::from(([192, 0, 2, 1], port));
    let intake = SocketAddr::from(([192, 0, 2, 2], port));
    assert!(fixture.reconcile(&[("ledger", ledger)], 0));
    assert!(!fixture.reconcile(&[("ledger", ledger), ("intake", intake)], 0));
    assert!(fixture.reconcile(&[("intake", intake)], 0));
}

#[test]
fn a_removed_service_keeps_its_socket_until_its_flows_expire() {
    let mut fixture = Fixture::new(AddressMode::Own);
    let port = free_port();
    let ledger = SocketAddr::from(([192, 0, 2, 1], port));
    assert!(fixture.reconcile(&[("ledger", ledger)], 0));
    assert!(fixture.reconcile(&[], 1));
    assert!(is_bound(loopback(port)));
    assert!(fixture.reconcile(&[], 1 + camphorwinch_core::place::REMOVED_SERVICE_TTL_MS));
    let deadline = Instant::now() + TIMEOUT;
    while is_bound(loopback(port)) {
        assert!(Instant::now() < deadline, "the socket is still open");
        sleep(Duration::from_millis(5));
    }
}
