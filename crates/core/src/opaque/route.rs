//! Routes: which pool the flows to an address go to. An older configuration never replaces a newer one.

use std::{hash::Hasher, net::SocketAddrV4};

use rustc_hash::{FxHashMap, FxHashSet};
use siphasher::sip::SipHasher13;

use super::zone::RegionId;
use crate::{
    invariant::{self, Invariant},
    revision::Revision,
};

/// A pool, by a hash of its name that is the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolId(pub u64);

impl PoolId {
    /// The pool of this name.
    pub fn of(name: &str) -> PoolId {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        PoolId(hasher.finish())
    }
}

/// A pool that flows of a route may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The pool.
    pub pool: PoolId,
    /// Its share of new flows, relative to the others.
    pub weight: u32,
}

/// What the operator wants for the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Objective {
    /// Which requests go first if not all can be in time; 0 is the highest.
    pub priority: u8,
    /// Latency below which an answer is in time, in milliseconds.
    pub latency_ms: u32,
    /// Time after which an answer is of no use, in milliseconds.
    pub timeout_ms: u32,
    /// Whether a caller may send a request again after any failure.
    pub idempotent: bool,
}

/// Where flows to one address go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    shares: Vec<Share>,
    objective: Option<Objective>,
    regions: Vec<RegionId>,
}

impl Route {
    /// A route over these pools.
    pub fn new(shares: Vec<Share>) -> Route {
        Route { shares, objective: None, regions: Vec::new() }
    }

    /// The route with an objective for its requests.
    pub fn with_objective(self, objective: Objective) -> Route {
        Route { objective: Some(objective), ..self }
    }

    /// The route for requests that may be served in these regions only; none named allow all.
    pub fn with_regions(self, regions: Vec<RegionId>) -> Route {
        Route { regions, ..self }
    }

    /// The regions in which its requests may be served; none named allow all.
    pub fn regions(&self) -> &[RegionId] {
        &self.regions
    }

    /// The pool that a new flow goes to.
    pub fn pick(&self, hash: u64) -> Option<PoolId> {
        let total: u64 = self.shares.iter().map(|it| u64::from(it.weight)).sum();
        if total == 0 {
            return self.shares.first().map(|it| it.pool);
        }
        // The low bits choose the candidates.
        let mut left = (hash >> 32) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(share.pool);
            }
            left -= weight;
        }
        None
    }

    /// Whether flows of the route may be in the pool.
    pub fn allows(&self, pool: PoolId) -> bool {
        self.shares.iter().any(|it| it.pool == pool)
    }

    /// The objective of its requests, if one is known.
    pub fn objective(&self) -> Option<Objective> {
        self.objective
    }

    /// The pools.
    pub fn shares(&self) -> &[Share] {
        &self.shares
    }
}

/// What orders configurations. The operator's version goes first: it outlives the store's coming back from an older copy, after
/// which an old version may stand at a newer revision than the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Stamp {
    /// Version that the operator gave to the configuration.
    pub version: u64,
    /// Revision that the store gave to it.
    pub revision: Revision,
}

/// All routes of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    /// Revision that the store gave to this configuration.
    pub revision: Revision,
    /// Version that the operator gave to it.
    pub version: u64,
    /// Route of each address.
    pub by_address: FxHashMap<SocketAddrV4, Route>,
    /// New flows a second that a cold upstream bears, for pools where that is bounded.
    pub cold_rates: FxHashMap<PoolId, u32>,
}

impl Routes {
    /// What orders them among others.
    pub fn stamp(&self) -> Stamp {
        Stamp { version: self.version, revision: self.revision }
    }
}

/// What the table says of an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup<'a> {
    /// No configuration is known.
    NoConfig,
    /// The address has a route.
    Route(&'a Route),
    /// It had one, which a later configuration dropped.
    Dropped,
    /// It has none.
    None,
}

/// The routes in force.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Option<Routes>,
    dropped: FxHashSet<SocketAddrV4>,
}

impl RouteTable {
    /// The routes in force.
    pub fn routes(&self) -> Option<&Routes> {
        self.routes.as_ref()
    }

    /// Stamp of the routes in force; none if there are none.
    pub fn stamp(&self) -> Option<Stamp> {
        self.routes.as_ref().map(Routes::stamp)
    }

    /// Puts routes in force unless they are older than those that are; whether they were.
    pub fn put(&mut self, routes: Routes) -> bool {
        if let Some(known) = &self.routes {
            if !has_grown(&known.stamp(), &routes.stamp()) {
                return false;
            }
            let gone = known.by_address.keys().filter(|it| !routes.by_address.contains_key(it));
            self.dropped.extend(gone.copied());
        }
        self.dropped.retain(|it| !routes.by_address.contains_key(it));
        self.routes = Some(routes);
        true
    }

    /// New flows a second that a cold upstream of the pool bears, if that is bounded.
    pub fn cold_rate(&self, pool: PoolId) -> Option<u32> {
        self.routes.as_ref()?.cold_rates.get(&pool).copied()
    }

    /// What is known of an address.
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

/// Whether a configuration is newer than the known one. Within an era a later revision never has a lower version.
fn has_grown(known: &Stamp, news: &Stamp) -> bool {
    let later = news.revision > known.revision && news.revision.era == known.revision.era;
    let grows = !later || invariant::check(Invariant::VersionGrows, news.version >= known.version);
    grows && news > known
}
