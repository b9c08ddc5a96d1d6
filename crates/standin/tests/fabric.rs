//! Fabric emulator: packet spraying, return path, routes and faults.

mod client;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use camphorwinch_standin::fabric::{Fabric, Faults, Routes, ServiceCounts};
use client::Client;
use serde_json::json;
use tokio::{net::UdpSocket, task::JoinSet, time::timeout};

const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn bind_socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let addr = socket.local_addr().unwrap();
    (socket, addr)
}

/// Returns a free address on an IP that no other test binds.
async fn free_address() -> SocketAddr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high | 0x80, low, COUNT.fetch_add(1, Ordering::Relaxed));
    UdpSocket::bind((ip, 0)).await.unwrap().local_addr().unwrap()
}

async fn start(routes: &Routes, idle: Duration, faults: Faults) -> Fabric {
    let admin = "127.0.0.1:0".parse().unwrap();
    let ip = Ipv4Addr::LOCALHOST.into();
    Fabric::start(admin, routes, ip, idle, 3, faults).await.unwrap()
}

fn counts(fabric: &Fabric) -> ServiceCounts {
    fabric.counts().services.into_values().next().unwrap()
}

async fn wait_for<F>(fabric: &Fabric, done: F) -> ServiceCounts
where
    F: Fn(&ServiceCounts) -> bool,
{
    let wait = async {
        while !done(&counts(fabric)) {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    assert!(timeout(TEST_TIMEOUT, wait).await.is_ok(), "{:?}", counts(fabric));
    counts(fabric)
}

#[tokio::test]
async fn datagrams_are_sprayed_and_replies_come_from_the_service_address() {
    let service = free_address().await;
    let agent = UdpSocket::bind("127.0.0.2:0").await.unwrap();
    let mut balancers = Vec::new();
    let mut tasks = JoinSet::new();
    let (sender, mut received) = tokio::sync::mpsc::unbounded_channel();
    for index in 0..3 {
        let (socket, addr) = bind_socket().await;
        balancers.push(addr);
        let sender = sender.clone();
        tasks.spawn(async move {
            let mut buffer = [0; 2048];
            while let Ok((len, from)) = socket.recv_from(&mut buffer).await {
                let _ = sender.send((index, from, buffer[..len].to_vec()));
            }
        });
    }
    let routes = Routes::from([(service, balancers)]);
    let fabric = start(&routes, IDLE_TIMEOUT, Faults::default()).await;

    let callers = [bind_socket().await.0, bind_socket().await.0];
    let mut sources = [BTreeSet::new(), BTreeSet::new()];
    let mut spread: BTreeMap<usize, u64> = BTreeMap::new();
    for round in 0..150_u16 {
        for (index, caller) in callers.iter().enumerate() {
            let sent = [index as u8, round as u8, (round >> 8) as u8];
            caller.send_to(&sent, service).await.unwrap();
            let (balancer, from, payload) =
                timeout(TEST_TIMEOUT, received.recv()).await.unwrap().unwrap();
            assert_eq!(payload, sent);
            sources[index].insert(from);
            *spread.entry(balancer).or_default() += 1;
            agent.send_to(&payload, from).await.unwrap();
            let mut buffer = [0; 16];
            let (len, from) =
                timeout(TEST_TIMEOUT, caller.recv_from(&mut buffer)).await.unwrap().unwrap();
            assert_eq!((&buffer[..len], from), (&sent[..], service));
        }
    }
    assert_eq!((sources[0].len(), sources[1].len()), (1, 1));
    assert_ne!(sources[0], sources[1]);
    assert!(spread.len() == 3 && spread.values().all(|&it| it > 60), "{spread:?}");
    let counts = counts(&fabric);
    assert_eq!((counts.callers, counts.forward, counts.back, counts.errors), (2, 300, 300, 0));
    assert_eq!(counts.balancers.values().sum::<u64>(), 300);
}

#[tokio::test]
async fn a_segmented_burst_is_split_into_datagrams() {
    let (service, (balancer, addr)) = (free_address().await, bind_socket().await);
    let fabric =
        start(&Routes::from([(service, vec![addr])]), IDLE_TIMEOUT, Faults::default()).await;
    let (caller, _) = bind_socket().await;
    caller.send_to(b"x", service).await.unwrap();
    let mut buffer = [0; 2048];
    let (_, relay) = timeout(TEST_TIMEOUT, balancer.recv_from(&mut buffer)).await.unwrap().unwrap();

    let state = quinn_udp::UdpSocketState::new((&balancer).into()).unwrap();
    let contents: Vec<u8> = (0..10_u8).flat_map(|it| [it; 1000]).chain([10; 7]).collect();
    let transmit = quinn_udp::Transmit {
        destination: relay,
        ecn: None,
        contents: &contents,
        segment_size: (state.max_gso_segments() > 10).then_some(1000),
        src_ip: None,
    };
    if transmit.segment_size.is_some() {
        state.send((&balancer).into(), &transmit).unwrap();
    } else {
        for part in contents.chunks(1000) {
            balancer.send_to(part, relay).await.unwrap();
        }
    }
    for index in 0..=10_u8 {
        let (len, _) = timeout(TEST_TIMEOUT, caller.recv_from(&mut buffer)).await.unwrap().unwrap();
        assert_eq!((len, buffer[0]), (if index < 10 { 1000 } else { 7 }, index));
    }
    assert_eq!(counts(&fabric).back, 11);
}

#[tokio::test]
async fn route_changes_keep_existing_callers() {
    let (service, second) = (free_address().await, free_address().await);
    let ((old, old_addr), (new, new_addr)) = (bind_socket().await, bind_socket().await);
    let fabric =
        start(&Routes::from([(service, vec![old_addr])]), IDLE_TIMEOUT, Faults::default()).await;
    let admin = Client::new(fabric.admin());
    let (caller, _) = bind_socket().await;
    let mut buffer = [0; 16];
    caller.send_to(b"1", service).await.unwrap();
    let (_, before) = timeout(TEST_TIMEOUT, old.recv_from(&mut buffer)).await.unwrap().unwrap();

    let routes = json!({ service.to_string(): [new_addr], second.to_string(): [old_addr] });
    assert_eq!(admin.put("/routes", &routes).await.unwrap().status, 200);
    assert_eq!(admin.get("/routes").await.unwrap().json(), routes);
    caller.send_to(b"2", service).await.unwrap();
    let (_, after) = timeout(TEST_TIMEOUT, new.recv_from(&mut buffer)).await.unwrap().unwrap();
    assert_eq!(before, after);
    caller.send_to(b"3", second).await.unwrap();
    timeout(TEST_TIMEOUT, old.recv_from(&mut buffer)).await.unwrap().unwrap();
    assert_eq!(buffer[0], b'3');

    let (_held, held_addr) = bind_socket().await;
    let taken = json!({ held_addr.to_string(): [new_addr] });
    assert_eq!(admin.put("/routes", &taken).await.unwrap().status, 409);
    assert_eq!(admin.get("/routes").await.unwrap().json(), routes);
    assert_eq!(admin.put("/routes", &json!({ "nowhere": [] })).await.unwrap().status, 400);

    let empty = json!({ service.to_string(): [] });
    assert_eq!(admin.put("/routes", &empty).await.unwrap().status, 200);
    caller.send_to(b"4", service).await.unwrap();
    wait_for(&fabric, |it| it.unrouted == 1).await;
}

#[tokio::test]
async fn faults_apply_in_both_directions() {
    let (service, (balancer, addr)) = (free_address().await, bind_socket().await);
    let fabric =
        start(&Routes::from([(service, vec![addr])]), IDLE_TIMEOUT, Faults::default()).await;
    let admin = Client::new(fabric.admin());
    let (caller, _) = bind_socket().await;
    let mut buffer = [0; 16];
    caller.send_to(b"0", service).await.unwrap();
    let (_, relay) = timeout(TEST_TIMEOUT, balancer.recv_from(&mut buffer)).await.unwrap().unwrap();

    admin.put("/faults", &json!({ "duplicate": 1.0 })).await.unwrap();
    caller.send_to(b"1", service).await.unwrap();
    balancer.send_to(b"2", relay).await.unwrap();
    for _ in 0..2 {
        timeout(TEST_TIMEOUT, balancer.recv_from(&mut buffer)).await.unwrap().unwrap();
        assert_eq!(buffer[0], b'1');
        timeout(TEST_TIMEOUT, caller.recv_from(&mut buffer)).await.unwrap().unwrap();
        assert_eq!(buffer[0], b'2');
    }

    admin.put("/faults", &json!({ "reorder": 1.0, "hold_ms": 2000 })).await.unwrap();
    caller.send_to(b"3", service).await.unwrap();
    wait_for(&fabric, |it| it.reordered == 1).await;
    admin.put("/faults", &json!({})).await.unwrap();
    caller.send_to(b"4", service).await.unwrap();
    for expected in [b'4', b'3'] {
        timeout(TEST_TIMEOUT, balancer.recv_from(&mut buffer)).await.unwrap().unwrap();
        assert_eq!(buffer[0], expected);
    }

    admin.put("/faults", &json!({ "loss": 1.0 })).await.unwrap();
    caller.send_to(b"5", service).await.unwrap();
    balancer.send_to(b"6", relay).await.unwrap();
    wait_for(&fabric, |it| it.lost == 2).await;
    admin.put("/faults", &json!({ "cut": [addr.ip()] })).await.unwrap();
    caller.send_to(b"7", service).await.unwrap();
    wait_for(&fabric, |it| it.cut == 1).await;
    assert!(timeout(SHORT_TIMEOUT, balancer.recv_from(&mut buffer)).await.is_err());
    assert_eq!(admin.put("/faults", &json!({ "loss": 1.5 })).await.unwrap().status, 400);
}

#[tokio::test]
async fn idle_callers_are_evicted() {
    let (service, (_balancer, addr)) = (free_address().await, bind_socket().await);
    let fabric =
        start(&Routes::from([(service, vec![addr])]), SHORT_TIMEOUT, Faults::default()).await;
    let (caller, _) = bind_socket().await;
    for opened in 1..=2 {
        caller.send_to(b"x", service).await.unwrap();
        wait_for(&fabric, |it| it.opened == opened && it.callers == 1).await;
        wait_for(&fabric, |it| it.callers == 0).await;
    }
}
