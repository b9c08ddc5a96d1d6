//! Tests that the overlay is connected with a small diameter, and that link selection is stable.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use camphorwinch_core::mesh::{self, BALANCERS_PER_AGENT, OUTGOING_LINKS, Peer};
use quickcheck::{TestResult, quickcheck};

fn names(count: usize, salt: u16) -> Vec<String> {
    (0..count).map(|it| format!("bal-{salt}-{it}")).collect()
}

fn peers(names: &[String]) -> Vec<Peer<'_>> {
    names
        .iter()
        .enumerate()
        .map(|(i, name)| Peer { name, zone: ["z1", "z2", "z3"][i % 3] })
        .collect()
}

fn graph<'a>(peers: &[Peer<'a>]) -> BTreeMap<&'a str, BTreeSet<&'a str>> {
    let mut links: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for peer in peers {
        links.entry(peer.name).or_default();
        for other in mesh::neighbours(peer.name, peers) {
            links.entry(peer.name).or_default().insert(other);
            links.entry(other).or_default().insert(peer.name);
        }
    }
    links
}

/// Maximum distance from the first member to any other; `None` if one is unreachable.
fn depth(links: &BTreeMap<&str, BTreeSet<&str>>) -> Option<usize> {
    let first = links.keys().next()?;
    let mut seen = BTreeMap::from([(*first, 0)]);
    let mut queue = VecDeque::from([*first]);
    while let Some(name) = queue.pop_front() {
        for other in &links[name] {
            if !seen.contains_key(other) {
                seen.insert(other, seen[name] + 1);
                queue.push_back(other);
            }
        }
    }
    (seen.len() == links.len()).then(|| seen.into_values().max().unwrap_or(0))
}

quickcheck! {
    fn the_overlay_is_connected(count: u8, salt: u16) -> TestResult {
        let count = usize::from(count);
        if count < 2 {
            return TestResult::discard();
        }
        let names = names(count, salt);
        let peers = peers(&names);
        let links = graph(&peers);
        let within_limit = peers.iter().all(|it| mesh::neighbours(it.name, &peers).len() <= OUTGOING_LINKS);
        TestResult::from_bool(depth(&links).is_some() && within_limit)
    }

    fn losing_a_balancer_does_not_change_other_homes(count: u8, salt: u16) -> TestResult {
        let count = usize::from(count);
        if count < 8 {
            return TestResult::discard();
        }
        let names = names(count, salt);
        let all = peers(&names);
        for me in ["agent-1", "agent-2"] {
            let before = mesh::balancers_for_agent(me, "z2", &all);
            assert_eq!(before.len(), BALANCERS_PER_AGENT);
            let zone = |name: &str| all.iter().find(|it| it.name == name).map(|it| it.zone);
            assert_eq!(zone(before[0]), Some("z2"));
            assert_ne!(zone(before[1]), Some("z2"));
            let rest: Vec<Peer<'_>> = all.iter().copied().filter(|it| it.name != before[1]).collect();
            assert_eq!(mesh::balancers_for_agent(me, "z2", &rest)[0], before[0]);
        }
        TestResult::passed()
    }
}

#[test]
fn overlay_of_520_balancers_has_a_small_diameter() {
    let names = names(520, 0);
    let links = graph(&peers(&names));
    let most = links.values().map(BTreeSet::len).max().unwrap();
    assert!(most <= 4 * OUTGOING_LINKS, "{most} links at one balancer");
    assert!(depth(&links).is_some_and(|it| it <= 6), "{:?} links deep", depth(&links));
}

#[test]
fn homes_and_neighbours_with_one_or_no_balancer() {
    let names = names(1, 0);
    let one = peers(&names);
    assert_eq!(mesh::balancers_for_agent("a", "elsewhere", &one), ["bal-0-0"]);
    assert!(mesh::balancers_for_agent("a", "z1", &[]).is_empty());
    assert!(mesh::neighbours("bal-0-0", &one).is_empty());
}
