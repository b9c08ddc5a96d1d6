//! Zones out of service, with updates that are late, repeated or interrupted by store resets.

use std::collections::BTreeSet;

use camphorwinch_core::opaque::{
    PacketKind,
    balancer::Balancer,
    effect::{Answer, Decision, DropReason, Effect, RelayAction, ResetReason},
    fleet::{Report, ZoneId},
    revision::Revision,
    zone::{ZoneUpdateResult, ZonesOut},
};
use quickcheck::quickcheck;

use crate::support::{POOL, address, data, decisions, head, key, relays, report, resets, routes};

const NAMES: [&str; 3] = ["north", "south", "east"];

/// Zone of an agent: 1 to 4 are in the first zone, 5 to 8 in the second, and so on.
fn zone_of(host: u8) -> &'static str {
    NAMES[usize::from((host - 1) / 4)]
}

fn zones_out(revision: u64, names: &[&str]) -> ZonesOut {
    ZonesOut::new(Revision::new(0, revision), names.iter().map(|&it| it.to_owned()))
}

fn report_agents(balancer: &mut Balancer, now_ms: u64) {
    for host in 1..=12 {
        let zone = ZoneId::of(zone_of(host));
        let report = Report { zone, ..report(1 + now_ms, 0) };
        balancer.handle_report(address(host), report, now_ms, &mut Vec::new());
    }
}

/// A balancer of the first zone that received reports of four agents in each of three zones.
fn balancer() -> Balancer {
    let mut it = Balancer::new(address(200), ZoneId::of(NAMES[0])).with_unknown_zones();
    it.update_routes(routes(1));
    it.sync_members(&[], 0);
    report_agents(&mut it, 0);
    it
}

/// Zones of the candidates of some new flows.
fn zones_of_new_flows(balancer: &mut Balancer, now_ms: u64) -> BTreeSet<&'static str> {
    let mut zones = BTreeSet::new();
    for port in 0..50 {
        let mut effects = Vec::new();
        balancer.handle_packet(&head(port, PacketKind::Open), b"", now_ms, &mut effects);
        for (_, action) in relays(&effects) {
            let RelayAction::Open(candidates) = action else { panic!("{action:?}") };
            zones.extend(
                candidates.candidates().iter().map(|it| zone_of(it.agent.ip().octets()[3])),
            );
        }
    }
    zones
}

#[test]
fn new_flows_avoid_a_zone_while_it_is_out_of_service() {
    let mut it = balancer();
    assert_eq!(it.update_zones(zones_out(5, &["north"]), 0), ZoneUpdateResult::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 10), BTreeSet::from(["south", "east"]));
    assert_eq!(it.update_zones(zones_out(6, &["north", "east"]), 0), ZoneUpdateResult::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 20), BTreeSet::from(["south"]));
    assert_eq!(it.update_zones(zones_out(7, &[]), 0), ZoneUpdateResult::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 30), BTreeSet::from(NAMES));
}

/// After a restart, packets may arrive before the first update of the zones out of service.
#[test]
fn no_flow_is_placed_before_the_zones_are_known() {
    let mut it = balancer();
    let mut effects = Vec::new();
    it.handle_packet(&head(1, PacketKind::Open), b"", 10, &mut effects);
    assert_eq!(decisions(&effects), [Decision::Dropped(DropReason::NoConfig)]);
    assert_eq!(it.update_zones(zones_out(5, &["north"]), 0), ZoneUpdateResult::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 20), BTreeSet::from(["south", "east"]));
}

#[test]
fn open_flows_stay_in_a_zone_out_of_service() {
    let mut it = balancer();
    it.update_zones(zones_out(5, &[]), 0);
    let mut effects = Vec::new();
    it.handle_packet(&head(1, PacketKind::Open), b"", 10, &mut effects);
    let (agent, _) = relays(&effects)[0];
    it.handle_answer(agent, key(1), Answer::Here, None, 11, &mut Vec::new());
    it.update_zones(zones_out(6, &[zone_of(agent.ip().octets()[3])]), 0);
    effects.clear();
    it.handle_packet(&data(1, 1, 1), b"", 20, &mut effects);
    assert_eq!(relays(&effects), [(agent, RelayAction::Deliver)]);
    // A retransmitted opening packet goes elsewhere, as the upstream could take it for a new flow.
    effects.clear();
    let copy = camphorwinch_core::opaque::PacketHeader { ack: 1, ..head(1, PacketKind::Open) };
    it.handle_packet(&copy, b"", 30, &mut effects);
    assert!(relays(&effects).iter().all(|it| it.0 != agent), "{effects:?}");
}

