//! Open flows of routes that a configuration moved to another pool.

use std::net::SocketAddrV4;

use camphorwinch_core::opaque::{
    PoolId,
    balancer::Balancer,
    effect::{Answer, Decision, Effect, FlowStatus, RelayAction},
    fleet::{MemberEntry, Report},
    former_pools::FormerPool,
    revision::Revision,
    route::{RouteTable, Routes},
};

use crate::support::{
    OTHER_POOL, POOL, ZONE, address, collect, data, decisions, key, relays, report, resets, routes,
    routes_to, service,
};

/// Time after which a pool that left a route is not searched any more.
const EXPIRY_MS: u64 = 600_000;
/// Agent of the pool that the route included first.
const HOLDER: u8 = 1;
/// Agent of the pool that the route includes now.
const PRESENT: u8 = 2;

fn member(host: u8, pool: PoolId) -> MemberEntry {
    MemberEntry { address: address(host), pool: Some(pool), zone: ZONE }
}

fn former(pool: PoolId, age_ms: u64) -> FormerPool {
    FormerPool { address: service(), pool, age_ms }
}

/// Balancer whose configuration routes the service to the other pool, with an agent of each pool.
fn balancer(now_ms: u64) -> Balancer {
    let mut it = Balancer::new(address(200), ZONE).with_startup_buffer(now_ms);
    it.update_routes(routes_to(2, OTHER_POOL));
    it.sync_members(&[member(HOLDER, POOL), member(PRESENT, OTHER_POOL)], now_ms);
    it
}

fn report_agents(it: &mut Balancer, now_ms: u64) {
    for (host, pool) in [(HOLDER, POOL), (PRESENT, OTHER_POOL)] {
        let report = Report { pool, ..report(now_ms, 0) };
        it.handle_report(address(host), report, now_ms, &mut Vec::new());
    }
}

fn queried(effects: &[Effect]) -> Vec<SocketAddrV4> {
    let query = |it: &Effect| match it {
        Effect::Query { to, .. } => Some(*to),
        _ => None,
    };
    effects.iter().filter_map(query).collect()
}

/// Sends a packet of an unknown flow, which the present pool's agent does not hold; returns the later effects.
fn search(it: &mut Balancer, now_ms: u64) -> Vec<Effect> {
    collect(|out| {
        it.handle_packet(&data(1, 1, 1), b"packet", now_ms, out);
        it.handle_answer(address(PRESENT), key(1), Answer::Absent, None, now_ms + 1, out);
        it.tick(now_ms + 2, out);
    })
}

// Guards against resets of open flows whose route a configuration moved: only the route's present pools were searched.
#[test]
fn a_flow_is_searched_in_the_pool_that_its_route_included_before() {
    let mut it = Balancer::new(address(200), ZONE);
    it.update_routes(routes(1));
    it.sync_members(&[member(HOLDER, POOL), member(PRESENT, OTHER_POOL)], 0);
    report_agents(&mut it, 1);
    it.tick(900, &mut Vec::new());
    it.update_routes(routes_to(2, OTHER_POOL));
    report_agents(&mut it, 1_000);
    let out = search(&mut it, 1_010);
    assert_eq!(resets(&out), 0, "{out:?}");
    assert_eq!(queried(&out), [address(HOLDER)]);
    let out = collect(|out| {
        it.handle_query_result(address(HOLDER), key(1), FlowStatus::Here, 1_020, out)
    });
    assert_eq!(relays(&out), [(address(HOLDER), RelayAction::Deliver)]);
}

// Callers of dead flows are told as before, and the log says that the former pool was searched.
#[test]
fn a_flow_that_no_pool_holds_is_reset_at_once() {
    let mut it = balancer(0);
    it.merge_former_pools(&[former(POOL, 0)], true, 0);
    report_agents(&mut it, 1_000);
    assert_eq!(resets(&search(&mut it, 1_010)), 0);
    let out = collect(|out| {
        it.handle_query_result(address(HOLDER), key(1), FlowStatus::Absent, 1_020, out)
    });
    assert_eq!(resets(&out), 1);
    let searched = Decision::NotFound { absent: 2, asked: 2, former: 1, silent: None };
    assert!(decisions(&out).contains(&searched), "{out:?}");
}

