//! Which peer agents a request is offered to: two drawn at random, the less busy first.
//!
//! How busy a peer is comes from its own replies to earlier offers. That lags, so it is a hint: the peer decides.

use std::collections::BTreeMap;

use crate::{object::Policy, split_mix};

/// A peer that refused is not asked again for this long, unless it names a longer time.
const CLOSED_MS: u64 = 50;
const LONGEST_CLOSED_MS: u64 = 1_000;
/// Age at which a hint says nothing any more.
const STALE_MS: u64 = 2_000;
/// Peers drawn for one request.
const DRAWN: usize = 3;

/// A peer that may take a request.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Name of the agent.
    pub name: &'a str,
    /// Whether it is in the own zone.
    pub near: bool,
    /// Weight within the service.
    pub weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    load: f64,
    at: u64,
    closed: u64,
}

/// What peers said of their load.
#[derive(Clone, Debug, Default)]
pub struct Hints {
    by_name: BTreeMap<String, Hint>,
}

impl Hints {
    /// No hints.
    pub fn new() -> Hints {
        Hints::default()
    }

    /// A peer took a request and said how busy it is, as a share of its slots.
    pub fn took(&mut self, name: &str, load: f64, now: u64) {
        self.by_name.insert(name.to_owned(), Hint { load, at: now, closed: 0 });
    }

    /// A peer refused a request, or could not be reached.
    pub fn refused(&mut self, name: &str, retry_ms: u64, now: u64) {
        let closed = now + retry_ms.clamp(CLOSED_MS, LONGEST_CLOSED_MS);
        self.by_name.insert(name.to_owned(), Hint { load: 1.0, at: now, closed });
    }

    /// Forgets peers that are gone.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.by_name.retain(|name, _| keep(name));
    }

    /// Names to offer a request to, in order.
    pub fn draw<'a>(
        &self,
        peers: &[Peer<'a>],
        policy: Policy,
        seed: u64,
        now: u64,
    ) -> Vec<&'a str> {
        let mut open: Vec<Peer<'a>> =
            peers.iter().copied().filter(|it| it.weight > 0.0 && self.open(it.name, now)).collect();
        let mut drawn = Vec::with_capacity(DRAWN);
        let mut state = seed;
        while drawn.len() < DRAWN && !open.is_empty() {
            let at = pick(&open, &mut state);
            drawn.push(open.swap_remove(at));
        }
        let key = |it: &Peer<'_>| {
            let far = policy == Policy::Steady && !it.near;
            (far, self.load(it.name, now))
        };
        drawn.sort_by(|a, b| {
            let (a, b) = (key(a), key(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        drawn.into_iter().map(|it| it.name).collect()
    }

    fn open(&self, name: &str, now: u64) -> bool {
        self.by_name.get(name).is_none_or(|it| now >= it.closed)
    }

    fn load(&self, name: &str, now: u64) -> f64 {
        match self.by_name.get(name) {
            Some(it) if now < it.at + STALE_MS => it.load,
            _ => 0.5,
        }
    }
}

fn pick(peers: &[Peer<'_>], state: &mut u64) -> usize {
    let total: f64 = peers.iter().map(|it| it.weight).sum();
    let unit = (split_mix::next(state) >> 11) as f64 / (1_u64 << 53) as f64;
    let mut left = unit * total;
    for (at, peer) in peers.iter().enumerate() {
        left -= peer.weight;
        if left < 0.0 {
            return at;
        }
    }
    peers.len() - 1
}
