use std::net::SocketAddr;

use camphorwinch_core::opaque::{fleet::Listed, revision::Revision, route::Routes, zone::ZonesOut};
use camphorwinch_wire::opaque::ZonesEntry;
use tokio::{net::TcpListener, time::sleep};

use super::*;

/// An address that is free at this moment.
async fn free() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let SocketAddr::V4(at) = listener.local_addr().expect("an address") else { panic!("IPv6") };
    at
}

fn zones(revision: u64, name: &str) -> ZonesEntry {
    ZonesEntry::from(&ZonesOut::new(Revision::new(0, revision), [name.to_owned()]))
}

/// A balancer that has this revision in force and serves what it knows.
async fn balancer(revision: u64, zones: ZonesEntry) -> (SocketAddrV4, Greeting) {
    let routes =
        Routes { revision: Revision::new(0, revision), version: revision, ..Routes::default() };
    let members = [Listed {
        address: "10.0.0.9:7720".parse().expect("an address"),
        pool: None,
        zone: camphorwinch_core::opaque::zone::ZoneId(1),
    }];
    let out = ZonesOut::from(zones.clone());
    let snapshot = Snapshot::new(Some(&routes), &members).with_zones(Some(&out));
    let at = free().await;
    let (keep, newest) = watch::channel(Arc::new(snapshot));
    snapshot::serve(at, newest, None).expect("serve");
    // It serves for as long as the test runs.
    std::mem::forget(keep);
    (
        at,
        Greeting {
            revision,
            version: revision,
            zones: Some(zones),
            keep: true,
            ..Greeting::default()
        },
    )
}

/// Time for a fetch over the loopback device, many times.
async fn fetched() {
    sleep(Duration::from_millis(200)).await;
}

#[tokio::test]
async fn an_agent_that_is_asked_to_keep_a_copy_serves_it() {
    let own = free().await;
    let mut copy = Copy::serve(own).expect("serve");
    assert_eq!(copy.config(), None);
    let (at, greeting) = balancer(5, zones(7, "a")).await;
    copy.take_greeting(at, &greeting);
    fetched().await;
    assert_eq!(copy.config().map(|it| it.version), Some(5));
    let told = snapshot::ask(own, &Question::all(), ASK_TIMEOUT).await.expect("the copy");
    assert_eq!((told.revision, told.members.len(), told.zones), (5, 1, Some(zones(7, "a"))));
}

#[tokio::test]
async fn an_agent_that_is_not_asked_keeps_nothing() {
    let mut copy = Copy::serve(free().await).expect("serve");
    let (at, greeting) = balancer(5, zones(7, "a")).await;
    copy.take_greeting(at, &Greeting { keep: false, ..greeting });
    fetched().await;
    assert_eq!(copy.config(), None);
}

#[tokio::test]
async fn an_older_configuration_replaces_no_newer_copy() {
    let mut copy = Copy::serve(free().await).expect("serve");
    let (newer, greeting) = balancer(8, zones(9, "a")).await;
    copy.take_greeting(newer, &greeting);
    fetched().await;
    // A balancer that says it has a newer one and serves an older one.
    let (older, greeting) = balancer(5, zones(6, "b")).await;
    copy.fetched = None;
    copy.take_greeting(older, &Greeting { revision: 12, version: 12, ..greeting });
    fetched().await;
    let kept = copy.newest.borrow().clone();
    assert_eq!((kept.revision, kept.zones.clone()), (8, Some(zones(9, "a"))));
}

#[tokio::test]
async fn zones_of_a_copy_follow_the_newest_greeting() {
    let mut copy = Copy::serve(free().await).expect("serve");
    let (at, greeting) = balancer(5, zones(7, "a")).await;
    copy.take_greeting(at, &greeting);
    fetched().await;
    let told = |zones| Greeting { zones: Some(zones), keep: false, ..greeting.clone() };
    for (told, expected) in [
        (told(zones(9, "b")), zones(9, "b")),
        (told(zones(8, "a")), zones(9, "b")),
        (Greeting { zones: None, ..greeting.clone() }, zones(9, "b")),
    ] {
        copy.take_greeting(at, &told);
        assert_eq!(copy.newest.borrow().zones, Some(expected));
    }
}

#[tokio::test]
async fn a_balancer_that_does_not_answer_leaves_the_copy_and_another_is_asked() {
    let mut copy = Copy::serve(free().await).expect("serve");
    let (at, greeting) = balancer(5, zones(7, "a")).await;
    copy.take_greeting(free().await, &greeting);
    fetched().await;
    assert_eq!(copy.config(), None);
    sleep(ATTEMPT).await;
    copy.take_greeting(at, &greeting);
    fetched().await;
    assert_eq!(copy.config().map(|it| it.version), Some(5));
}
