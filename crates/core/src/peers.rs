//! Selection of the peer agents to which a request is forwarded: a few random ones, the least loaded first.
//!
//! The load of a peer is taken from its replies to earlier requests. It may be outdated, so the peer makes the final
//! decision.

use std::collections::BTreeMap;

use crate::{object::Policy, split_mix};

/// Backoff after a refusal, unless the peer returned a longer retry delay.
const MIN_BACKOFF_MS: u64 = 50;
const MAX_BACKOFF_MS: u64 = 1_000;
/// Age after which a known load is ignored.
const LOAD_TTL_MS: u64 = 2_000;
/// Number of peers selected for one request.
const MAX_SELECTED: usize = 3;

/// A peer that may accept a request.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Name of the agent.
    pub name: &'a str,
    /// Whether it is in the local zone.
    pub same_zone: bool,
    /// Weight within the service.
    pub weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    load: f64,
    at: u64,
    closed_until: u64,
}

/// Last known load of peers.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    by_name: BTreeMap<String, PeerLoad>,
}

impl PeerLoads {
    /// Creates an empty set.
    pub fn new() -> PeerLoads {
        PeerLoads::default()
    }

    /// Records that a peer accepted a request; `load` is the share of its slots in use.
    pub fn record_accepted(&mut self, name: &str, load: f64, now: u64) {
        self.by_name.insert(name.to_owned(), PeerLoad { load, at: now, closed_until: 0 });
    }

    /// Records that a peer refused a request or was unreachable.
    pub fn record_refused(&mut self, name: &str, retry_ms: u64, now: u64) {
        let closed_until = now + retry_ms.clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        self.by_name.insert(name.to_owned(), PeerLoad { load: 1.0, at: now, closed_until });
    }

    /// Removes the loads of peers for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.by_name.retain(|name, _| keep(name));
    }

    /// Names of the peers to forward a request to, best first.
    pub fn select<'a>(
        &self,
        peers: &[Peer<'a>],
        policy: Policy,
        seed: u64,
        now: u64,
    ) -> Vec<&'a str> {
        let mut open: Vec<Peer<'a>> = peers
            .iter()
            .copied()
            .filter(|it| it.weight > 0.0 && self.is_open(it.name, now))
            .collect();
        let mut selected = Vec::with_capacity(MAX_SELECTED);
        let mut state = seed;
        while selected.len() < MAX_SELECTED && !open.is_empty() {
            let at = pick_weighted(&open, &mut state);
            selected.push(open.swap_remove(at));
        }
        let key = |it: &Peer<'_>| {
            let far = policy == Policy::Steady && !it.same_zone;
            (far, self.load(it.name, now))
        };
        selected.sort_by(|a, b| {
            let (a, b) = (key(a), key(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        selected.into_iter().map(|it| it.name).collect()
    }

    fn is_open(&self, name: &str, now: u64) -> bool {
        self.by_name.get(name).is_none_or(|it| now >= it.closed_until)
    }

    fn load(&self, name: &str, now: u64) -> f64 {
        match self.by_name.get(name) {
            Some(it) if now < it.at + LOAD_TTL_MS => it.load,
            _ => 0.5,
        }
    }
}

fn pick_weighted(peers: &[Peer<'_>], state: &mut u64) -> usize {
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