// Guards against a balancer that has just started and takes the present configuration for all that flows were opened under.
#[test]
fn a_starting_balancer_waits_for_a_copy_of_the_former_pools() {
    let start = || {
        let mut it = balancer(0);
        it.await_peers(0);
        report_agents(&mut it, 100);
        it.handle_peers_asked();
        it
    };
    let mut it = start();
    assert!(it.should_request_former_pools(110), "an agent has a copy");
    assert!(!it.should_request_former_pools(120), "the request is pending");
    assert_eq!(resets(&search(&mut it, 150)), 0);
    it.merge_former_pools(&[former(POOL, 5_000)], true, 160);
    let out = search(&mut it, 300);
    assert_eq!((resets(&out), queried(&out)), (0, vec![address(HOLDER)]));
    // Without a copy there is nothing to wait for, and a copy that does not arrive delays resets for a bounded time.
    assert_eq!(resets(&search(&mut start(), 150)), 1);
    let mut it = start();
    it.should_request_former_pools(110);
    assert_eq!(resets(&search(&mut it, 310)), 1);
}

#[test]
fn former_pools_are_not_requested_from_agents_if_a_peer_knows_them() {
    let mut it = balancer(0);
    it.await_peers(0);
    assert!(!it.should_request_former_pools(10), "peers have not answered yet");
    it.merge_former_pools(&[], true, 20);
    it.handle_peers_asked();
    assert!(!it.should_request_former_pools(30));
    let mut first = balancer(0).with_first_start(true);
    assert!(!first.should_request_former_pools(30), "no route had other pools before");
}

// Guards against the loss of a pool that only an older configuration names, as a copy or a peer may have it.
#[test]
fn an_older_configuration_tells_former_pools() {
    let mut table = RouteTable::default();
    table.update(routes_to(2, OTHER_POOL), 50);
    assert!(!table.update(routes(1), 100));
    assert!(table.may_hold(service(), POOL, 100) && table.may_hold(service(), OTHER_POOL, 100));
    assert_eq!(table.former_pools().list(150).len(), 2, "both addresses");
    assert!(!table.may_hold(service(), PoolId(9), 100));
}

#[test]
fn former_pools_expire_and_end_with_their_route() {
    let mut table = RouteTable::default();
    table.update(routes(1), 0);
    table.update(routes_to(2, OTHER_POOL), 1_000);
    assert!(table.may_hold(service(), POOL, EXPIRY_MS));
    assert_eq!(table.former_pools().recent(2_000).len(), 2);
    assert!(table.former_pools().recent(20_000).is_empty());
    assert!(!table.may_hold(service(), POOL, 1_000 + EXPIRY_MS));
    // A route that returns to the pool has no other holder; one that is removed has none.
    table.update(routes(3), 2_000);
    let pools = table.former_pools().list(2_000);
    assert!(pools.iter().all(|it| it.pool == OTHER_POOL), "{pools:?}");
    let revision = Revision::new(0, 4);
    assert!(table.update(Routes { revision, version: 4, ..Routes::default() }, 3_000));
    assert!(table.former_pools().list(3_000).is_empty());
}

#[test]
fn the_latest_former_pools_of_a_route_are_kept() {
    let mut table = RouteTable::default();
    table.update(routes(1), 0);
    let pools: Vec<_> = (10..40).map(|it| former(PoolId(it), it * 100)).collect();
    table.merge_former_pools(&pools, 10_000);
    let mut kept: Vec<_> = table.former_pools().list(10_000).iter().map(|it| it.pool.0).collect();
    kept.sort_unstable();
    assert_eq!(kept, (10..18).collect::<Vec<_>>());
    assert_eq!(table.merge_former_pools(&pools[..8], 10_000), 0, "they are known");
    assert_eq!(table.merge_former_pools(&[former(PoolId(9), EXPIRY_MS)], 10_000), 0, "expired");
}

// Guards against gossip that never ends: each balancer that passed a former pool on made it younger by the message's delay.
#[test]
fn a_former_pool_that_is_passed_around_grows_old() {
    const DELAY_MS: u64 = 200;
    let mut tables = [RouteTable::default(), RouteTable::default()];
    for table in &mut tables {
        table.update(routes_to(2, OTHER_POOL), 0);
    }
    tables[0].merge_former_pools(&[former(POOL, 0)], 0);
    for now in (DELAY_MS..20_000).step_by(DELAY_MS as usize) {
        let sent = [0, 1].map(|it| tables[it].former_pools().recent(now - DELAY_MS));
        tables[0].merge_former_pools(&sent[1], now);
        tables[1].merge_former_pools(&sent[0], now);
    }
    for table in &tables {
        assert!(table.former_pools().recent(12_000).is_empty(), "{:?}", table.former_pools());
    }
}
