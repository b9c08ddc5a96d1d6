//! Zones out of service: an operator empties a zone amid changes, restarts and news that come late or twice.

use std::collections::BTreeSet;

use camphorwinch_core::opaque::{
    Kind,
    balancer::Balancer,
    effect::{Answer, Ask, Decision, Drop, Effect, Why},
    fleet::{Report, ZoneId},
    revision::Revision,
    zone::{ZoneNews, ZonesOut},
};
use quickcheck::quickcheck;

use crate::support::{POOL, address, data, decisions, head, key, relays, report, resets, routes};

const NAMES: [&str; 3] = ["north", "south", "east"];

/// The zone of an agent: 1 to 4 are in the first zone, 5 to 8 in the second, and so on.
fn zone_of(host: u8) -> &'static str {
    NAMES[usize::from((host - 1) / 4)]
}

fn out(revision: u64, names: &[&str]) -> ZonesOut {
    ZonesOut::new(Revision::new(0, revision), names.iter().map(|&it| it.to_owned()))
}

fn hear(balancer: &mut Balancer, now_ms: u64) {
    for host in 1..=12 {
        let zone = ZoneId::of(zone_of(host));
        let report = Report { zone, ..report(1 + now_ms, 0) };
        balancer.report(address(host), report, now_ms, &mut Vec::new());
    }
}

/// A balancer of the first zone that heard of four agents in each of three zones.
fn balancer() -> Balancer {
    let mut it = Balancer::new(address(200), ZoneId::of(NAMES[0])).with_unknown_zones();
    it.put_routes(routes(1));
    it.list(&[], 0);
    hear(&mut it, 0);
    it
}

/// Zones of the candidates of some new flows.
fn zones_of_new_flows(balancer: &mut Balancer, now_ms: u64) -> BTreeSet<&'static str> {
    let mut zones = BTreeSet::new();
    for port in 0..50 {
        let mut effects = Vec::new();
        balancer.packet(&head(port, Kind::Open), b"", now_ms, &mut effects);
        for (_, ask) in relays(&effects) {
            let Ask::Open(walk) = ask else { panic!("{ask:?}") };
            zones.extend(walk.seats().iter().map(|it| zone_of(it.agent.ip().octets()[3])));
        }
    }
    zones
}

#[test]
fn new_flows_leave_a_zone_that_is_out_and_return_with_it() {
    let mut it = balancer();
    assert_eq!(it.put_zones(out(5, &["north"]), 0), ZoneNews::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 10), BTreeSet::from(["south", "east"]));
    assert_eq!(it.put_zones(out(6, &["north", "east"]), 0), ZoneNews::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 20), BTreeSet::from(["south"]));
    assert_eq!(it.put_zones(out(7, &[]), 0), ZoneNews::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 30), BTreeSet::from(NAMES));
}

/// All processes are killed while a zone is out: the first packet after the start comes before any news.
#[test]
fn no_flow_is_placed_before_the_zones_are_known() {
    let mut it = balancer();
    let mut effects = Vec::new();
    it.packet(&head(1, Kind::Open), b"", 10, &mut effects);
    assert_eq!(decisions(&effects), [Decision::Dropped(Drop::NoConfig)]);
    assert_eq!(it.put_zones(out(5, &["north"]), 0), ZoneNews::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 20), BTreeSet::from(["south", "east"]));
}

#[test]
fn flows_that_are_open_stay_where_they_are() {
    let mut it = balancer();
    it.put_zones(out(5, &[]), 0);
    let mut effects = Vec::new();
    it.packet(&head(1, Kind::Open), b"", 10, &mut effects);
    let (agent, _) = relays(&effects)[0];
    it.answer(agent, key(1), Answer::Here, None, 11, &mut Vec::new());
    it.put_zones(out(6, &[zone_of(agent.ip().octets()[3])]), 0);
    effects.clear();
    it.packet(&data(1, 1, 1), b"", 20, &mut effects);
    assert_eq!(relays(&effects), [(agent, Ask::Deliver)]);
    // A copy of the packet that opened it does not go there again: its upstream could take it for a new flow.
    effects.clear();
    let copy = camphorwinch_core::opaque::Head { ack: 1, ..head(1, Kind::Open) };
    it.packet(&copy, b"", 30, &mut effects);
    assert!(relays(&effects).iter().all(|it| it.0 != agent), "{effects:?}");
}

