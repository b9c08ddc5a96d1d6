//! Routes from service addresses to pools. An older configuration never replaces a newer one.

use std::{fmt, hash::Hasher, net::SocketAddrV4};

use rustc_hash::{FxHashMap, FxHashSet};
use siphasher::sip::SipHasher13;

use super::{
    former_pools::{FormerPool, FormerPools},
    zone::RegionId,
};
use crate::{
    invariant::{self, Invariant},
    revision::Revision,
};

/// A pool, by a hash of its name that is the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolId(pub u64);

impl PoolId {
    /// Returns the pool of this name.
    pub fn of(name: &str) -> PoolId {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        PoolId(hasher.finish())
    }
}

/// The form in logs and metrics, as balancers know no names of pools.
impl fmt::Display for PoolId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A pool of a route, with its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolId,
    /// Part of new flows, relative to the other weights of the route.
    pub weight: u32,
}

/// Service level objective for the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Objective {
    /// Priority under overload; 0 is the highest.
    pub priority: u8,
    /// Target latency in milliseconds.
    pub latency_ms: u32,
    /// Time in milliseconds after which an answer is of no use to the caller.
    pub timeout_ms: u32,
    /// Whether a caller may retry a request after any failure.
    pub idempotent: bool,
}

/// The pools and constraints for flows to one address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    weighted_pools: Vec<WeightedPool>,
    objective: Option<Objective>,
    regions: Vec<RegionId>,
}

impl Route {
    /// Creates a route over weighted pools.
    pub fn new(weighted_pools: Vec<WeightedPool>) -> Route {
        Route { weighted_pools, objective: None, regions: Vec::new() }
    }

    /// Sets the objective of its requests.
    pub fn with_objective(self, objective: Objective) -> Route {
        Route { objective: Some(objective), ..self }
    }

    /// Restricts the route to regions; an empty list allows all.
    pub fn with_regions(self, regions: Vec<RegionId>) -> Route {
        Route { regions, ..self }
    }

    /// Allowed regions; an empty list allows all.
    pub fn regions(&self) -> &[RegionId] {
        &self.regions
    }

    /// Selects the pool of a new flow by weight; none if the route has no pools.
    pub fn select_pool(&self, hash: u64) -> Option<PoolId> {
        let total: u64 = self.weighted_pools.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return self.weighted_pools.first().map(|it| it.pool);
        }
        // The low bits select the candidates.
        let mut remaining = (hash >> 32) % total;
        for weighted in &self.weighted_pools {
            let weight = u64::from(weighted.weight);
            if remaining < weight {
                return Some(weighted.pool);
            }
            remaining -= weight;
        }
        None
    }

    /// Whether the route includes the pool.
    pub fn includes(&self, pool: PoolId) -> bool {
        self.weighted_pools.iter().any(|it| it.pool == pool)
    }

    /// Objective of its requests, if one is configured.
    pub fn objective(&self) -> Option<Objective> {
        self.objective
    }

    /// The pools and their weights.
    pub fn weighted_pools(&self) -> &[WeightedPool] {
        &self.weighted_pools
    }
}

/// Orders configurations, by the operator's version first: after a store reset to an older copy, an old version may
/// have a newer revision than the configuration in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConfigVersion {
    /// Version set by the operator.
    pub version: u64,
    /// Revision assigned by the store.
    pub revision: Revision,
}

/// All routes of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    /// Revision assigned by the store.
    pub revision: Revision,
    /// Version set by the operator.
    pub version: u64,
    /// Routes by service address.
    pub by_address: FxHashMap<SocketAddrV4, Route>,
    /// Maximum new flows per second for a cold upstream, for pools with such a limit.
    pub cold_rates: FxHashMap<PoolId, u32>,
}

impl Routes {
    /// Version by which configurations are ordered.
    pub fn config_version(&self) -> ConfigVersion {
        ConfigVersion { version: self.version, revision: self.revision }
    }
}

/// Result of a route lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup<'a> {
    /// No configuration is known.
    NoConfig,
    /// The address has a route.
    Route(&'a Route),
    /// The address had a route that a later configuration removed.
    Dropped,
    /// The address has no route.
    None,
}

/// The routes in force, and the addresses whose routes were removed.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Option<Routes>,
    dropped: FxHashSet<SocketAddrV4>,
    former_pools: FormerPools,
}

impl RouteTable {
    /// Routes in force; none before the first configuration.
    pub fn routes(&self) -> Option<&Routes> {
        self.routes.as_ref()
    }

    /// Version of the routes in force; none before the first configuration.
    pub fn config_version(&self) -> Option<ConfigVersion> {
        self.routes.as_ref().map(Routes::config_version)
    }

    /// Pools that the routes in force no longer include.
    pub fn former_pools(&self) -> &FormerPools {
        &self.former_pools
    }

    /// Adds former pools that another process knows; returns the number of those that were unknown.
    pub fn merge_former_pools(&mut self, others: &[FormerPool], now_ms: u64) -> usize {
        self.former_pools.merge(others, now_ms)
    }

    /// Whether upstreams of the pool may hold flows of an address: its route includes the pool, or did so before.
    pub fn may_hold(&self, address: SocketAddrV4, pool: PoolId, now_ms: u64) -> bool {
        let route = self.routes.as_ref().and_then(|it| it.by_address.get(&address));
        route.is_some_and(|it| {
            it.includes(pool) || self.former_pools.contains(address, pool, now_ms)
        })
    }

    /// Applies a configuration if it is newer than the one in force; returns whether it was applied. An older one still
    /// tells which pools its routes included.
    pub fn update(&mut self, routes: Routes, now_ms: u64) -> bool {
        if let Some(known) = &self.routes {
            if !is_newer(&known.config_version(), &routes.config_version()) {
                self.former_pools.record(&routes, known, now_ms);
                return false;
            }
            self.former_pools.record(known, &routes, now_ms);
            let gone = known.by_address.keys().filter(|it| !routes.by_address.contains_key(it));
            self.dropped.extend(gone.copied());
        }
        self.dropped.retain(|it| !routes.by_address.contains_key(it));
        self.routes = Some(routes);
        true
    }

    /// Whether a route in force includes the pool.
    pub(super) fn has_pool(&self, pool: PoolId) -> bool {
        self.routes.iter().flat_map(|it| it.by_address.values()).any(|it| it.includes(pool))
    }

    /// Maximum new flows per second for a cold upstream of the pool, if limited.
    pub fn cold_rate(&self, pool: PoolId) -> Option<u32> {
        self.routes.as_ref()?.cold_rates.get(&pool).copied()
    }

    /// Looks up the route of an address.
    pub fn lookup(&self, address: SocketAddrV4) -> Lookup<'_> {
        let Some(routes) = &self.routes else {
            return Lookup::NoConfig;
        };
        match routes.by_address.get(&address) {
            Some(route) => Lookup::Route(route),
            None if self.dropped.contains(&address) => Lookup::Dropped,
            None => Lookup::None,
        }
    }
}

/// Whether a configuration is newer than the known one. Within a store era, a later revision never has a lower
/// version.
fn is_newer(known: &ConfigVersion, update: &ConfigVersion) -> bool {
    let later_in_era =
        update.revision > known.revision && update.revision.era == known.revision.era;
    let version_grows =
        !later_in_era || invariant::check(Invariant::VersionGrows, update.version >= known.version);
    version_grows && update > known
}
