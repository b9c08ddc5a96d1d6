//! Usual shares of the routes that compete for a pool, learned from their arrivals.
//!
//! Each route has two token buckets (compare the two rates of RFC 2698): one is filled with time, at a multiple of the
//! route's mean rate, the other by the arrivals of the other routes, in the usual proportion to them. A request that
//! finds a token in either is within its route's share. A rise that all routes have in common, as with the time of day
//! or when all callers return after an outage, thus leaves every route within its share; a burst of one route does not.

use std::net::SocketAddrV4;

use rustc_hash::FxHashMap;

/// Time constant of the mean rate of arrivals; well above the period of ordinary waves of load (up to 17 s).
const MEAN_TIME_CONSTANT_MS: f64 = 30_000.0;
/// History of a route before it can exceed its share; more than one period of ordinary waves, as the mean over a part
/// of a wave is too low or too high.
const MIN_HISTORY_MS: u64 = 20_000;
/// Rate at which both buckets are filled while the route is within its share, as a multiple of the usual one; above the
/// peak of ordinary waves (1.55).
const FILL_FACTOR: f64 = 1.6;
/// The same from the time at which both were empty until one is half full: a burst gets no more than the usual rate.
const BEYOND_FILL_FACTOR: f64 = 1.0;
/// Size of both buckets, in seconds of the mean rate.
const BUCKET_S: f64 = 0.25;
/// Minimum size of both buckets, in requests; at 10 to 30 requests per second, random arrivals empty smaller ones.
const MIN_BUCKET: f64 = 12.0;
/// Weight of a request beyond its share in the mean rate: a burst raises the mean less than a lasting rise.
const BEYOND_WEIGHT: f64 = 0.5;
/// Arrivals of the other routes, by their weight in the mean, below which a route has no competitors.
const MIN_OTHERS: f64 = 0.01;
/// The same as a share of the route's own arrivals: the rest of a route that has ended is no measure for a burst.
const MIN_OTHERS_SHARE: f64 = 0.01;
/// Most routes for which arrivals are kept; more than the addresses of a large deployment (680).
const MAX_ROUTES: usize = 1_024;
/// Time after its last request after which a route is removed; its mean has decayed by then.
const ROUTE_TTL_MS: u64 = 150_000;
/// Interval between removals of idle routes.
const PRUNE_INTERVAL_MS: u64 = 10_000;
/// Interval between reports on a route beyond its share.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Counters of a route's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteUsage {
    /// Requests within the route's share.
    pub within: u64,
    /// Requests beyond it.
    pub beyond: u64,
    /// Requests that wait for a slot.
    pub waiting: u32,
}

/// Report on a route beyond its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BeyondShare {
    /// Requests beyond the share since the last report.
    pub beyond: u64,
    /// Mean rate of the route's requests.
    pub rate_per_s: u32,
}

/// Arrivals of the routes of one pool. Operations take constant time, except for the removal of idle routes at
/// intervals.
#[derive(Clone, Debug, Default)]
pub struct RouteShares {
    routes: FxHashMap<SocketAddrV4, RouteArrivals>,
    /// Arrivals of all routes.
    all: DecayingCount,
    arrivals: u64,
    last_prune_ms: u64,
}

impl RouteShares {
    /// Counts a request of a route. Returns whether it is beyond the route's share.
    pub fn is_beyond(&mut self, service: SocketAddrV4, now_ms: u64) -> bool {
        self.prune(now_ms);
        if !self.routes.contains_key(&service) && self.routes.len() >= MAX_ROUTES {
            return false;
        }
        let arrivals = self.arrivals;
        let new = || RouteArrivals::new(arrivals, now_ms);
        let route = self.routes.entry(service).or_insert_with(new);
        self.all.advance(now_ms);
        let beyond = !route.take_token(&self.all, arrivals, now_ms);
        let weight = if beyond { BEYOND_WEIGHT } else { 1.0 };
        route.mean.count += weight;
        route.own += 1;
        route.usage.within += u64::from(!beyond);
        route.usage.beyond += u64::from(beyond);
        self.all.count += weight;
        self.arrivals += 1;
        beyond
    }

    /// Counts a request of a route that begins to wait.
    pub fn begin_wait(&mut self, service: SocketAddrV4) {
        if let Some(route) = self.routes.get_mut(&service) {
            route.usage.waiting += 1;
        }
    }

    /// Counts a request of a route that no longer waits.
    pub fn end_wait(&mut self, service: SocketAddrV4) {
        if let Some(route) = self.routes.get_mut(&service) {
            route.usage.waiting = route.usage.waiting.saturating_sub(1);
        }
    }

    /// Report on a route whose request beyond its share has to wait; none if the last one is less than a second old.
    pub fn report(&mut self, service: SocketAddrV4, now_ms: u64) -> Option<BeyondShare> {
        let route = self.routes.get_mut(&service)?;
        if route.reported_ms.is_some_and(|it| now_ms.saturating_sub(it) < REPORT_INTERVAL_MS) {
            return None;
        }
        route.reported_ms = Some(now_ms);
        route.mean.advance(now_ms);
        let beyond = route.usage.beyond - route.reported_beyond;
        route.reported_beyond = route.usage.beyond;
        let rate_per_s = route.mean.per_s(now_ms).round() as u32;
        Some(BeyondShare { beyond, rate_per_s })
    }

