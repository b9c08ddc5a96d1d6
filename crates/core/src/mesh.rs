//! Which processes link to which: the balancers' overlay and the balancers that an agent announces itself to.
//!
//! The overlay is a ring, which keeps it connected, with some links across it, which keep it shallow. Each choice hangs
//! on names alone, so that it is the same after a restart and changes little when members come and go.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Links that a balancer opens; as many again are opened to it on average.
pub const DIALS: usize = 4;
/// Balancers that an agent announces itself to.
pub const HOMES: usize = 2;

/// A balancer that may be linked to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
}

/// Names of the balancers that the balancer `me` opens links to: its successor on the ring, then those that score
/// highest for it.
pub fn neighbours<'a>(me: &str, peers: &[Peer<'a>]) -> Vec<&'a str> {
    let mut names: Vec<&str> = peers.iter().map(|it| it.name).filter(|it| *it != me).collect();
    names.sort_unstable_by_key(|it| (score("", it), *it));
    names.dedup();
    let own = (score("", me), me);
    let after = names.iter().position(|it| (score("", it), *it) > own).unwrap_or(0);
    let mut chosen = Vec::new();
    if names.is_empty() {
        return chosen;
    }
    chosen.push(names.remove(after));
    names.sort_unstable_by_key(|it| std::cmp::Reverse((score(me, it), *it)));
    chosen.extend(names.into_iter().take(DIALS - 1));
    chosen
}

/// Names of the balancers that the agent `me` announces itself to: one in its zone if there is one, the others outside
/// it, so that the loss of a zone leaves one.
pub fn homes<'a>(me: &str, zone: &str, peers: &[Peer<'a>]) -> Vec<&'a str> {
    let mut ranked: Vec<Peer<'a>> = peers.to_vec();
    ranked.sort_unstable_by_key(|it| std::cmp::Reverse((score(me, it.name), it.name)));
    ranked.dedup();
    let near = ranked.iter().find(|it| it.zone == zone).map(|it| it.name);
    let mut chosen: Vec<&str> = near.into_iter().collect();
    let far = ranked.iter().filter(|it| it.zone != zone);
    for peer in far.chain(ranked.iter().filter(|it| it.zone == zone)) {
        if chosen.len() == HOMES {
            break;
        }
        if !chosen.contains(&peer.name) {
            chosen.push(peer.name);
        }
    }
    chosen
}

/// Place of `name` among those that may act on `subject`: 0 acts first.
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
