//! Pools that routes no longer include. Their upstreams hold the flows that were opened before.

use std::net::SocketAddrV4;

use rustc_hash::FxHashMap;

use super::{PoolId, route::Routes, told_time::latest_ms};

/// Time for which a pool that left a route is searched for the route's flows.
pub(super) const FORMER_POOL_TTL_MS: u64 = 600_000;
/// Age up to which former pools are included in gossip.
const RECENT_MS: u64 = 10_000;
/// Most former pools of one route.
const MAX_POOLS_PER_ROUTE: usize = 8;

/// A pool that a route no longer includes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormerPool {
    /// Address of the route.
    pub address: SocketAddrV4,
    /// The pool.
    pub pool: PoolId,
    /// Time since it was last known to be part of the route, in milliseconds.
    pub age_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    pool: PoolId,
    left_ms: u64,
}

/// The former pools of all routes.
#[derive(Clone, Debug, Default)]
pub struct FormerPools {
    by_address: FxHashMap<SocketAddrV4, Vec<Entry>>,
}

impl FormerPools {
    /// Records the pools of an earlier configuration that the present one no longer includes.
    pub(super) fn record(&mut self, earlier: &Routes, present: &Routes, now_ms: u64) {
        for (&address, route) in &earlier.by_address {
            let Some(route_now) = present.by_address.get(&address) else {
                continue;
            };
            for it in route.weighted_pools().iter().filter(|it| !route_now.includes(it.pool)) {
                self.insert(address, Entry { pool: it.pool, left_ms: now_ms });
            }
        }
        self.prune(present, now_ms);
    }

    /// Adds former pools that another process knows; returns the number of those that were unknown.
    pub(super) fn merge(&mut self, others: &[FormerPool], now_ms: u64) -> usize {
        let fresh = others.iter().filter(|it| it.age_ms < FORMER_POOL_TTL_MS);
        let entry = |it: &FormerPool| {
            (it.address, Entry { pool: it.pool, left_ms: now_ms.saturating_sub(it.age_ms) })
        };
        fresh.map(entry).filter(|&(address, it)| self.insert(address, it)).count()
    }

    /// Whether the pool may hold flows that were opened when the route of `address` included it.
    pub fn contains(&self, address: SocketAddrV4, pool: PoolId, now_ms: u64) -> bool {
        let entries = self.by_address.get(&address);
        entries.into_iter().flatten().any(|it| it.pool == pool && !is_expired(it, now_ms))
    }

    /// All former pools.
    pub fn list(&self, now_ms: u64) -> Vec<FormerPool> {
        let all =
            self.by_address.iter().flat_map(|(&it, entries)| entries.iter().map(move |e| (it, e)));
        let valid = all.filter(|(_, it)| !is_expired(it, now_ms));
        let former = |(address, it): (SocketAddrV4, &Entry)| FormerPool {
            address,
            pool: it.pool,
            age_ms: now_ms.saturating_sub(it.left_ms),
        };
        valid.map(former).collect()
    }

    /// Former pools that other balancers may not know yet: a process that applies only the later one of two configurations
    /// does not know the pools of the earlier one.
    pub fn recent(&self, now_ms: u64) -> Vec<FormerPool> {
        let mut recent = self.list(now_ms);
        recent.retain(|it| it.age_ms < RECENT_MS);
        recent
    }

    /// Adds a pool or renews its time; returns whether it is new.
    fn insert(&mut self, address: SocketAddrV4, entry: Entry) -> bool {
        let entries = self.by_address.entry(address).or_default();
        if let Some(known) = entries.iter_mut().find(|it| it.pool == entry.pool) {
            known.left_ms = latest_ms(Some(known.left_ms), entry.left_ms);
            return false;
        }
        entries.push(entry);
        entries.sort_unstable_by_key(|it| std::cmp::Reverse(it.left_ms));
        entries.truncate(MAX_POOLS_PER_ROUTE);
        true
    }

    /// Removes entries that have expired, are part of their route again, or whose route was removed: its flows are reset.
    fn prune(&mut self, present: &Routes, now_ms: u64) {
        self.by_address.retain(|address, entries| {
            let route = present.by_address.get(address);
            entries.retain(|it| {
                !is_expired(it, now_ms) && route.is_some_and(|route| !route.includes(it.pool))
            });
            !entries.is_empty()
        });
    }
}

fn is_expired(entry: &Entry, now_ms: u64) -> bool {
    now_ms.saturating_sub(entry.left_ms) >= FORMER_POOL_TTL_MS
}
