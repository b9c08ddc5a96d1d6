//! Routes restricted to some regions.

use camphorwinch_core::opaque::{
    PacketKind,
    balancer::Balancer,
    effect::{Answer, Decision, Effect, FlowStatus, RelayAction, ResetReason},
    fleet::{Report, ZoneId},
    revision::Revision,
    route::{Route, Routes, WeightedPool},
    zone::{RegionId, Regions},
};

use crate::support::{POOL, address, data, decisions, head, key, relays, report, resets, service};

/// Two regions of one zone each; the balancer and agents 1 to 4 are in the first one, agents 5 to 8 in the second.
const LOCAL: &str = "home";
const REMOTE: &str = "abroad";

fn routes(revision: u64, allowed: &[&str]) -> Routes {
    let mut routes =
        Routes { revision: Revision::new(0, revision), version: revision, ..Routes::default() };
    let route = Route::new(vec![WeightedPool { pool: POOL, weight: 1 }]);
    let allowed = allowed.iter().map(|it| RegionId::of(it)).collect();
    routes.by_address.insert(service(), route.with_regions(allowed));
    routes
}

fn balancer(allowed: &[&str]) -> Balancer {
    let regions: Regions =
        [LOCAL, REMOTE].iter().map(|it| (ZoneId::of(it), RegionId::of(it))).collect();
    let mut it = Balancer::new(address(200), ZoneId::of(LOCAL)).with_regions(regions);
    it.update_routes(routes(1, allowed));
    it.sync_members(&[], 0);
    for host in 1..=8 {
        let zone = ZoneId::of(if host <= 4 { LOCAL } else { REMOTE });
        it.handle_report(address(host), Report { zone, ..report(1, 0) }, 0, &mut Vec::new());
    }
    it
}

fn send_packet(
    it: &mut Balancer,
    head: &camphorwinch_core::opaque::PacketHeader,
    now_ms: u64,
) -> Vec<Effect> {
    let mut out = Vec::new();
    it.handle_packet(head, b"body", now_ms, &mut out);
    out
}

fn hosts_of_new_flows(it: &mut Balancer) -> Vec<u8> {
    let mut hosts = Vec::new();
    for port in 0..30 {
        for (_, action) in relays(&send_packet(it, &head(port, PacketKind::Open), 10)) {
            let RelayAction::Open(candidates) = action else { panic!("{action:?}") };
            hosts.extend(candidates.candidates().iter().map(|it| it.agent.ip().octets()[3]));
        }
    }
    hosts.sort_unstable();
    hosts.dedup();
    hosts
}

#[test]
fn new_flows_go_to_allowed_regions_only() {
    assert_eq!(hosts_of_new_flows(&mut balancer(&[])), [1, 2, 3, 4, 5, 6, 7, 8]);
    assert_eq!(hosts_of_new_flows(&mut balancer(&[LOCAL])), [1, 2, 3, 4]);
    assert_eq!(hosts_of_new_flows(&mut balancer(&[REMOTE])), [5, 6, 7, 8]);
    assert_eq!(hosts_of_new_flows(&mut balancer(&["elsewhere", LOCAL])), [1, 2, 3, 4]);
}

#[test]
fn flows_of_a_route_without_a_zone_in_its_regions_are_reset_at_once() {
    let mut it = balancer(&["elsewhere"]);
    let effects = send_packet(&mut it, &head(1, PacketKind::Open), 10);
    assert_eq!(resets(&effects), 1);
    assert_eq!(decisions(&effects), [Decision::Reset(ResetReason::NoRegion)]);
}

/// A flow may be older than the route's present regions, but its data must not leave them.
#[test]
fn a_search_queries_other_regions_without_the_packet() {
    let mut it = balancer(&[LOCAL]);
    let mut effects = send_packet(&mut it, &data(1, 1, 1), 10);
    for host in 1..=4 {
        it.handle_answer(address(host), key(1), Answer::Absent, None, 20, &mut effects);
    }
    it.tick(1_000, &mut effects);
    let located_hosts = relays(&effects).into_iter().map(|it| it.0.ip().octets()[3]);
    assert!(located_hosts.into_iter().all(|it| it <= 4), "{effects:?}");
    assert_eq!(resets(&effects), 0);
    let is_remote_query =
        |it: &Effect| matches!(it, Effect::Query { to, .. } if to.ip().octets()[3] > 4);
    assert_eq!(effects.iter().filter(|&it| is_remote_query(it)).count(), 4);
    effects.clear();
    it.handle_query_result(address(6), key(1), FlowStatus::Here, 30, &mut effects);
    assert!(relays(&effects).contains(&(address(6), RelayAction::Deliver)), "{effects:?}");
}

#[test]
fn an_agent_of_another_region_with_status_unknown_does_not_get_the_packet() {
    let mut it = balancer(&[LOCAL]);
    let mut effects = send_packet(&mut it, &data(1, 1, 1), 10);
    for host in 1..=4 {
        it.handle_answer(address(host), key(1), Answer::Absent, None, 20, &mut effects);
    }
    effects.clear();
    for host in 5..=8 {
        it.handle_query_result(address(host), key(1), FlowStatus::Unknown, 30, &mut effects);
    }
    it.tick(1_000, &mut effects);
    assert!(relays(&effects).is_empty(), "{effects:?}");
    assert!(!effects.iter().any(|it| matches!(it, Effect::FanOut { .. })), "{effects:?}");
    assert_eq!(resets(&effects), 0);
}