/// Waiting would not help, so callers get an immediate reset.
#[test]
fn flows_are_reset_at_once_if_all_zones_are_out_of_service() {
    let mut it = balancer();
    it.update_zones(zones_out(5, &NAMES), 0);
    report_agents(&mut it, 1_000);
    let mut effects = Vec::new();
    it.handle_packet(&head(1, PacketKind::Open), b"", 1_100, &mut effects);
    assert_eq!(resets(&effects), 1);
    assert_eq!(decisions(&effects), [Decision::Reset(ResetReason::ZonesOut)]);
}

#[test]
fn unknown_zone_names_are_ignored() {
    let mut it = balancer();
    it.update_zones(zones_out(5, &["nowhere", "north"]), 0);
    assert_eq!(zones_of_new_flows(&mut it, 10), BTreeSet::from(["south", "east"]));
}

#[test]
fn stale_updates_are_ignored() {
    let mut it = balancer();
    it.update_zones(zones_out(7, &["north"]), 0);
    for stale in [zones_out(6, &[]), zones_out(5, &["south"]), zones_out(7, &["east"])] {
        assert_eq!(it.update_zones(stale, 0), ZoneUpdateResult::Stale);
    }
    assert_eq!(it.update_zones(zones_out(8, &["north"]), 0), ZoneUpdateResult::Unchanged);
    assert_eq!(it.update_zones(zones_out(7, &[]), 0), ZoneUpdateResult::Stale);
    assert_eq!(zones_of_new_flows(&mut it, 10), BTreeSet::from(["south", "east"]));
}

#[test]
fn the_last_of_several_changes_to_a_zone_holds() {
    let first = zones_out(5, &["south"]);
    let changes = [("north", true), ("north", false), ("south", false), ("north", true)];
    let changes = changes.map(|(name, out)| (name.to_owned(), out));
    let after = first.with_changes(Revision::new(0, 9), changes);
    assert_eq!(after, zones_out(9, &["north"]));
    let mut it = balancer();
    it.update_zones(first, 0);
    assert_eq!(it.update_zones(after, 0), ZoneUpdateResult::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 10), BTreeSet::from(["south", "east"]));
}

fn zones_out_in(era: u64, number: u64, names: &[&str]) -> ZonesOut {
    ZonesOut::new(Revision::new(era, number), names.iter().map(|&it| it.to_owned()))
}

// After a store reset, the entry of a zone had a lower revision than the set in force, and was ignored.
#[test]
fn a_later_era_supersedes_a_higher_revision_number() {
    let mut it = balancer();
    it.update_zones(zones_out_in(1, 25, &[]), 0);
    assert_eq!(it.update_zones(zones_out_in(2, 23, &["north"]), 10), ZoneUpdateResult::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 20), BTreeSet::from(["south", "east"]));
    assert_eq!(it.update_zones(zones_out_in(1, 26, &[]), 30), ZoneUpdateResult::Stale);
    assert_eq!(it.update_zones(zones_out_in(2, 24, &[]), 40), ZoneUpdateResult::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 50), BTreeSet::from(NAMES));
}

// An entry that was confirmed before a store reset stays in force until the operator had time to write it again.
#[test]
fn a_zone_whose_entry_was_lost_stays_out_until_the_entry_is_written_again() {
    let mut it = balancer();
    it.update_zones(zones_out_in(1, 25, &["north"]), 0);
    assert_eq!(it.update_zones(zones_out_in(2, 21, &["east"]), 1_000), ZoneUpdateResult::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 1_010), BTreeSet::from(["south"]));
    assert_eq!(it.fleet().out_of_service_zone_names(), ["east", "north"]);
    assert_eq!(
        it.update_zones(zones_out_in(2, 22, &["east", "north"]), 2_000),
        ZoneUpdateResult::Unchanged
    );
    // From then on the store decides, also that the zone returns.
    assert_eq!(it.update_zones(zones_out_in(2, 23, &["east"]), 3_000), ZoneUpdateResult::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 3_010), BTreeSet::from(["north", "south"]));
}

