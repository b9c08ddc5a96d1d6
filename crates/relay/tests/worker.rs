//! A worker on loopback sockets.

mod common;

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use camphorwinch_core::place::{DropReason, Placer};
use camphorwinch_relay::{
    outcome::{Outcome, OutcomeCounters},
    relay::Shared,
    socket,
    worker::{IngressSocket, Worker},
};
use camphorwinch_wire::encap;
use tokio::sync::oneshot;

const TIMEOUT: Duration = Duration::from_secs(10);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn receiver() -> UdpSocket {
    let socket = UdpSocket::bind(loopback()).expect("bind");
    socket.set_read_timeout(Some(TIMEOUT)).expect("set a timeout");
    socket
}

#[test]
fn a_worker_relays_to_the_owner_until_its_socket_is_closed() {
    let agent = receiver();
    let data = agent.local_addr().expect("local address");
    let SocketAddr::V4(home) = data else { panic!("not an IPv4 address") };
    let service = socket::bind(loopback()).expect("bind");
    let address = service.local_addr().expect("local address");
    let placer = Placer::new(&common::snapshot(address, &[data]), None, 0);
    let shared = Arc::new(Shared {
        placer: ArcSwap::from_pointee(placer),
        counters: OutcomeCounters::default(),
    });
    let data_socket = socket::bind(loopback()).expect("bind");
    let worker = Worker::new("test", data_socket, Arc::clone(&shared)).expect("start the worker");
    let (close, closed) = oneshot::channel();
    assert!(worker.add_socket(IngressSocket { address, socket: service, closed }));

    let caller = receiver();
    let datagram = common::established_packet(home, 1, 900);
    caller.send_to(&[0; 30], address).expect("send");
    caller.send_to(&datagram, address).expect("send");
    let mut buffer = [0; 2_000];
    let (len, _) = agent.recv_from(&mut buffer).expect("receive the datagram");
    let (header, payload) = encap::decode(&common::ring(), &buffer[..len]).expect("valid datagram");
    assert_eq!(header.caller, caller.local_addr().expect("local address"));
    assert_eq!(payload, datagram);
    drop(close);
    worker.join();
    // Counters are updated after the batch is sent; `join` waits for that.
    assert_eq!(
        shared.counters.get(Outcome::Refused(DropReason::Epoch)),
        1,
        "the connection ID of the first datagram has an unknown key epoch"
    );
    assert!(socket::bind(address).is_ok());
}