    /// Whether a route sent requests recently.
    pub fn is_known(&self, service: SocketAddrV4) -> bool {
        self.routes.contains_key(&service)
    }

    /// The known routes and their counters.
    pub fn usage(&self) -> impl Iterator<Item = (SocketAddrV4, RouteUsage)> {
        self.routes.iter().map(|(&service, it)| (service, it.usage))
    }

    fn prune(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.last_prune_ms) < PRUNE_INTERVAL_MS {
            return;
        }
        self.last_prune_ms = now_ms;
        self.all.advance(now_ms);
        let all = &mut self.all;
        self.routes.retain(|_, it| {
            let idle_ms = now_ms.saturating_sub(it.mean.updated_ms);
            let keep = it.usage.waiting > 0 || idle_ms < ROUTE_TTL_MS;
            if !keep {
                it.mean.advance(now_ms);
                all.count = (all.count - it.mean.count).max(0.0);
            }
            keep
        });
    }
}

/// Count that decays exponentially.
///
/// Callers advance it before they read it.
#[derive(Clone, Debug, Default)]
struct DecayingCount {
    count: f64,
    updated_ms: u64,
    since_ms: Option<u64>,
}

impl DecayingCount {
    /// Lets the count decay until now. Returns the time since the last update, in seconds.
    fn advance(&mut self, now_ms: u64) -> f64 {
        self.since_ms.get_or_insert(now_ms);
        let passed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        if passed_ms > 0.0 {
            self.count *= (-passed_ms / MEAN_TIME_CONSTANT_MS).exp();
            self.updated_ms = now_ms;
        }
        passed_ms / 1_000.0
    }

    fn history_ms(&self, now_ms: u64) -> u64 {
        self.since_ms.map_or(0, |it| now_ms.saturating_sub(it))
    }

    /// Seconds by which the count is divided for the mean rate: fewer than the time constant after a short history.
    fn span_s(&self, now_ms: u64) -> f64 {
        let constants = self.history_ms(now_ms) as f64 / MEAN_TIME_CONSTANT_MS;
        let share = if constants > 10.0 { 1.0 } else { 1.0 - (-constants).exp() };
        MEAN_TIME_CONSTANT_MS / 1_000.0 * share.max(1e-3)
    }

    fn per_s(&self, now_ms: u64) -> f64 {
        self.count / self.span_s(now_ms)
    }
}

/// Arrivals of one route.
#[derive(Clone, Debug)]
struct RouteArrivals {
    mean: DecayingCount,
    /// Tokens filled with time.
    rate_tokens: f64,
    /// Tokens filled by the arrivals of other routes.
    share_tokens: f64,
    /// Both buckets were empty, and neither has been half full since.
    is_beyond: bool,
    own: u64,
    /// Arrivals of all routes before this one's first.
    before: u64,
    /// Arrivals of the other routes when the buckets were last filled.
    others: u64,
    usage: RouteUsage,
    reported_ms: Option<u64>,
    reported_beyond: u64,
}

impl RouteArrivals {
    fn new(arrivals: u64, now_ms: u64) -> RouteArrivals {
        RouteArrivals {
            mean: DecayingCount { updated_ms: now_ms, ..DecayingCount::default() },
            rate_tokens: MIN_BUCKET,
            share_tokens: MIN_BUCKET,
            is_beyond: false,
            own: 0,
            before: arrivals,
            others: 0,
            usage: RouteUsage::default(),
            reported_ms: None,
            reported_beyond: 0,
        }
    }

    /// Fills both buckets. Takes a token from both if either has one, and returns whether it had. A bucket may go below
    /// zero, so that the two together admit no more than the larger one does.
    fn take_token(&mut self, all: &DecayingCount, arrivals: u64, now_ms: u64) -> bool {
        let passed_s = self.mean.advance(now_ms);
        let others = arrivals - self.before - self.own;
        let new_others = (others - self.others) as f64;
        self.others = others;
        let mean = self.mean.per_s(now_ms);
        let size = (mean * BUCKET_S).max(MIN_BUCKET);
        let others_count = (all.count - self.mean.count).max(0.0);
        let share = mean * all.span_s(now_ms) / others_count.max(MIN_OTHERS);
        let factor = if self.is_beyond { BEYOND_FILL_FACTOR } else { FILL_FACTOR };
        self.rate_tokens = (self.rate_tokens + passed_s * mean * factor).min(size);
        self.share_tokens = (self.share_tokens + new_others * share * factor).min(size);
        if self.rate_tokens.max(self.share_tokens) >= size / 2.0 {
            self.is_beyond = false;
        }
        let has_history = self.mean.history_ms(now_ms) >= MIN_HISTORY_MS;
        let has_token = self.rate_tokens >= 1.0 || self.share_tokens >= 1.0;
        let is_alone = others_count < MIN_OTHERS.max(self.mean.count * MIN_OTHERS_SHARE);
        let within = has_token || !has_history || is_alone;
        if within {
            self.rate_tokens = (self.rate_tokens - 1.0).max(-size);
            self.share_tokens = (self.share_tokens - 1.0).max(-size);
        }
        self.is_beyond |= !within;
        within
    }
}