#[test]
fn a_zone_whose_lost_entry_is_not_written_again_returns_to_service() {
    let mut it = balancer();
    it.update_zones(zones_out_in(1, 25, &["north"]), 0);
    it.update_zones(zones_out_in(2, 21, &[]), 1_000);
    assert!(!it.expire_lost_zones(10_900));
    report_agents(&mut it, 10_900);
    assert_eq!(zones_of_new_flows(&mut it, 10_900), BTreeSet::from(["south", "east"]));
    assert!(it.expire_lost_zones(11_000));
    assert_eq!(zones_of_new_flows(&mut it, 11_000), BTreeSet::from(NAMES));
    assert!(!it.expire_lost_zones(12_000));
}

// A balancer that starts after a store reset finds no trace of lost entries in the store, and placed flows in their
// zones.
#[test]
fn a_new_balancer_accepts_lost_entries_from_a_peer_for_a_limited_time() {
    let mut peer = balancer();
    peer.update_zones(zones_out_in(1, 25, &["north"]), 0);
    peer.update_zones(zones_out_in(2, 21, &[]), 1_000);
    let lost: Vec<String> = peer.fleet().lost_zones().map(str::to_owned).collect();
    assert_eq!(lost, ["north"]);
    let mut it = balancer();
    it.update_zones(zones_out_in(2, 21, &[]), 2_000);
    assert!(it.merge_lost_zones(lost.clone(), 2_100));
    report_agents(&mut it, 2_100);
    assert_eq!(zones_of_new_flows(&mut it, 2_100), BTreeSet::from(["south", "east"]));
    assert!(it.expire_lost_zones(12_000));
    // Balancers must not refresh lost entries among themselves forever.
    assert!(!it.merge_lost_zones(lost, 12_001));
    report_agents(&mut it, 12_001);
    assert_eq!(zones_of_new_flows(&mut it, 12_001), BTreeSet::from(NAMES));
}

/// The set of the highest revision is in force, whatever the order and number of updates.
fn newest_set_is_in_force(updates: &[(u8, u8)]) -> bool {
    // Each revision has one set, as in the store.
    let set = |revision: u8| {
        let names = NAMES.iter().enumerate().filter(|(at, _)| revision & (1 << at) != 0);
        zones_out(u64::from(revision), &names.map(|(_, &it)| it).collect::<Vec<_>>())
    };
    let mut it = balancer();
    let mut newest = None;
    for &(revision, _) in updates {
        it.update_zones(set(revision), 0);
        newest = newest.max(Some(revision));
    }
    it.fleet().zones_out().cloned() == newest.map(set)
}

quickcheck! {
    fn the_newest_update_is_in_force(updates: Vec<(u8, u8)>) -> bool {
        newest_set_is_in_force(&updates)
    }
}

/// The load limit and the share of full upstreams cover only zones in service.
#[test]
fn the_load_of_a_zone_out_of_service_is_excluded_from_the_pool() {
    let mut it = Balancer::new(address(200), ZoneId::of("north"));
    for (host, load) in [(1, 4_000), (5, 100)] {
        let report =
            Report { zone: ZoneId::of(zone_of(host)), full: load > 900, ..report(1, load) };
        it.handle_report(address(host), report, 0, &mut Vec::<Effect>::new());
    }
    let candidates =
        |it: &Balancer| it.fleet().candidates(POOL, 1, ZoneId::of("north"), None, &[], 0);
    assert_eq!(candidates(&it).pool.full_percent, 50);
    it.update_zones(zones_out(5, &["north"]), 0);
    let found = candidates(&it);
    assert_eq!((found.pool.full_percent, found.limit), (0, 140));
}