/// With every zone out nobody may take a flow, and waiting would not change that: callers are told at once.
#[test]
fn with_all_zones_out_callers_are_refused_at_once() {
    let mut it = balancer();
    it.put_zones(out(5, &NAMES), 0);
    hear(&mut it, 1_000);
    let mut effects = Vec::new();
    it.packet(&head(1, Kind::Open), b"", 1_100, &mut effects);
    assert_eq!(resets(&effects), 1);
    assert_eq!(decisions(&effects), [Decision::Reset(Why::ZonesOut)]);
}

#[test]
fn a_name_that_no_zone_has_changes_nothing() {
    let mut it = balancer();
    it.put_zones(out(5, &["nowhere", "north"]), 0);
    assert_eq!(zones_of_new_flows(&mut it, 10), BTreeSet::from(["south", "east"]));
}

#[test]
fn late_news_do_not_bring_a_former_set_back() {
    let mut it = balancer();
    it.put_zones(out(7, &["north"]), 0);
    for late in [out(6, &[]), out(5, &["south"]), out(7, &["east"])] {
        assert_eq!(it.put_zones(late, 0), ZoneNews::Old);
    }
    assert_eq!(it.put_zones(out(8, &["north"]), 0), ZoneNews::Same);
    assert_eq!(it.put_zones(out(7, &[]), 0), ZoneNews::Old);
    assert_eq!(zones_of_new_flows(&mut it, 10), BTreeSet::from(["south", "east"]));
}

#[test]
fn a_zone_that_goes_and_comes_back_between_two_looks_is_as_the_last_change_says() {
    let first = out(5, &["south"]);
    let changes = [("north", true), ("north", false), ("south", false), ("north", true)];
    let changes = changes.map(|(name, out)| (name.to_owned(), out));
    let after = first.with_changes(Revision::new(0, 9), changes);
    assert_eq!(after, out(9, &["north"]));
    let mut it = balancer();
    it.put_zones(first, 0);
    assert_eq!(it.put_zones(after, 0), ZoneNews::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 10), BTreeSet::from(["south", "east"]));
}

fn out_in(era: u64, number: u64, names: &[&str]) -> ZonesOut {
    ZonesOut::new(Revision::new(era, number), names.iter().map(|&it| it.to_owned()))
}

// A zone that was taken out of service went on getting flows for seconds: the store had come back from an older copy, and the
// entry stood at a revision below the one that was known.
#[test]
fn a_later_era_goes_before_a_higher_number() {
    let mut it = balancer();
    it.put_zones(out_in(1, 25, &[]), 0);
    assert_eq!(it.put_zones(out_in(2, 23, &["north"]), 10), ZoneNews::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 20), BTreeSet::from(["south", "east"]));
    assert_eq!(it.put_zones(out_in(1, 26, &[]), 30), ZoneNews::Old);
    assert_eq!(it.put_zones(out_in(2, 24, &[]), 40), ZoneNews::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 50), BTreeSet::from(NAMES));
}

// The operator's word was confirmed, and the store that lost it holds nothing of it until it is written again.
#[test]
fn a_zone_whose_entry_the_store_lost_stays_out_until_it_is_written_again() {
    let mut it = balancer();
    it.put_zones(out_in(1, 25, &["north"]), 0);
    assert_eq!(it.put_zones(out_in(2, 21, &["east"]), 1_000), ZoneNews::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 1_010), BTreeSet::from(["south"]));
    assert_eq!(it.fleet().zone_names_out(), ["east", "north"]);
    assert_eq!(it.put_zones(out_in(2, 22, &["east", "north"]), 2_000), ZoneNews::Same);
    // From then on the store's word holds, also that the zone is back.
    assert_eq!(it.put_zones(out_in(2, 23, &["east"]), 3_000), ZoneNews::Changed);
    assert_eq!(zones_of_new_flows(&mut it, 3_010), BTreeSet::from(["north", "south"]));
}

