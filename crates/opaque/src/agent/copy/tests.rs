use std::net::SocketAddr;

use camphorwinch_core::opaque::{
    fleet::MemberEntry, revision::Revision, route::Routes, zone::ZonesOut,
};
use camphorwinch_wire::opaque::ZonesEntry;
use tokio::{net::TcpListener, time::sleep};

use super::*;

/// Returns an unused local address.
async fn unused_address() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let SocketAddr::V4(at) = listener.local_addr().expect("an address") else { panic!("IPv6") };
    at
}

fn zones(revision: u64, name: &str) -> ZonesEntry {
    ZonesEntry::from(&ZonesOut::new(Revision::new(0, revision), [name.to_owned()]))
}

/// Starts a balancer's snapshot server with this revision; returns its address and hello.
async fn balancer(revision: u64, zones: ZonesEntry) -> (SocketAddrV4, Hello) {
    let routes =
        Routes { revision: Revision::new(0, revision), version: revision, ..Routes::default() };
    let members = [MemberEntry {
        address: "10.0.0.9:7720".parse().expect("an address"),
        pool: None,
        zone: camphorwinch_core::opaque::zone::ZoneId(1),
    }];
    let out = ZonesOut::from(zones.clone());
    let snapshot = Snapshot::new(Some(&routes), &members).with_zones(Some(&out));
    let at = unused_address().await;
    let (keep, newest) = watch::channel(Arc::new(snapshot));
    snapshot::serve(at, newest, None).expect("serve");
    // Keeps the channel open for the duration of the test.
    std::mem::forget(keep);
    (
        at,
        Hello {
            revision,
            version: revision,
            zones: Some(zones),
            keep_copy: true,
            ..Hello::default()
        },
    )
}

/// Waits for a fetch over the loopback device.
async fn wait_for_fetch() {
    sleep(Duration::from_millis(200)).await;
}

#[tokio::test]
async fn agent_serves_requested_copy() {
    let own = unused_address().await;
    let mut copy = SnapshotCopy::serve(own).expect("serve");
    assert_eq!(copy.config(), None);
    let (at, hello) = balancer(5, zones(7, "a")).await;
    copy.handle_hello(at, &hello);
    wait_for_fetch().await;
    assert_eq!(copy.config().map(|it| it.version), Some(5));
    let served =
        snapshot::request(own, &SnapshotRequest::all(), REQUEST_TIMEOUT).await.expect("the copy");
    assert_eq!((served.revision, served.members.len(), served.zones), (5, 1, Some(zones(7, "a"))));
}

#[tokio::test]
async fn agent_keeps_no_copy_without_request() {
    let mut copy = SnapshotCopy::serve(unused_address().await).expect("serve");
    let (at, hello) = balancer(5, zones(7, "a")).await;
    copy.handle_hello(at, &Hello { keep_copy: false, ..hello });
    wait_for_fetch().await;
    assert_eq!(copy.config(), None);
}

#[tokio::test]
async fn older_configuration_does_not_replace_newer_copy() {
    let mut copy = SnapshotCopy::serve(unused_address().await).expect("serve");
    let (newer, hello) = balancer(8, zones(9, "a")).await;
    copy.handle_hello(newer, &hello);
    wait_for_fetch().await;
    // A balancer that announces a newer revision but serves an older one.
    let (older, hello) = balancer(5, zones(6, "b")).await;
    copy.fetched = None;
    copy.handle_hello(older, &Hello { revision: 12, version: 12, ..hello });
    wait_for_fetch().await;
    let kept = copy.newest.borrow().clone();
    assert_eq!((kept.revision, kept.zones.clone()), (8, Some(zones(9, "a"))));
}

#[tokio::test]
async fn newest_hello_updates_zones_of_copy() {
    let mut copy = SnapshotCopy::serve(unused_address().await).expect("serve");
    let (at, hello) = balancer(5, zones(7, "a")).await;
    copy.handle_hello(at, &hello);
    wait_for_fetch().await;
    let served = |zones| Hello { zones: Some(zones), keep_copy: false, ..hello.clone() };
    for (served, expected) in [
        (served(zones(9, "b")), zones(9, "b")),
        (served(zones(8, "a")), zones(9, "b")),
        (Hello { zones: None, ..hello.clone() }, zones(9, "b")),
    ] {
        copy.handle_hello(at, &served);
        assert_eq!(copy.newest.borrow().zones, Some(expected));
    }
}

#[tokio::test]
async fn failed_fetch_is_retried_with_another_balancer() {
    let mut copy = SnapshotCopy::serve(unused_address().await).expect("serve");
    let (at, hello) = balancer(5, zones(7, "a")).await;
    copy.handle_hello(unused_address().await, &hello);
    wait_for_fetch().await;
    assert_eq!(copy.config(), None);
    sleep(RETRY_INTERVAL).await;
    copy.handle_hello(at, &hello);
    wait_for_fetch().await;
    assert_eq!(copy.config().map(|it| it.version), Some(5));
}
