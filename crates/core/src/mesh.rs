//! Topology of links: the overlay of the balancers, and the balancers that an agent connects to.
//!
//! The overlay is a ring, which keeps it connected, with additional links that keep its diameter small. Links are
//! selected by hashing names, so the selection is the same after a restart and changes little with membership.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Number of links that a balancer opens; it accepts as many on average.
pub const OUTGOING_LINKS: usize = 4;
/// Number of balancers that an agent connects to.
pub const BALANCERS_PER_AGENT: usize = 2;

/// A balancer that links may be opened to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer<'a> {
    /// Name of the balancer.
    pub name: &'a str,
    /// Availability zone of the balancer.
    pub zone: &'a str,
}

/// Names of the balancers that the balancer `me` opens links to: its successor on the ring, then those with the highest
/// rendezvous scores.
pub fn neighbours<'a>(me: &str, peers: &[Peer<'a>]) -> Vec<&'a str> {
    let mut names: Vec<&str> = peers.iter().map(|it| it.name).filter(|it| *it != me).collect();
    names.sort_unstable_by_key(|it| (score("", it), *it));
    names.dedup();
    let own = (score("", me), me);
    let successor = names.iter().position(|it| (score("", it), *it) > own).unwrap_or(0);
    let mut chosen = Vec::new();
    if names.is_empty() {
        return chosen;
    }
    chosen.push(names.remove(successor));
    names.sort_unstable_by_key(|it| std::cmp::Reverse((score(me, it), *it)));
    chosen.extend(names.into_iter().take(OUTGOING_LINKS - 1));
    chosen
}

/// Names of the balancers that the agent `me` connects to: one in its zone if possible, the others in other zones, so
/// that one remains if a zone fails.
pub fn balancers_for_agent<'a>(me: &str, zone: &str, peers: &[Peer<'a>]) -> Vec<&'a str> {
    let mut ranked: Vec<Peer<'a>> = peers.to_vec();
    ranked.sort_unstable_by_key(|it| std::cmp::Reverse((score(me, it.name), it.name)));
    ranked.dedup();
    let same_zone = ranked.iter().find(|it| it.zone == zone).map(|it| it.name);
    let mut chosen: Vec<&str> = same_zone.into_iter().collect();
    let other_zones = ranked.iter().filter(|it| it.zone != zone);
    for peer in other_zones.chain(ranked.iter().filter(|it| it.zone == zone)) {
        if chosen.len() == BALANCERS_PER_AGENT {
            break;
        }
        if !chosen.contains(&peer.name) {
            chosen.push(peer.name);
        }
    }
    chosen
}

/// Rank of `name` among the balancers responsible for `subject`; 0 is the first.
pub fn rank(subject: &str, name: &str, peers: &[Peer<'_>]) -> usize {
    let own = (score(subject, name), name);
    peers.iter().filter(|it| (score(subject, it.name), it.name) > own).count()
}

fn score(subject: &str, name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(subject.as_bytes());
    hasher.write(&[0]);
    hasher.write(name.as_bytes());
    hasher.finish()
}