#[test]
fn a_zone_whose_entry_is_not_written_again_is_taken_back() {
    let mut it = balancer();
    it.put_zones(out_in(1, 25, &["north"]), 0);
    it.put_zones(out_in(2, 21, &[]), 1_000);
    assert!(!it.release_zones(10_900));
    hear(&mut it, 10_900);
    assert_eq!(zones_of_new_flows(&mut it, 10_900), BTreeSet::from(["south", "east"]));
    assert!(it.release_zones(11_000));
    assert_eq!(zones_of_new_flows(&mut it, 11_000), BTreeSet::from(NAMES));
    assert!(!it.release_zones(12_000));
}

// Read in the account of the reset of the store: a balancer that started before the operator had written a lost entry again knew nothing
// of it, as the store's list has no such zone, and placed flows there. Proof: it takes a peer's word, for as long as peers hold it.
#[test]
fn a_balancer_that_starts_after_the_store_lost_an_entry_learns_of_it_from_a_peer() {
    let mut peer = balancer();
    peer.put_zones(out_in(1, 25, &["north"]), 0);
    peer.put_zones(out_in(2, 21, &[]), 1_000);
    let lost: Vec<String> = peer.fleet().lost_zones().map(str::to_owned).collect();
    assert_eq!(lost, ["north"]);
    let mut it = balancer();
    it.put_zones(out_in(2, 21, &[]), 2_000);
    assert!(it.learn_lost_zones(lost.clone(), 2_100));
    hear(&mut it, 2_100);
    assert_eq!(zones_of_new_flows(&mut it, 2_100), BTreeSet::from(["south", "east"]));
    assert!(it.release_zones(12_000));
    // Balancers must not go on telling one another.
    assert!(!it.learn_lost_zones(lost, 12_001));
    hear(&mut it, 12_001);
    assert_eq!(zones_of_new_flows(&mut it, 12_001), BTreeSet::from(NAMES));
}

/// What is in force is what the highest revision said, in whatever order and however often the news come.
fn agrees_with_newest(news: &[(u8, u8)]) -> bool {
    // One set for each revision, as the store has it.
    let set = |revision: u8| {
        let names = NAMES.iter().enumerate().filter(|(at, _)| revision & (1 << at) != 0);
        out(u64::from(revision), &names.map(|(_, &it)| it).collect::<Vec<_>>())
    };
    let mut it = balancer();
    let mut newest = None;
    for &(revision, _) in news {
        it.put_zones(set(revision), 0);
        newest = newest.max(Some(revision));
    }
    it.fleet().zones_out().cloned() == newest.map(set)
}

quickcheck! {
    fn the_newest_news_are_in_force(news: Vec<(u8, u8)>) -> bool {
        agrees_with_newest(&news)
    }
}

/// Half of a pool in a zone that goes out: what balancers know of the pool's load no longer counts that half.
#[test]
fn the_load_of_a_zone_that_is_out_does_not_count_for_the_others() {
    let mut it = Balancer::new(address(200), ZoneId::of("north"));
    for (host, load) in [(1, 4_000), (5, 100)] {
        let report =
            Report { zone: ZoneId::of(zone_of(host)), full: load > 900, ..report(1, load) };
        it.report(address(host), report, 0, &mut Vec::<Effect>::new());
    }
    let limit = |it: &Balancer| it.fleet().candidates(POOL, 1, ZoneId::of("north"), None, &[], 0);
    assert_eq!(limit(&it).pool.full_percent, 50);
    it.put_zones(out(5, &["north"]), 0);
    let found = limit(&it);
    assert_eq!((found.pool.full_percent, found.limit), (0, 140));
}
