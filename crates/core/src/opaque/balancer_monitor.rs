//! Which other balancers are alive, from their hellos and from what other balancers heard.
//!
//! Each hello names the balancers with a duty that its sender has heard of lately, so that all hear of them within a
//! few rounds of gossip. A balancer that has not been heard of for long is checked, by this balancer and through
//! others as in SWIM (Das, Gupta, Motivala, 2002), before its entry is withdrawn from the store.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// Time for which a balancer counts as alive after a sign of life: several rounds of gossip among 520 balancers.
const LIVE_MS: u64 = 6_000;
/// Silence after which a balancer is checked; longer than a restart on a slow VM and than most partitions.
const CHECK_AFTER_MS: u64 = 30_000;
/// The same, for each balancer of the fleet: one without a duty is heard of more rarely in a large one.
const CHECK_AFTER_PER_BALANCER_MS: u64 = 1_000;
/// Interval between two checks of a balancer.
const CHECK_INTERVAL_MS: u64 = 1_400;
/// Checks without a sign of life after which a balancer is gone; one datagram of a check may be lost.
const MAX_CHECKS: u32 = 5;

#[derive(Clone, Copy, Debug)]
struct Peer {
    heard_ms: u64,
    /// Whether it gave a sign of life, and is not only listed.
    is_known: bool,
    /// Checks since the last sign of life.
    checks: u32,
    checked_ms: u64,
}

impl Peer {
    fn new(listed_ms: u64) -> Peer {
        Peer { heard_ms: listed_ms, is_known: false, checks: 0, checked_ms: 0 }
    }
}

/// The other balancers, with the time at which each was last heard of.
#[derive(Clone, Debug, Default)]
pub struct BalancerMonitor {
    peers: BTreeMap<SocketAddrV4, Peer>,
}

impl BalancerMonitor {
    /// Sets the other balancers. New ones count as alive at first.
    pub fn set_balancers(&mut self, balancers: &BTreeSet<SocketAddrV4>, now_ms: u64) {
        self.peers.retain(|it, _| balancers.contains(it));
        for &it in balancers {
            self.peers.entry(it).or_insert(Peer::new(now_ms));
        }
    }

    /// Records a datagram of a balancer, which may not be listed yet.
    pub fn record_datagram(&mut self, balancer: SocketAddrV4, now_ms: u64) {
        self.peers.entry(balancer).or_insert(Peer::new(now_ms));
        self.record(balancer, now_ms);
    }

    /// Records a sign of life from `at_ms` that another balancer tells of.
    pub fn record(&mut self, balancer: SocketAddrV4, at_ms: u64) {
        let Some(peer) = self.peers.get_mut(&balancer) else {
            return;
        };
        if at_ms > peer.heard_ms || !peer.is_known {
            *peer = Peer { heard_ms: at_ms, is_known: true, checks: 0, ..*peer };
        }
    }

    /// Shifts all times by a stall of this process, in which it could not hear of any balancer.
    pub fn shift(&mut self, elapsed_ms: u64, now_ms: u64) {
        for peer in self.peers.values_mut() {
            peer.heard_ms = (peer.heard_ms + elapsed_ms).min(now_ms);
        }
    }

    /// Balancers that have been heard of lately.
    pub fn live(&self, now_ms: u64) -> BTreeSet<SocketAddrV4> {
        self.silent_below(LIVE_MS, now_ms).collect()
    }

    /// Balancers that are not due for a check: in a large fleet most of those that have not been heard of lately are
    /// alive.
    pub fn present(&self, now_ms: u64) -> BTreeSet<SocketAddrV4> {
        self.silent_below(self.check_after_ms(), now_ms).collect()
    }

    /// Time since the last sign of life of a balancer; `None` if there was none lately.
    pub fn age_ms(&self, balancer: SocketAddrV4, now_ms: u64) -> Option<u64> {
        let peer = self.peers.get(&balancer).filter(|it| it.is_known)?;
        let age = now_ms.saturating_sub(peer.heard_ms);
        (age < LIVE_MS).then_some(age)
    }

    /// Balancers to check now, of those for which `is_responsible` holds. A balancer that hears of no other one may be
    /// cut off itself and checks none.
    pub fn checks_due<R>(&mut self, is_responsible: R, now_ms: u64) -> Vec<SocketAddrV4>
    where
        R: Fn(SocketAddrV4) -> bool,
    {
        let after_ms = self.check_after_ms();
        let hears_others = self.peers.keys().any(|&it| self.age_ms(it, now_ms).is_some());
        if !hears_others {
            for peer in self.peers.values_mut() {
                peer.checks = 0;
            }
            return Vec::new();
        }
        let mut due = Vec::new();
        for (&balancer, peer) in &mut self.peers {
            let silent = now_ms.saturating_sub(peer.heard_ms) >= after_ms;
            let pauses = now_ms.saturating_sub(peer.checked_ms) < CHECK_INTERVAL_MS;
            if !silent || pauses || !is_responsible(balancer) {
                continue;
            }
            peer.checks += 1;
            peer.checked_ms = now_ms;
            due.push(balancer);
        }
        due
    }

    /// Balancers that gave no sign of life in any check.
    pub fn gone(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.peers.iter().filter(|(_, it)| it.checks > MAX_CHECKS).map(|(&it, _)| it)
    }

    fn silent_below(&self, limit_ms: u64, now_ms: u64) -> impl Iterator<Item = SocketAddrV4> {
        let peers = self.peers.iter();
        peers
            .filter(move |(_, it)| now_ms.saturating_sub(it.heard_ms) < limit_ms)
            .map(|(&it, _)| it)
    }

    fn check_after_ms(&self) -> u64 {
        CHECK_AFTER_MS.max(self.peers.len() as u64 * CHECK_AFTER_PER_BALANCER_MS)
    }
}
